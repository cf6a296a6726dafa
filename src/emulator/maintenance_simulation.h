// Proxies that take machines out of service, in simulated time: the program's own coordinator over
// a network, disks and processes that fail on command, with requests to backends that its
// permissions are checked against. Equal seeds give equal runs.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "emulator/maintenance_invariants.h"
#include "emulator/random.h"
#include "maintenance/maintenance_coordinator.h"

namespace beechhill::emulator {

/// Faults of the proxies' own, put in to see that the invariants find them.
enum class SeededBug {
  kNone,
  /// A lease is taken for four times as long as it is.
  kLongLease,
  /// A drain is confirmed with requests in flight.
  kConfirmsBusy,
  /// Announced machines are used without a lease.
  kNoLease,
};

struct MaintenanceSimulationSpec {
  std::uint32_t voters = 3;
  std::uint32_t followers = 3;
  std::uint32_t backends = 12;
  std::uint32_t zones = 2;
  std::uint64_t seed = 1;
  /// Probabilities that a datagram is lost, and that it arrives twice.
  double loss = 0;
  double duplication = 0;
  /// One way; up to as much again is drawn for each datagram, so that they overtake each other.
  Duration delay{2'000};
  /// Until an appended record is durable.
  Duration disk_delay{0};
  Duration request_duration{300'000};
  /// Requests per second of each proxy.
  double calls_per_s = 20;
  /// Operators' work on one machine, and its slow start after that.
  Duration work{1'500'000};
  Duration warm{1'000'000};
  Duration isolation_timeout{0};
  maintenance::DisruptionBudget bounds;
  /// Utilization of each zone, from 0 to 1.
  double use = 0.5;
  SeededBug bug = SeededBug::kNone;
};

/// Proxies are numbered from 0, the voters first.
class MaintenanceSimulation {
 public:
  explicit MaintenanceSimulation(const MaintenanceSimulationSpec& spec);
  ~MaintenanceSimulation();
  MaintenanceSimulation(const MaintenanceSimulation&) = delete;
  MaintenanceSimulation& operator=(const MaintenanceSimulation&) = delete;

  void run(Duration length);
  Time now() const { return now_; }
  std::size_t size() const { return proxies_.size(); }

  /// An operator's command to that proxy; lost where it does not run.
  void order(std::size_t proxy, maintenance::Command command);
  /// The running proxy that takes itself for the leader, the one with the latest state if several.
  std::optional<std::size_t> leader() const;
  /// Whether all voters run and vote: one of them may lose its storage then.
  bool has_all_voters() const;
  /// Of a proxy that is not killed.
  const maintenance::MaintenanceCoordinator& coordinator(std::size_t proxy) const {
    return *proxies_[proxy].coordinator;
  }
  bool running(std::size_t proxy) const {
    return proxies_[proxy].coordinator && !proxies_[proxy].suspended;
  }

  // ---- Faults

  void kill(std::size_t proxy);
  /// Starts a process, in place of the one that runs if any.
  void start(std::size_t proxy);
  void suspend(std::size_t proxy);
  void resume(std::size_t proxy);
  /// Loses its disk. It must not run.
  void wipe_storage(std::size_t proxy);
  void copy_storage(std::size_t proxy);
  /// Brings back the last copy. It must not run.
  void restore_storage(std::size_t proxy);
  void fail_storage(std::size_t proxy);
  /// Lets only datagrams through for which `passes` is true; none for all.
  void set_link_filter(std::function<bool(std::size_t from, std::size_t to)> passes) {
    link_filter_ = std::move(passes);
  }
  void shift_clock(std::size_t proxy, maintenance::Seconds by) {
    proxies_[proxy].clock_shift += by;
  }
  /// Crashes a backend that is not in work, or starts it again.
  void set_backend_down(std::size_t backend, bool down);
  /// Whether operators end their work on machines that are out.
  void pause_operators() { operators_working_ = false; }
  void resume_operators() { operators_working_ = true; }

  // ---- Results

  using Verdict = MaintenanceVerdict;
  const Verdict& verdict() const { return invariants_.verdict(); }
  /// Workflows that came to their end.
  std::size_t taken_out() const { return completed_works_; }
  std::uint64_t calls() const { return requests_sent_; }
  /// Requests that were not sent for want of a permission.
  std::uint64_t calls_kept_back() const { return requests_withheld_; }
  std::vector<std::string> open_requests() const;
  /// Open requests without a reason for their waiting.
  std::vector<std::string> silent_requests() const;

 private:
  struct PendingSync {
    std::uint64_t records = 0;
    Time due{0};
  };
  struct Datagram {
    std::size_t from = 0;
    std::size_t to = 0;
    maintenance::Channel channel = maintenance::Channel::kCoordination;
    std::string bytes;
  };
  struct Proxy {
    std::unique_ptr<maintenance::MemoryRaftStorage> storage;
    std::unique_ptr<maintenance::MemoryRaftStorage> storage_copy;
    /// Refers to the storage.
    std::unique_ptr<maintenance::MaintenanceCoordinator> coordinator;
    std::uint32_t generation = 1;
    std::uint32_t copy_generation = 1;
    bool is_voter = false;
    bool suspended = false;
    std::uint64_t starts = 0;
    double next_request_s = 0;
    maintenance::Seconds clock_shift = 0;
    std::map<std::string, Time> excluded_since;
    /// Ends of the requests in flight, by machine.
    std::map<std::string, std::deque<Time>> in_flight;
    std::deque<PendingSync> syncs;
    /// Arrived while it was suspended.
    std::vector<Datagram> socket_buffer;

    bool has_in_flight(const std::string& machine) const;
  };
  struct Backend {
    maintenance::Machine machine;
    Time started_at{0};
    bool in_work = false;
    bool down = false;
    Time work_ends_at{0};
    /// When an operator saw it as out.
    std::optional<Time> out_since;
    std::string request;
    maintenance::FencingToken fencing_token = 0;
    /// Operators repeat the command until it is applied.
    Time next_done_command = Time::max();
  };

  static std::string proxy_name(std::size_t proxy);
  static std::string backend_name(std::size_t backend);
  maintenance::CoordinatorSettings settings_of(std::size_t proxy) const;
  std::unique_ptr<maintenance::MemoryRaftStorage> new_storage() const;
  void create_coordinator(std::size_t proxy);

  void step();
  void deliver_datagrams();
  void warm_up_backends();
  void step_proxy(std::size_t proxy);
  static void finish_requests(Proxy& proxy, Time now);
  void sync_storage(Proxy& proxy);
  void replace_lost_storage(std::size_t proxy);
  void send_request(std::size_t proxy);
  Time dispatch_permitted_until(const Proxy& proxy, const std::string& machine) const;
  maintenance::LocalView local_view(Proxy& proxy);
  void track_exclusions(Proxy& proxy) const;
  void send(std::size_t from, const maintenance::MaintenanceCoordinator::Outgoing& message);

  void act_as_operators();
  void begin_work(Backend& backend, const maintenance::MaintenanceWorkflow& workflow);
  void end_work(Backend& backend);
  void check_invariants();

  const MaintenanceSimulationSpec spec_;
  Stream random_;
  Time now_{0};
  std::vector<Proxy> proxies_;
  std::vector<Backend> backends_;
  std::multimap<Time, Datagram> datagrams_;
  std::function<bool(std::size_t, std::size_t)> link_filter_;
  bool operators_working_ = true;
  MaintenanceInvariants invariants_;
  std::size_t completed_works_ = 0;
  std::uint64_t requests_sent_ = 0;
  std::uint64_t requests_withheld_ = 0;
};

/// Of one plan of faults.
struct MaintenanceRun {
  MaintenanceSimulation::Verdict verdict;
  std::size_t taken_out = 0;
  std::size_t backends = 0;
  /// Requests at its end: open ones, and those among them without a reason.
  std::vector<std::string> silent;
  std::vector<std::string> open;
  /// The faults, a line each.
  std::string plan;
};
/// Draws a cluster and a plan of faults from the seed, and plays them against requests to take all
/// backends out once.
MaintenanceRun run_drawn_maintenance(std::uint64_t seed, std::uint32_t max_followers);

}  // namespace beechhill::emulator
