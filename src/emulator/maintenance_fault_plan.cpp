// Fault plans for MaintenanceSimulation, drawn from a seed.
#include <fmt/format.h>

#include <set>
#include <string>

#include "emulator/maintenance_simulation.h"
#include "emulator/units.h"

namespace beechhill::emulator {

using maintenance::Command;
using maintenance::CommandType;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t kRandomStream = (1ULL << 36) + 1;
// Minimum and maximum number of rounds that are simulated after the last fault, so that maintenance
// requests are completed or have a stated reason for waiting.
constexpr int kMinSettlingRounds = 10;
constexpr int kMaxSettlingRounds = 60;
constexpr Duration kSettlingRound = 5s;
constexpr std::uint64_t kMaxClockShift = 1'000;

// The order of the draws must not change, because it is part of the meaning of every recorded seed.
MaintenanceSimulationSpec draw_spec(std::uint64_t seed, std::uint32_t max_followers,
                                    Stream& random) {
  MaintenanceSimulationSpec spec;
  spec.seed = seed;
  spec.voters = static_cast<std::uint32_t>(3 + 2 * random.below(3));
  spec.followers = static_cast<std::uint32_t>(random.below(max_followers + 1));
  spec.loss = random.uniform({0, 0.1});
  spec.duplication = random.uniform({0, 0.1});
  spec.delay = to_duration(random.uniform({0.0005, 0.03}));
  spec.disk_delay = random.below(2) != 0 ? to_duration(random.uniform({0.001, 0.05})) : Duration{0};
  spec.isolation_timeout = random.below(2) != 0 ? Duration{4'000'000} : Duration{0};
  spec.budget.max_out = 1 + static_cast<std::uint32_t>(random.below(3));
  spec.budget.max_out_per_zone = 2;
  spec.budget.max_out_per_cell = 2;
  spec.budget.drain_timeout = 30;
  spec.budget.deferral = 3;
  spec.budget.quiet_period = 3;
  spec.budget.needs_approval = false;
  return spec;
}

class FaultPlan {
 public:
  FaultPlan(std::uint64_t seed, std::uint32_t max_followers)
      : random_(seed, Actor::kFaults, kRandomStream),
        spec_(draw_spec(seed, max_followers, random_)),
        simulation_(spec_) {}

  MaintenanceRun play();

 private:
  enum class Fault {
    kKill,
    kKillLeader,
    kSuspend,
    kPartition,
    kOneWayPartition,
    kBlockInbound,
    kWipeStorage,
    kRestoreStorage,
    kShiftClock,
    kBackendDown,
    kCount
  };

  void log(const std::string& what);
  void submit_requests();
  void inject(Fault fault, std::size_t proxy, std::size_t boundary);
  void kill(std::size_t proxy, const char* which);
  void suspend(std::size_t proxy);
  void wipe_storage(std::size_t proxy);
  void restore_storage(std::size_t proxy);
  void shift_clock(std::size_t proxy);
  void crash_backend();
  void end_faults(const char* what);
  void settle();

