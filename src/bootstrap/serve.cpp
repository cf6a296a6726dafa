#include "bootstrap/serve.h"

#include <sys/signalfd.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <memory>
#include <optional>
#include <stdexcept>
#include <utility>

#include "admin/admin_server.h"
#include "bootstrap/cluster.h"
#include "config/operator_file.h"
#include "hot_restart/hot_restart_actor.h"
#include "log/log.h"
#include "proxy/backend_actor.h"
#include "proxy/client_listener.h"
#include "proxy/connection_log.h"
#include "proxy/decision_actor.h"
#include "proxy/endpoint_watch_actor.h"
#include "snapshot/snapshot_store.h"

namespace beechhill::bootstrap {

using namespace proxy;

namespace {

constexpr std::size_t kOtherDescriptors =
    24;  // standard streams, epoll, signals, listeners, discovery
constexpr std::size_t kFrontPercent = 55;
constexpr std::size_t kBodyShare = 6;
constexpr std::size_t kLeastShare =
    4;  // of all descriptors, one part is a process's own whatever the others hold
constexpr std::size_t kMargin =
    10;  // one part stays free beside another process: both grow between two looks
constexpr auto kHearDiscovery = std::chrono::milliseconds(1500);

// How the descriptors for connections are divided.
class Shares {
 public:
  explicit Shares(std::size_t usable) : usable_(usable) {}
  std::size_t front() const { return usable_ * kFrontPercent / 100; }
  std::size_t peers() const { return usable_ - front(); }
  // What is left beside the proxy's other processes: together they hold no more than one may.
  std::size_t beside(const hot_restart::SharedStateDirectory::ProcessGroupStatus& others) const {
    if (others.alive == 0) {
      return usable_;
    }
    const std::size_t taken = others.descriptors + usable_ / kMargin;
    return std::max(usable_ / kLeastShare, usable_ > taken ? usable_ - taken : 0);
  }

 private:
  std::size_t usable_;
};

// What bodies that are passed on may hold: a part of the memory, the rest is for requests taken
// whole and the program.
std::size_t body_bytes(const config::Config& config) {
  return std::size_t{config.memory_mb} * 1024 * 1024 / kBodyShare;
}

// Null where no other process can share with this one; the service goes on without.
std::unique_ptr<hot_restart::SharedStateDirectory> join(const config::Config& config) {
  if (!config.inherited_listener_fd) {
    return nullptr;
  }
  try {
    if (config.shared_state_directory.empty()) {
      throw std::runtime_error("TMPDIR: not set");
    }
    return std::make_unique<hot_restart::SharedStateDirectory>(config.shared_state_directory,
                                                               config.name);
  } catch (const std::exception& error) {
    log::fault("handover_off", error);
    return nullptr;
  }
}

std::chrono::milliseconds unix_now() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now().time_since_epoch());
}

// What learning depends on: under another zone, tier or other classes it says nothing.
std::string fleet_of(const config::Config& config) {
  std::string text =
      config.named_settings.zone + "/" + std::to_string(config.named_settings.settings.tier);
  for (const std::string& name : config.named_settings.classes) {
    text += "/" + name;
  }
  return text;
}

// Null where none are kept; without them the service goes on as from an empty start.
std::unique_ptr<snapshot::SnapshotStore> open_keeper(const config::Config& config,
                                                     const config::SnapshotSettings& settings) {
  if (settings.directory.empty()) {
    return nullptr;
  }
  try {
    return std::make_unique<snapshot::SnapshotStore>(settings.directory, config.name,
                                                     fleet_of(config));
  } catch (const std::exception& error) {
    log::fault("snapshot_off", error);
    return nullptr;
  }
}

