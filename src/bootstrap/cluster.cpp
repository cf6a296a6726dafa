#include "bootstrap/cluster.h"

#include <json/json.h>

#include <algorithm>
#include <fstream>
#include <iterator>
#include <stdexcept>

#include "cluster/gossip_actor.h"
#include "cluster/maintenance_actor.h"
#include "log/log.h"
#include "maintenance/operator_commands.h"
#include "proxy/connection_log.h"

namespace beechhill::bootstrap {

using runtime::now;

namespace {

// A drain as the door's course has it: after this no client is sent here any more.
constexpr Duration kDrained{2'000'000};

membership::MacKeys keys_from(const std::string& file) {
  std::ifstream in(file, std::ios::binary);
  if (!in) {
    throw std::runtime_error("membership.key_file: cannot be read: " + file);
  }
  try {
    return membership::parse_keys(std::string(std::istreambuf_iterator<char>(in), {}));
  } catch (const std::invalid_argument& error) {
    throw std::runtime_error("membership.key_file: " + file + ": " + error.what());
  }
}

class TalkingGroup : public Cluster {
 public:
  explicit TalkingGroup(const ClusterDependencies& parts)
      : parts_(parts),
        talk_(parts.scheduler, membership_settings(),
              *net::parse_address(settings().listen_address), settings().advertised_address, name(),
              keys_from(settings().key_file), listener()) {
    const auto& m = parts_.settings.maintenance;
    if (!m.voters.empty()) {
      parts_.decisions.require_permissions();
      maintenance_.emplace(
          parts_.scheduler, works_settings(), m.storage_directory, talk_.boot_id(), talk_.inbox(),
          parts_.decisions.inbox(), [this] { return look(); }, [this](bool out) { drain(out); });
      parts_.scheduler.spawn(maintenance_->run());
    }
    parts_.scheduler.spawn(talk_.run());
  }

  admin::ClusterHandler admin_handler() override {
    return [this](const admin::Command& call, std::shared_ptr<runtime::PendingTextReply> asked) {
      answer(call, std::move(asked));
    };
  }

  void reload(const config::OperatorSettings& fresh) override {
    try {
      membership::GossipMessage message(
          membership::ReplaceKeys{keys_from(fresh.membership.key_file)});
      if (!talk_.inbox().post(std::move(message))) {
        log::dropped_message("keys");
      }
    } catch (const std::exception& error) {
      log::fault("keys_kept", error);
    }
  }

  void leave() override { talk_.leave(); }

 private:
  const config::MembershipSettings& settings() const { return parts_.settings.membership; }
  const std::string& name() const { return parts_.config.name; }

  membership::SwimSettings membership_settings() const {
    if (name().empty() || name().size() > membership::kMaxNameBytes ||
        name().find('#') != std::string::npos) {
      throw std::runtime_error(
          "membership: the configuration's name must be 1 to 48 bytes, without #");
    }
    // Two processes of one name would be one member.
    if (parts_.config.inherited_listener_fd) {
      throw std::runtime_error("membership: not with an inherited socket (GW_FD)");
    }
    return {settings().probe_interval, settings().forget_after, settings().seed_addresses};
  }

  membership::GossipHandlers listener() {
    const auto post = [this](auto message) {
      maintenance::MaintenanceMessage posted(std::move(message));
      return !maintenance_ || maintenance_->inbox().post(std::move(posted));
    };
    return {post, post};
  }

  maintenance::CoordinatorSettings works_settings() const {
    const auto& m = parts_.settings.maintenance;
    const Settings& s = parts_.config.named_settings.settings;
    maintenance::CoordinatorSettings w;
    w.self = name(), w.zone = parts_.config.named_settings.zone;
    w.voters = m.voters;
    w.lease_duration = m.lease_duration, w.isolation_timeout = m.isolation_timeout,
    w.serve_without_lease = m.serve_without_lease,
    w.initial_lease_timeout = m.initial_lease_timeout;
    w.drain_grace = s.drain_grace;
    w.max_request_duration = Duration{0};
    for (const ClassSettings& c : s.classes) {
      w.max_request_duration = std::max(w.max_request_duration, c.deadline);
      // Whoever remembers a keyed request's repeats must not be taken out to the last one.
      w.disruption_budget.preserve_last_in_zone =
          w.disruption_budget.preserve_last_in_zone ||
          (c.idempotency == Idempotency::kIdempotencyKey &&
           c.deduplication_scope == beechhill::DeduplicationScope::kZone);
      w.disruption_budget.preserve_last_in_cell =
          w.disruption_budget.preserve_last_in_cell ||
          (c.idempotency == Idempotency::kIdempotencyKey &&
           c.deduplication_scope == beechhill::DeduplicationScope::kCell);
    }
    const bool zone = w.disruption_budget.preserve_last_in_zone,
               cell = w.disruption_budget.preserve_last_in_cell;
    w.disruption_budget = m.disruption_budget;
    w.disruption_budget.preserve_last_in_zone = zone,
    w.disruption_budget.preserve_last_in_cell = cell;
    return w;
  }

