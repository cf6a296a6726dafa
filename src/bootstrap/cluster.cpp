#include "bootstrap/cluster.h"

#include <fstream>
#include <iterator>
#include <optional>
#include <stdexcept>
#include <utility>

#include "bootstrap/coordinator_settings.h"
#include "bootstrap/membership_json.h"
#include "cluster/gossip_actor.h"
#include "cluster/maintenance_actor.h"
#include "log/log.h"
#include "maintenance/operator_commands.h"

namespace beechhill::bootstrap {
namespace {

using runtime::now;

// Time after the beginning of a drain from which the listener is assumed to get no new clients.
constexpr Duration kDrainSettleTime = std::chrono::seconds(2);

membership::MacKeys load_keys(const std::string& file) {
  std::ifstream in(file, std::ios::binary);
  if (!in) {
    throw std::runtime_error("membership.key_file: cannot be read: " + file);
  }
  const std::string text(std::istreambuf_iterator<char>(in), {});
  try {
    return membership::parse_keys(text);
  } catch (const std::invalid_argument& error) {
    throw std::runtime_error("membership.key_file: " + file + ": " + error.what());
  }
}

// Returns the settings of the SWIM node. Throws std::runtime_error if the configured name is
// invalid as a member's name, or if the listener is inherited.
membership::SwimSettings swim_settings(const config::Config& config,
                                       const config::MembershipSettings& settings) {
  const std::string& name = config.name;
  if (name.empty() || name.size() > membership::kMaxNameBytes ||
      name.find('#') != std::string::npos) {
    throw std::runtime_error(
        "membership: the configuration's name must be 1 to 48 bytes long, without '#'");
  }
  // Processes that share an inherited listener have the same name, so the cluster would take them
  // for one member.
  if (config.inherited_listener_fd) {
    throw std::runtime_error(
        "membership: cannot be enabled with an inherited listening socket (GW_FD)");
  }
  return {settings.probe_interval, settings.forget_after, settings.seed_addresses};
}

sockaddr_in listen_address(const config::MembershipSettings& settings) {
  const std::optional<sockaddr_in> address = net::parse_address(settings.listen_address);
  if (!address) {
    throw std::runtime_error("membership.listen: not an IPv4 address with a port: " +
                             settings.listen_address);
  }
  return *address;
}

class GossipCluster : public Cluster {
 public:
  explicit GossipCluster(const ClusterDependencies& dependencies)
      : dependencies_(dependencies),
        gossip_(dependencies.scheduler,
                swim_settings(dependencies.config, dependencies.settings.membership),
                listen_address(dependencies.settings.membership),
                dependencies.settings.membership.advertised_address, dependencies.config.name,
                load_keys(dependencies.settings.membership.key_file), gossip_handlers()) {
    if (!dependencies.settings.maintenance.voters.empty()) {
      start_maintenance();
    }
    dependencies_.scheduler.spawn(gossip_.run());
  }

  admin::ClusterHandler admin_handler() override {
    return [this](const admin::Command& command, std::shared_ptr<runtime::PendingTextReply> reply) {
      handle(command, std::move(reply));
    };
  }

  void reload(const config::OperatorSettings& settings) override {
    try {
      membership::GossipMessage message(
          membership::ReplaceKeys{load_keys(settings.membership.key_file)});
      if (!gossip_.inbox().post(std::move(message))) {
        log::dropped_message("keys");
      }
    } catch (const std::exception& error) {
      log::fault("keys_kept", error);
    }
  }

  void leave() override { gossip_.leave(); }

 private:
  // Returns handlers that forward messages to the maintenance actor. If its mailbox is full, the
  // message is dropped. The maintenance protocol tolerates lost messages, as datagrams may be lost
  // too.
  membership::GossipHandlers gossip_handlers() {
    const auto post = [this](auto message) {
      maintenance::MaintenanceMessage posted(std::move(message));
      return !maintenance_ || maintenance_->inbox().post(std::move(posted));
    };
    return {post, post};
  }

  void start_maintenance() {
    const config::MaintenanceSettings& settings = dependencies_.settings.maintenance;
    dependencies_.decisions.require_permissions();
    maintenance_.emplace(
        dependencies_.scheduler, coordinator_settings(dependencies_.config, settings),
        settings.storage_directory, gossip_.boot_id(), gossip_.inbox(),
        dependencies_.decisions.inbox(), [this] { return local_view(); },
        [this](bool drained) { set_drained(drained); });
    dependencies_.scheduler.spawn(maintenance_->run());
  }

