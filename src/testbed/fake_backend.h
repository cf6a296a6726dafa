// A fake backend on loopback: a real HTTP/1.1 server whose timing is that of the emulator's node
// model.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <vector>

#include "emulator/node.h"
#include "net/socket.h"
#include "runtime/scheduler.h"
#include "testbed/observation_log.h"
#include "testbed/reserved_port.h"
#include "testbed/testbed_clock.h"

namespace beechhill::testbed {

/// HTTP/1.1 server for one backend of a scenario. Requests state their work in core-microseconds in
/// the query parameter `work_us`. The node model determines how long a request takes and when the
/// backend is overloaded (503). Runs on the scheduler's thread and must outlive the scheduler's
/// run.
class FakeBackend {
 public:
  /// kServing: requests are answered. kUnresponsive: connections stay open and requests are read,
  /// but none is answered. kStopped: connections are closed, and none is accepted.
  enum class State { kServing, kUnresponsive, kStopped };

  /// `observations` may be null; otherwise it must outlive the backend.
  FakeBackend(runtime::Scheduler& scheduler, const TestbedClock& clock,
              const emulator::Scenario& scenario, EndpointId id,
              ObservationLog* observations = nullptr);

  const sockaddr_in& address() const { return port_.address(); }
  std::string address_text() const { return net::to_string(address()); }
  EndpointId id() const { return id_; }
  std::uint32_t cell() const { return id_ / spec_.cell_size; }
  std::uint32_t zone() const { return cell() % spec_.zones; }
  /// Returns the endpoint as discovery lists it while the backend is up.
  Endpoint endpoint() const;
  /// Time of the last start; nullopt if the backend has not restarted since the run began.
  const std::optional<Time>& started_at() const { return model_.started_at(); }

  /// Leaving kServing discards all work; entering kServing restarts the backend, with slow start.
  void set_state(State state);
  /// Sets the fraction of requests, from 0 to 1, that are answered with 500.
  void set_error_rate(double rate) { error_rate_ = rate; }
  /// Makes work take `factor` times as long; 1 restores the normal speed.
  void set_slowdown(double factor) { model_.slow_down(factor); }
  /// Sets the delay of load reports beyond the normal delay of the node model.
  void set_report_delay(Duration delay) { report_delay_ = delay; }

  /// Numbers of requests that the backend has begun to serve and of connections that it has
  /// accepted, including those before a restart.
  std::uint64_t requests_received() const { return requests_received_; }
  std::uint64_t connections_accepted() const { return connections_accepted_; }

 private:
  struct Job {
    runtime::Notifier done;
  };
  // A request that is being served.
  struct Exchange {
    std::optional<ClientAttemptId> observed_id;  // nullopt if the request is not recorded
    std::uint32_t attempt = 0;                   // number of the attempt in the observation log
    double work = 0;                             // core-seconds on a core of speed 1
    int status = 200;
  };
  struct EndsLater {
    bool operator()(const emulator::StartedPhase& a, const emulator::StartedPhase& b) const {
      return a.until > b.until;
    }
  };
  runtime::Task<> accept();
  runtime::Task<> serve(std::shared_ptr<net::Stream> stream, std::shared_ptr<runtime::TaskId> self);
  runtime::Task<> execute(Exchange& exchange);
  runtime::Task<> run_phase_timer();
  void listen();
  void finish_due_phases();
  void schedule(const std::vector<emulator::StartedPhase>& starts);
  std::string load_report_header(Time now);
  void observe_arrival(Exchange& exchange);
  void observe_completion(const Exchange& exchange);

  runtime::Scheduler& scheduler_;
  const TestbedClock& clock_;
  const emulator::TierSpec spec_;
  emulator::Node model_;
  emulator::Stream random_;
  EndpointId id_;
  const ReservedPort port_;  // kept when the backend restarts
  std::unique_ptr<net::Listener> listener_;
  runtime::TaskId accept_task_ = 0;
  std::set<runtime::TaskId> connection_tasks_;
  State state_ = State::kServing;
  double error_rate_ = 0;
  Duration report_delay_{0};
  std::map<emulator::JobId, Job*> jobs_;  // jobs are owned by coroutine frames
  emulator::JobId next_job_ = 1;
  std::priority_queue<emulator::StartedPhase, std::vector<emulator::StartedPhase>, EndsLater>
      phases_;
  runtime::Notifier phases_changed_;
  std::uint64_t requests_received_ = 0;
  std::uint64_t connections_accepted_ = 0;
  ObservationLog* observations_;
  bool in_slow_start_ = false;  // whether the end of slow start must still be logged
};

}  // namespace beechhill::testbed