runtime::Task<> keep_snapshots(runtime::Scheduler& scheduler, snapshot::SnapshotStore& keeper,
                               const DecisionActor& decisions, std::chrono::milliseconds every) {
  for (;;) {
    runtime::Wait wait(scheduler);
    wait.until(runtime::Clock::now() + every);
    co_await wait;
    keeper.save_async(decisions.endpoint_records(), decisions.excluded_backends(), unix_now());
  }
}

runtime::Task<> tend(runtime::Scheduler& scheduler, ClientListener& door,
                     const std::unique_ptr<Cluster>& group) {
  co_await door.run_lifecycle();
  if (group) {
    group->leave();
  }
  log::info("ended");
  scheduler.stop();
}

// Of a new configuration only discovery's address is taken over, of a new operator file the log's
// level; a faulty one changes nothing.
void reload(EndpointWatchMailbox& watch, const std::string& operator_file, Cluster* group) {
  try {
    const sockaddr_in discovery = config::reload_config().discovery;
    const config::OperatorSettings settings = config::load_operator(operator_file);
    // Guards against staying with a discovery that is gone, for good, where a call to it holds the
    // mailbox full.
    watch.replace(RedirectWatch{discovery}, [](const EndpointWatchMessage& m) {
      return std::holds_alternative<RedirectWatch>(m);
    });
    log::set_level(settings.log.level);
    if (group) {
      group->reload(settings);
    }
    const std::string address = net::to_string(discovery);
    log::info("configuration_read", {{"discovery", std::string_view(address)}});
  } catch (const std::exception& error) {
    log::fault("configuration_kept", error);
  }
}

runtime::Task<> heed_signals(runtime::Scheduler& scheduler, net::Fd signals, ClientListener& door,
                             hot_restart::HotRestartActor& handover, EndpointWatchMailbox& watch,
                             const std::string& operator_file,
                             const std::unique_ptr<Cluster>& group) {
  runtime::IoSource io(scheduler, signals.get());
  bool ending = false;
  for (;;) {
    signalfd_siginfo info{};
    if (::read(signals.get(), &info, sizeof info) < 0) {
      runtime::Wait wait(scheduler);
      wait.readable(io);
      co_await wait;
    } else if (info.ssi_signo == SIGHUP) {
      reload(watch, operator_file, group.get());
    } else if (!std::exchange(ending, true)) {
      const bool succeeded = handover.has_successor();
      log::info("ending", {{"succeeded", succeeded}});
      if (!door.inbox().post({ListenerCommandType::kShutdown, succeeded, nullptr})) {
        ending = false, log::dropped_message("end");
      }
    }
  }
}

net::Fd block_signals() {
  sigset_t mask;
  sigemptyset(&mask);
  for (const int number : {SIGTERM, SIGINT, SIGHUP}) {
    sigaddset(&mask, number);
  }
  sigprocmask(SIG_BLOCK, &mask, nullptr);
  net::Fd signals(::signalfd(-1, &mask, SFD_NONBLOCK | SFD_CLOEXEC));
  if (!signals) {
    throw std::runtime_error("signalfd failed");
  }
  return signals;
}

}  // namespace