  maintenance::LocalView local_view() const {
    const proxy::DecisionActor& decisions = dependencies_.decisions;
    maintenance::LocalView view;
    for (const proxy::DecisionActor::ListedBackend& backend : decisions.listed_backends()) {
      view.machines.push_back({backend.id, backend.zone, std::to_string(backend.cell),
                               backend.instance_type, maintenance::Role::kBackend,
                               backend.relative_capacity, backend.up, backend.warm,
                               backend.started_at.count()});
    }
    view.zone_utilization = decisions.utilization_by_zone();
    view.busy_machines = decisions.busy_excluded_backends();
    for (ClassId id = 0; id < dependencies_.config.named_settings.classes.size(); ++id) {
      const proxy::Telemetry::Counts& counts = dependencies_.telemetry.counts(id);
      view.served_requests += counts.completed;
      view.unserved_requests += counts.rejected + counts.failed;
    }
    view.has_discovery_update = decisions.stage() == recovery::Stage::kReady;
    view.is_shutting_down = dependencies_.is_shutting_down();
    view.is_idle = is_idle(view.is_shutting_down);
    return view;
  }

  // Returns whether this process has no pending requests and will get no new clients.
  bool is_idle(bool is_shutting_down) const {
    const bool gets_no_clients =
        is_shutting_down || (drained_since_ && now() >= *drained_since_ + kDrainSettleTime);
    return gets_no_clients && dependencies_.telemetry.pending_requests() == 0;
  }

  void set_drained(bool drained) {
    drained_since_ = drained ? std::optional(now()) : std::nullopt;
    hot_restart::OperatorCommand command{
        drained ? hot_restart::StateChange::kDrain : hot_restart::StateChange::kResume,
        {},
        std::make_shared<runtime::PendingReply>()};
    if (!dependencies_.operator_commands.post(std::move(command))) {
      log::dropped_message("drain");
    }
  }

  void handle(const admin::Command& command, std::shared_ptr<runtime::PendingTextReply> reply) {
    if (command.type == admin::CommandType::kMembers) {
      reply->text = membership_json(gossip_.membership(), dependencies_.config.name,
                                    gossip_.rejected_datagrams(), now());
      reply->complete(200);
    } else if (!maintenance_) {
      reply->complete(404);
    } else {
      handle_maintenance(command, std::move(reply), maintenance_->inbox());
    }
  }

  static void handle_maintenance(const admin::Command& command,
                                 std::shared_ptr<runtime::PendingTextReply> reply,
                                 maintenance::MaintenanceMailbox& inbox) {
    std::optional<maintenance::MaintenanceMessage> message =
        command.type == admin::CommandType::kMaintenanceStatus
            ? status_query(command, reply)
            : maintenance_command(command, reply);
    if (!message) {
      reply->complete(400);
    } else if (!inbox.post(std::move(*message))) {
      reply->complete(503);
    }
  }

  static maintenance::MaintenanceMessage status_query(
      const admin::Command& command, std::shared_ptr<runtime::PendingTextReply> reply) {
    const auto id = command.parameters.find("id");
    const std::string request_id = id == command.parameters.end() ? "" : id->second;
    return maintenance::QueryStatus{request_id, std::move(reply)};
  }

  // Converts an operator's command to a message. If the command is malformed, sets the reply's text
  // to the error and returns nothing.
  static std::optional<maintenance::MaintenanceMessage> maintenance_command(
      const admin::Command& command, std::shared_ptr<runtime::PendingTextReply> reply) {
    auto parsed =
        maintenance::parse_operator_command(command.action, command.parameters, reply->text);
    if (!parsed) {
      return std::nullopt;
    }
    return maintenance::SubmitCommand{std::move(*parsed), std::move(reply)};
  }

  ClusterDependencies dependencies_;
  membership::GossipActor gossip_;
  std::optional<maintenance::MaintenanceActor> maintenance_;
  std::optional<Time> drained_since_;
};

}  // namespace

std::unique_ptr<Cluster> join_cluster(const ClusterDependencies& dependencies) {
  if (dependencies.settings.membership.listen_address.empty()) {
    return nullptr;
  }
  return std::make_unique<GossipCluster>(dependencies);
}

}  // namespace beechhill::bootstrap
