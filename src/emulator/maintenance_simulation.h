// A simulation of proxies that coordinate the maintenance of machines, in simulated time. It runs
// the production coordinator over a network, disks and processes with injected faults, and sends
// requests to backends to check the dispatch permissions that the coordinator grants. Equal seeds
// give equal runs.
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

/// Bugs that are deliberately added to the proxies to test that the invariants detect them.
enum class SeededBug {
  kNone,
  /// Proxies assume that a lease lasts several times as long as it does.
  kLongLease,
  /// Proxies confirm a drain while they still have requests in flight.
  kConfirmsBusy,
  /// Proxies send requests to machines that require a lease although they hold none.
  kNoLease,
};

struct MaintenanceSimulationSpec {
  std::uint32_t voters = 3;
  std::uint32_t followers = 3;
  std::uint32_t backends = 12;
  std::uint32_t zones = 2;
  std::uint64_t seed = 1;
  /// Probabilities that a datagram is lost, and that it is duplicated.
  double loss = 0;
  double duplication = 0;
  /// Minimum one-way delay. Each datagram gets up to the same amount in addition, so that datagrams
  /// are reordered.
  Duration delay{2'000};
  /// Time until an appended record is durable.
  Duration disk_delay{0};
  Duration request_duration{300'000};
  /// Requests per second that each proxy sends.
  double calls_per_s = 20;
  /// Duration of an operator's work on one machine, and of the machine's slow start afterwards.
  Duration work{1'500'000};
  Duration warm{1'000'000};
  Duration isolation_timeout{0};
  maintenance::DisruptionBudget budget;
  /// Utilization of each zone, from 0 to 1.
  double utilization = 0.5;
  SeededBug bug = SeededBug::kNone;
};

/// Runs the simulated proxies, backends and operators. Proxies are numbered from 0, and the voters
/// have the lowest numbers.
class MaintenanceSimulation {
 public:
  explicit MaintenanceSimulation(const MaintenanceSimulationSpec& spec);
  ~MaintenanceSimulation();
  MaintenanceSimulation(const MaintenanceSimulation&) = delete;
  MaintenanceSimulation& operator=(const MaintenanceSimulation&) = delete;

  void run(Duration length);
  Time now() const { return now_; }
  std::size_t size() const { return proxies_.size(); }

  /// Sends an operator's command to the proxy. The command is lost if the proxy is not running.
  void submit_command(std::size_t proxy, maintenance::Command command);
  /// Returns the running proxy that considers itself the leader. If several do, returns the one
  /// that has applied the most of the log.
  std::optional<std::size_t> leader() const;
  /// Whether all voters are running and can vote, so that one of them may lose its storage without
  /// loss of the quorum.
  bool has_all_voters() const;
  /// The coordinator of a proxy. The proxy must not have been killed.
  const maintenance::MaintenanceCoordinator& coordinator(std::size_t proxy) const {
    return *proxies_[proxy].coordinator;
  }
  bool running(std::size_t proxy) const {
    return proxies_[proxy].coordinator && !proxies_[proxy].suspended;
  }

  // ---- Faults

  void kill(std::size_t proxy);
  /// Starts a new process of the proxy and ends the present one, if any.
  void start(std::size_t proxy);
  void suspend(std::size_t proxy);
  void resume(std::size_t proxy);
  /// Deletes the proxy's storage. The proxy must not be running.
  void wipe_storage(std::size_t proxy);
  void copy_storage(std::size_t proxy);
  /// Restores the last copy of the proxy's storage. The proxy must not be running.
  void restore_storage(std::size_t proxy);
  void fail_storage(std::size_t proxy);
  /// Sets the filter of links: only datagrams for which `passes` returns true are delivered. An
  /// empty function lets all pass.
  void set_link_filter(std::function<bool(std::size_t from, std::size_t to)> passes) {
    link_filter_ = std::move(passes);
  }
  void shift_clock(std::size_t proxy, maintenance::Seconds by) {
    proxies_[proxy].clock_shift += by;
  }
  /// Crashes a backend, or starts it again. Has no effect on a backend that is worked on.
  void set_backend_down(std::size_t backend, bool down);
  /// Stop and resume the completion of work by operators. Machines remain out of service while it
  /// is stopped.
  void pause_operators() { operators_working_ = false; }
  void resume_operators() { operators_working_ = true; }

  // ---- Results

  using Verdict = MaintenanceVerdict;
  const Verdict& verdict() const { return invariants_.verdict(); }
  /// Number of times that an operator has completed the work on a machine.
  std::size_t taken_out() const { return completed_works_; }
  std::uint64_t requests_sent() const { return requests_sent_; }
  /// Number of requests that were not sent because no backend was permitted.
  std::uint64_t requests_withheld() const { return requests_withheld_; }
  /// Ids of the open maintenance requests.
  std::vector<std::string> open_requests() const;
  /// Ids of the open maintenance requests for which the planner states no reason for waiting.
  std::vector<std::string> unexplained_requests() const;

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
    /// Holds a pointer to `storage`.
    std::unique_ptr<maintenance::MaintenanceCoordinator> coordinator;
    std::uint32_t generation = 1;
    std::uint32_t copy_generation = 1;
    bool is_voter = false;
    bool suspended = false;
    std::uint64_t starts = 0;
    double next_request_s = 0;
    maintenance::Seconds clock_shift = 0;
    std::map<std::string, Time> excluded_since;
    /// End times of the requests in flight, by machine.
    std::map<std::string, std::deque<Time>> in_flight;
    std::deque<PendingSync> syncs;
    /// Datagrams that arrived while the proxy was suspended.
    std::vector<Datagram> socket_buffer;

    bool has_in_flight(const std::string& machine) const;
  };
  struct Backend {
    maintenance::Machine machine;
    Time started_at{0};
    bool in_work = false;
    bool down = false;
    Time work_ends_at{0};
    /// Time at which an operator found the machine out of service and began the work; empty while
    /// no operator works on it.
    std::optional<Time> out_since;
    std::string request;
    maintenance::FencingToken fencing_token = 0;
    /// Time of the next completion command. Operators repeat it until it has been applied.
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

/// The result of one fault plan.
struct MaintenanceRun {
  MaintenanceSimulation::Verdict verdict;
  std::size_t taken_out = 0;
  std::size_t backends = 0;
  /// Ids of the maintenance requests that were open at the end without a stated reason for waiting.
  std::vector<std::string> unexplained;
  /// Ids of all maintenance requests that were open at the end.
  std::vector<std::string> open;
  /// The injected faults, one per line.
  std::string plan;
};
/// Draws a cluster and a fault plan from the seed, and runs them with maintenance requests that
/// take every backend out of service once.
MaintenanceRun run_drawn_maintenance(std::uint64_t seed, std::uint32_t max_followers);

}  // namespace beechhill::emulator