void run(const std::string& operator_file) {
  net::Fd signals = block_signals();  // first: one that comes while starting waits its turn
  const config::Config config = config::load_config();
  const config::OperatorSettings settings = config::load_operator(operator_file);
  log::start(settings.log);

  std::unique_ptr<hot_restart::SharedStateDirectory> folder = join(config);

  runtime::Scheduler scheduler;
  const Shares shares(config.max_descriptors - kOtherDescriptors - admin::kMaxConnections);
  Telemetry telemetry(config.named_settings.classes.size());
  BodyBudget bodies(body_bytes(config));
  BackendPool pool(shares.peers(), bodies, telemetry, config.named_settings.settings);
  const auto make_peer = [&](DecisionMailbox& inbox, EndpointId server,
                             const sockaddr_in& address) {
    return std::make_unique<BackendActor>(scheduler, inbox, pool, config.named_settings.settings,
                                          server, address);
  };
  EndpointWatchActor server_list(scheduler, config);
  hot_restart::SharedState before = folder ? folder->state() : hot_restart::SharedState{};
  const std::unique_ptr<snapshot::SnapshotStore> keeper = open_keeper(config, settings.snapshot);
  std::optional<snapshot::Snapshot> found = keeper ? keeper->load(unix_now()) : std::nullopt;
  if (found) {
    log::info("snapshot_found",
              {{"rows", static_cast<std::uint64_t>(found->records.size())},
               {"barred", static_cast<std::uint64_t>(found->excluded_backends.size())}});
  }
  if (found && !folder) {
    before.excluded_backends =
        found->excluded_backends;  // with a folder, what stands there is newer
  }
  DecisionActor decisions(
      scheduler, config, make_peer, server_list.inbox(), settings.subset, before.excluded_backends,
      found ? std::move(found->records) : std::vector<snapshot::EndpointRecord>{});
  pool.endpoints_are_current = [&decisions] { return decisions.endpoints_are_current(); };
  // What the list last held says may be old: with another process there to serve, discovery is
  // heard first.
  const runtime::TimePoint patience = runtime::Clock::now() + kHearDiscovery;
  const bool patient = folder && folder->process_group_status().alive > 0;
  const auto has_list = [&] {
    return decisions.ready() && decisions.serving_permitted() &&
           (!patient || decisions.has_discovery_update() || runtime::Clock::now() >= patience);
  };
  ClientListener door(scheduler, decisions.inbox(), config, telemetry, bodies, shares.front(),
                      has_list, before.drained);
  const auto look = [&](const hot_restart::SharedStateDirectory::ProcessGroupStatus& others) {
    const Shares now(shares.beside(others));
    door.descriptor_budget().set_limit(now.front());
    pool.budget.set_limit(now.peers());
    bodies.set_limit(body_bytes(config) / (others.alive > 0 ? 2 : 1));
    const std::size_t held = door.descriptor_budget().used() + pool.budget.used() +
                             kOtherDescriptors + admin::kMaxConnections;
    return hot_restart::HotRestartActor::ProcessStatus{door.is_serving(),
                                                       static_cast<std::uint32_t>(held)};
  };
  hot_restart::HotRestartActor handover(scheduler, std::move(folder), decisions.inbox(),
                                        door.inbox(), look);
  scheduler.spawn(handover.run());
  scheduler.spawn(decisions.run());
  scheduler.spawn(server_list.run(decisions.inbox()));
  scheduler.spawn(door.run_accept_loop());
  const std::unique_ptr<Cluster> group =
      join_cluster({scheduler, config, settings, decisions, handover.inbox(), telemetry,
                    [&door] { return door.is_shutting_down(); }});
  scheduler.spawn(tend(scheduler, door, group));
  std::optional<admin::AdminServer> operators;
  if (config.admin) {
    operators.emplace(
        scheduler, *config.admin, decisions.inbox(), handover.inbox(), telemetry,
        config.named_settings.classes,
        [&] { return door.is_serving() && handover.readiness_published(); },
        group ? group->admin_handler() : admin::ClusterHandler{});
    scheduler.spawn(operators->run());
  }
  scheduler.spawn(heed_signals(scheduler, std::move(signals), door, handover, server_list.inbox(),
                               operator_file, group));
  const std::string address = net::to_string(door.address());
  const std::string admin = operators ? net::to_string(operators->address()) : "none";
  log::info("serving", {{"address", std::string_view(address)},
                        {"name", std::string_view(config.name)},
                        {"admin", std::string_view(admin)}});
  if (keeper) {
    scheduler.spawn(keep_snapshots(scheduler, *keeper, decisions, settings.snapshot.interval));
  }
  scheduler.run();
  if (keeper) {
    keeper->save_async(decisions.endpoint_records(), decisions.excluded_backends(), unix_now());
  }
}

}  // namespace beechhill::bootstrap