  Stream random_;
  const MaintenanceSimulationSpec spec_;
  MaintenanceSimulation simulation_;
  std::set<std::size_t> killed_;
  std::set<std::size_t> suspended_;
  std::string plan_;
};

MaintenanceRun FaultPlan::play() {
  simulation_.run(4s);
  submit_requests();
  const std::size_t proxies = simulation_.size();
  for (std::uint64_t left = 4 + random_.below(8); left > 0; --left) {
    const bool is_voter = random_.below(2) != 0;
    const std::size_t proxy = random_.below(is_voter ? spec_.voters : proxies);
    const std::size_t boundary = 1 + random_.below(proxies - 1);
    const auto fault = static_cast<Fault>(random_.below(static_cast<std::uint64_t>(Fault::kCount)));
    inject(fault, proxy, boundary);
    simulation_.run(to_duration(random_.uniform({0.2, 8})));
    if (random_.below(2) != 0) {
      end_faults("all links restored, all processes running");
      simulation_.run(to_duration(random_.uniform({1, 6})));
    }
  }
  end_faults("end of faults");
  settle();
  MaintenanceRun run;
  run.verdict = simulation_.verdict();
  run.taken_out = simulation_.taken_out();
  run.backends = spec_.backends;
  run.unexplained = simulation_.unexplained_requests();
  run.open = simulation_.open_requests();
  run.plan = plan_;
  return run;
}

void FaultPlan::log(const std::string& what) {
  plan_ += fmt::format("{:.2f} s: {}\n", to_s(simulation_.now()), what);
}

// Submits the requests of two independent operators. Each operator sends the same request three
// times; repeated submissions of one request id count once.
void FaultPlan::submit_requests() {
  for (const char* zone : {"zone-0", "zone-1"}) {
    Command command;
    command.type = CommandType::kSubmitRequest;
    command.request.emplace();
    command.request->id = std::string("all-of-") + zone;
    command.request->requested_by = "staff";
    command.request->max_concurrent = 2;
    command.request->selector.zone = zone;
    for (int i = 0; i < 3; ++i) {
      simulation_.submit_command(random_.below(simulation_.size()), command);
      simulation_.run(1s);
    }
  }
}

void FaultPlan::inject(Fault fault, std::size_t proxy, std::size_t boundary) {
  switch (fault) {
    case Fault::kKill:
      return kill(proxy, "");
    case Fault::kKillLeader:
      if (const auto leader = simulation_.leader()) {
        kill(*leader, ", the leader");
      }
      return;
    case Fault::kSuspend:
      return suspend(proxy);
    case Fault::kPartition:
      log(fmt::format("partition: proxies below {} | the others", boundary));
      return simulation_.set_link_filter([boundary](std::size_t from, std::size_t to) {
        return (from < boundary) == (to < boundary);
      });
    case Fault::kOneWayPartition:
      log(fmt::format("one-way partition: no datagrams from proxies below {} to the others",
                      boundary));
      return simulation_.set_link_filter([boundary](std::size_t from, std::size_t to) {
        return from >= boundary || to < boundary;
      });
    case Fault::kBlockInbound:
      log(fmt::format("no datagrams to proxy {}", proxy));
      return simulation_.set_link_filter(
          [proxy](std::size_t, std::size_t to) { return to != proxy; });
    case Fault::kWipeStorage:
      return wipe_storage(proxy);
    case Fault::kRestoreStorage:
      return restore_storage(proxy);
    case Fault::kShiftClock:
      return shift_clock(proxy);
    case Fault::kBackendDown:
      return crash_backend();
    case Fault::kCount:
      return;
  }
}

void FaultPlan::kill(std::size_t proxy, const char* which) {
  log(fmt::format("kill proxy {}{}", proxy, which));
  simulation_.kill(proxy);
  killed_.insert(proxy);
}

void FaultPlan::suspend(std::size_t proxy) {
  if (killed_.contains(proxy)) {
    return;
  }
  log(fmt::format("suspend proxy {}", proxy));
  simulation_.suspend(proxy);
  suspended_.insert(proxy);
}

// Wipes a voter's storage only while all voters are running, so that one storage is lost at a time.
// The committed state cannot be recovered if a majority of the voters lose their storage.
void FaultPlan::wipe_storage(std::size_t proxy) {
  if (proxy >= spec_.voters || !simulation_.has_all_voters()) {
    return;
  }
  log(fmt::format("kill proxy {} and wipe its storage", proxy));
  simulation_.kill(proxy);
  simulation_.wipe_storage(proxy);
  killed_.insert(proxy);
}

// Restores an older copy of a voter's storage. The other voters detect it by messages that they
// received from the voter after the copy was made, so all voters must be running and connected
// until the voter is killed.
void FaultPlan::restore_storage(std::size_t proxy) {
  if (proxy >= spec_.voters || !simulation_.has_all_voters()) {
    return;
  }
  log(fmt::format("all links restored; kill proxy {} and restore an older copy of its storage",
                  proxy));
  simulation_.set_link_filter({});
  simulation_.run(2s);
  simulation_.copy_storage(proxy);
  simulation_.run(3s);
  simulation_.kill(proxy);
  simulation_.restore_storage(proxy);
  simulation_.run(500ms);
  simulation_.start(proxy);
  simulation_.run(3s);
}

void FaultPlan::shift_clock(std::size_t proxy) {
  log(fmt::format("shift the clock of proxy {}", proxy));
  const auto drawn = static_cast<maintenance::Seconds>(random_.below(2 * kMaxClockShift));
  simulation_.shift_clock(proxy, drawn - static_cast<maintenance::Seconds>(kMaxClockShift));
}

void FaultPlan::crash_backend() {
  const std::size_t backend = random_.below(spec_.backends);
  log(fmt::format("crash backend {}", backend));
  simulation_.set_backend_down(backend, true);
  simulation_.run(to_duration(random_.uniform({0.5, 4})));
  simulation_.set_backend_down(backend, false);
}

void FaultPlan::end_faults(const char* what) {
  log(what);
  simulation_.set_link_filter({});
  for (const std::size_t proxy : killed_) {
    simulation_.start(proxy);
  }
  for (const std::size_t proxy : suspended_) {
    simulation_.resume(proxy);
  }
  killed_.clear();
  suspended_.clear();
}

void FaultPlan::settle() {
  for (int round = 0; round < kMaxSettlingRounds; ++round) {
    const bool done = simulation_.leader() && simulation_.open_requests().empty();
    if (done && round >= kMinSettlingRounds) {
      return;
    }
    simulation_.run(kSettlingRound);
  }
}

}  // namespace

MaintenanceRun run_drawn_maintenance(std::uint64_t seed, std::uint32_t max_followers) {
  return FaultPlan(seed, max_followers).play();
}

}  // namespace beechhill::emulator
