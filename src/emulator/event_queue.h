/// The events of an emulated deployment, and the queue that orders them by time and, within one
/// instant, by the order in which they were scheduled.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <queue>
#include <variant>
#include <vector>

#include "beechhill/balancer.h"
#include "emulator/node.h"

namespace beechhill::emulator {

/// A client's operation: its request with all its attempts. An id of a Slab.
using OperationId = std::uint64_t;

/// One run of a proxy's process. An event for an earlier incarnation is void.
struct ProxyIncarnation {
  std::uint32_t proxy = 0;
  std::uint64_t incarnation = 0;
};

/// The next operation arrives.
struct ArrivalDue {};
/// A client sends its operation again.
struct ClientRetryDue {
  OperationId operation = 0;
};
/// The client of a paused proxy waits no longer for this attempt.
struct ClientTimeout {
  OperationId operation = 0;
  std::uint32_t attempt = 0;
};
/// A job makes its next call to the tier below.
struct DownstreamCallDue {
  JobId job = 0;
};
/// The last byte of an attempt is at its backend.
struct JobArrived {
  JobId job = 0;
};
/// A job's phase is over: its core is free again.
struct JobPhaseDone {
  JobId job = 0;
};
/// An attempt's result is back at the proxy.
struct AttemptResponse {
  JobId job = 0;
};
struct AttemptCancelled {
  RequestId request = 0;
  std::uint32_t attempt = 0;
};
struct RequestDeadline {
  RequestId request = 0;
};
/// The grace after a request's deadline is over too.
struct AnswerOverdue {
  RequestId request = 0;
};
struct ProxyTimer {
  ProxyIncarnation proxy;
  TimerToken token = 0;
};
/// A message of discovery reaches a proxy: one update by its number, or the full endpoint list.
struct EndpointUpdateDelivered {
  ProxyIncarnation proxy;
  std::optional<std::size_t> update;
};
struct HealthCheckDone {
  ProxyIncarnation proxy;
  EndpointId endpoint = 0;
  bool succeeded = false;
};
/// A proxy that was paused has the endpoint list anew, or has waited long enough for it.
struct ProxyResynced {
  ProxyIncarnation proxy;
  bool list_received = false;
};
struct FaultBegins {
  std::size_t fault = 0;
};
struct FaultEnds {
  std::size_t fault = 0;
};
/// A rolling replacement goes on with the next backend.
struct ReplacementDue {
  std::size_t fault = 0;
  EndpointId endpoint = 0;
};
/// A backend that was drained for good stops.
struct DrainedBackendStops {
  std::uint32_t tier = 0;
  EndpointId endpoint = 0;
};
/// A second of the time series ends.
struct SecondEnds {
  std::size_t second = 0;
};

using SimulationEvent =
    std::variant<ArrivalDue, ClientRetryDue, ClientTimeout, DownstreamCallDue, JobArrived,
                 JobPhaseDone, AttemptResponse, AttemptCancelled, RequestDeadline, AnswerOverdue,
                 ProxyTimer, EndpointUpdateDelivered, HealthCheckDone, ProxyResynced, FaultBegins,
                 FaultEnds, ReplacementDue, DrainedBackendStops, SecondEnds>;

struct ScheduledEvent {
  Time at{0};
  std::uint64_t sequence = 0;
  SimulationEvent event;

  bool operator>(const ScheduledEvent& other) const {
    return at != other.at ? at > other.at : sequence > other.sequence;
  }
};

/// A binary heap: O(log n) to schedule and to pop.
class EventQueue {
 public:
  void schedule(Time at, const SimulationEvent& event) {
    heap_.push(ScheduledEvent{at, next_sequence_++, event});
  }
  bool empty() const { return heap_.empty(); }
  /// The earliest event. The queue must not be empty.
  const ScheduledEvent& top() const { return heap_.top(); }
  void pop() { heap_.pop(); }

 private:
  std::priority_queue<ScheduledEvent, std::vector<ScheduledEvent>, std::greater<>> heap_;
  std::uint64_t next_sequence_ = 0;
};

}  // namespace beechhill::emulator