  maintenance::LocalView look() const {
    maintenance::LocalView v;
    for (const proxy::DecisionActor::ListedBackend& b : parts_.decisions.listed_backends()) {
      v.machines.push_back({b.id, b.zone, std::to_string(b.cell), b.instance_type,
                            maintenance::Role::kBackend, b.relative_capacity, b.up, b.warm,
                            b.started_at.count()});
    }
    v.zone_utilization = parts_.decisions.utilization_by_zone();
    v.busy_machines = parts_.decisions.busy_excluded_backends();
    for (ClassId id = 0; id < parts_.config.named_settings.classes.size(); ++id) {
      const proxy::Telemetry::Counts& c = parts_.telemetry.of(id);
      v.served_requests += c.completed, v.unserved_requests += c.rejected + c.failed;
    }
    v.has_discovery_update = parts_.decisions.stage() == recovery::Stage::kReady;
    v.is_shutting_down = parts_.ending();
    v.is_idle = parts_.telemetry.pending_requests() == 0 &&
                (v.is_shutting_down || (drained_ && now() >= *drained_ + kDrained));
    return v;
  }

  void drain(bool out) {
    drained_ = out ? std::optional(now()) : std::nullopt;
    hot_restart::OperatorCommand order{
        out ? hot_restart::StateChange::kDrain : hot_restart::StateChange::kResume,
        {},
        std::make_shared<runtime::PendingReply>()};
    if (!parts_.orders.post(std::move(order))) {
      log::dropped_message("drain");
    }
  }

  std::string members() const {
    const membership::SwimNode& swim = talk_.membership();
    Json::Value root;
    root["self"] = name(), root["sure"] = swim.has_contact(),
    root["slowness"] = swim.local_health_penalty(), root["incarnation"] = swim.incarnation();
    root["refused_datagrams"] = Json::UInt64(talk_.rejected_datagrams());
    root["members"] = Json::Value(Json::arrayValue);
    for (const auto& [name, m] : swim.members()) {
      Json::Value row;
      row["name"] = name, row["address"] = m.update.address,
      row["state"] = membership::name(m.update.state), row["incarnation"] = m.update.incarnation;
      row["for_s"] = Json::Int64((now() - m.state_since) / std::chrono::seconds(1));
      root["members"].append(row);
    }
    Json::StreamWriterBuilder writer;
    writer["indentation"] = "";
    return Json::writeString(writer, root) + "\n";
  }

  void answer(const admin::Command& call, std::shared_ptr<runtime::PendingTextReply> asked) {
    if (call.type == admin::CommandType::kMembers) {
      asked->text = members();
      return asked->complete(200);
    }
    if (!maintenance_) {
      return asked->complete(404);
    }
    std::optional<maintenance::MaintenanceMessage> message;
    if (call.type == admin::CommandType::kMaintenanceStatus) {
      const auto id = call.query.find("id");
      message.emplace(maintenance::QueryStatus{id == call.query.end() ? "" : id->second, asked});
    } else {
      auto command = maintenance::parse_operator_command(call.action, call.query, asked->text);
      if (!command) {
        return asked->complete(400);
      }
      message.emplace(maintenance::SubmitCommand{std::move(*command), asked});
    }
    if (!maintenance_->inbox().post(std::move(*message))) {
      asked->complete(503);
    }
  }

  ClusterDependencies parts_;
  membership::GossipActor talk_;
  std::optional<maintenance::MaintenanceActor> maintenance_;
  std::optional<Time> drained_;
};

}  // namespace

std::unique_ptr<Cluster> join_cluster(const ClusterDependencies& parts) {
  if (parts.settings.membership.listen_address.empty()) {
    return nullptr;
  }
  return std::make_unique<TalkingGroup>(parts);
}

}  // namespace beechhill::bootstrap
