/// The events of an emulated deployment, and a queue that orders them by time. Events of equal time
/// keep the order in which they were scheduled.
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

/// Identifies a client's operation, which is one request with all its attempts. An id of a Slab.
using OperationId = std::uint64_t;

/// Identifies one process of a proxy. Each restart of the proxy has a new incarnation number, and
/// events that were scheduled for an earlier incarnation are ignored.
struct ProxyIncarnation {
  std::uint32_t proxy = 0;
  std::uint64_t incarnation = 0;
};

/// The next arrival: a client starts a new operation.
struct ArrivalDue {};
/// A client starts its operation's next attempt.
struct ClientRetryDue {
  OperationId operation = 0;
};
/// The client of a paused proxy stops waiting for the answer to this attempt.
struct ClientTimeout {
  OperationId operation = 0;
  std::uint32_t attempt = 0;
};
/// A job sends its next call to the tier below.
struct DownstreamCallDue {
  JobId job = 0;
};
/// The last byte of an attempt's request has reached its backend.
struct JobArrived {
  JobId job = 0;
};
/// A phase of a job has ended, and its core is free.
struct JobPhaseDone {
  JobId job = 0;
};
/// The result of an attempt has reached the proxy.
struct AttemptResponse {
  JobId job = 0;
};
/// An attempt that its proxy has cancelled ends at the proxy.
struct AttemptCancelled {
  RequestId request = 0;
  std::uint32_t attempt = 0;
};
struct RequestDeadline {
  RequestId request = 0;
};
/// The request's deadline and the grace period after it have passed.
struct AnswerOverdue {
  RequestId request = 0;
};
struct ProxyTimer {
  ProxyIncarnation proxy;
  TimerToken token = 0;
};
/// A discovery message reaches a proxy: the update with this index in DiscoveryFeed, or the
/// full endpoint list if `update` is empty.
struct EndpointUpdateDelivered {
  ProxyIncarnation proxy;
  std::optional<std::size_t> update;
};
struct HealthCheckDone {
  ProxyIncarnation proxy;
  EndpointId endpoint = 0;
  bool succeeded = false;
};
/// A proxy that was paused has received the full endpoint list, or has stopped waiting for it.
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
/// A rolling replacement continues with the backend `endpoint`.
struct ReplacementDue {
  std::size_t fault = 0;
  EndpointId endpoint = 0;
};
/// A backend that was drained for permanent removal stops.
struct DrainedBackendStops {
  std::uint32_t tier = 0;
  EndpointId endpoint = 0;
};
/// One second of the time series ends.
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

/// The scheduled events, ordered by time and then by the order in which they were scheduled.
/// Scheduling and popping take O(log n) time.
class EventQueue {
 public:
  void schedule(Time at, const SimulationEvent& event) {
    heap_.push(ScheduledEvent{at, next_sequence_++, event});
  }
  bool empty() const { return heap_.empty(); }
  /// Returns the earliest event. The queue must not be empty.
  const ScheduledEvent& top() const { return heap_.top(); }
  void pop() { heap_.pop(); }

 private:
  std::priority_queue<ScheduledEvent, std::vector<ScheduledEvent>, std::greater<>> heap_;
  std::uint64_t next_sequence_ = 0;
};

}  // namespace beechhill::emulator
