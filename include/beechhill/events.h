// Events that an embedder passes to a Balancer.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

#include "beechhill/types.h"

namespace beechhill {

/// A load report of an endpoint. Each field may be absent. The embedder need not check the values:
/// the balancer ignores reports with invalid ones.
struct LoadReport {
  /// Fraction of the endpoint's capacity that is in use; 1 when it is full.
  std::optional<double> utilization;
  std::optional<double> requests_per_s;
};

enum class EndpointStatus { kUp, kDraining, kRemoved };

/// An entry of the endpoint list that discovery provides.
struct Endpoint {
  EndpointId id = 0;
  EndpointStatus status = EndpointStatus::kUp;
  std::uint32_t zone = 0;
  std::uint32_t cell = 0;
  /// Time at which the endpoint started; absent if it started long ago. A changed value means a
  /// restart.
  std::optional<Time> started_at;
  /// Index of the instance type, dense from 0. Endpoints of one type have similar capacity.
  std::uint32_t instance_type = 0;
};

enum class UpdateKind {
  kDelta,     // names the endpoints that have changed
  kSnapshot,  // names all endpoints; any others are removed
  kCached,    // a snapshot from before this process started
  kFailed,    // discovery did not answer; names no endpoint
};

struct EndpointUpdate {
  UpdateKind kind = UpdateKind::kSnapshot;
  std::vector<Endpoint> endpoints;
};

/// A request has arrived. It is answered by a final Outcome, a Reject or a Fail, unless its client
/// disconnects first.
struct Request {
  RequestId id = 0;
  ClassId class_id = 0;
  TenantId tenant = kNoTenant;
  /// Time at which the client stops waiting.
  Time deadline{0};
  /// The processing time that the client announced.
  std::optional<Duration> work_hint;
  /// Whether the request body is still being received from the client. The latency of such a
  /// request depends on its client, so the balancer uses the class's average latency instead.
  bool streams_body = false;
};

/// The first byte of a response has been sent to the client.
struct FirstByte {
  RequestId id = 0;
  /// Index of the attempt, from 0, in the order of the request's StartAttempt actions.
  std::uint32_t attempt = 0;
};

enum class Result {
  kOk,
  kError,          // the endpoint answered with an error
  kOverloaded,     // rejected by the endpoint without taking effect
  kTimeout,        // no response before the deadline
  kConnectFailed,  // not sent: no connection could be established
  kReset,          // the connection broke
  kCancelled,
  kSkipped,  // not sent, for a reason unrelated to the endpoint
};

/// Returns the name of `result` in logs and traces, a string literal.
constexpr const char* name(Result result) {
  constexpr const char* kNames[] = {"ok",    "error",     "full", "timeout", "connect_failed",
                                    "reset", "cancelled", "moot"};
  return kNames[static_cast<std::size_t>(result)];
}

/// The end of an attempt. The embedder must report exactly one Outcome per attempt, at the latest
/// at the request's deadline.
struct Outcome {
  RequestId id = 0;
  std::uint32_t attempt = 0;
  Result result = Result::kOk;
  /// Whether the client has its answer, so that no further attempt may start.
  bool is_final = false;
  LoadReport report;
  /// Whether part of the request body was sent and not kept, so that the request cannot be sent
  /// again.
  bool body_consumed = false;
  /// Whether another endpoint has taken the address of the attempt's endpoint, so that the request
  /// may have run at the other endpoint.
  bool address_reassigned = false;
};

/// The client disconnected before its request was answered. The embedder must still report an
/// Outcome for each attempt in flight.
struct ClientDisconnected {
  RequestId id = 0;
};

/// The result of a HealthCheck action.
struct HealthCheckResult {
  EndpointId endpoint = 0;
  Result result = Result::kOk;
  LoadReport report;
};

/// The timer of a SetTimer action has expired.
struct Timer {
  TimerToken token = 0;
};

/// Decaying sums of the load reports and latencies of one incarnation of an endpoint. Only the
/// ratio of a pair of sums is meaningful: it is an estimate, whose reliability grows with the
/// denominator.
struct EndpointStats {
  /// Sums of the reported requests per second and of the reported utilization.
  double weighted_rates = 0;
  double weighted_utilizations = 0;
  /// Sum of latencies, each divided by the average of its class, and total weight of the responses
  /// in that sum.
  double weighted_latency_ratios = 0;
  double response_weight = 0;

  /// Adds one response, after reducing both latency sums by the fraction `decay`, in [0, 1].
  void add_latency_ratio(double ratio, double decay) {
    weighted_latency_ratios += ratio - decay * weighted_latency_ratios;
    response_weight += 1 - decay * response_weight;
  }
  EndpointStats& operator+=(const EndpointStats& other) {
    weighted_rates += other.weighted_rates;
    weighted_utilizations += other.weighted_utilizations;
    weighted_latency_ratios += other.weighted_latency_ratios;
    response_weight += other.response_weight;
    return *this;
  }
};

/// Statistics that an earlier process collected for the listed incarnation of an endpoint, decayed
/// to the present. The balancer does not check them, so the embedder must bound values that it
/// reads from a disk.
struct RestoredStats {
  EndpointId endpoint = 0;
  EndpointStats stats;
};

/// An operator excludes an endpoint from new requests, or readmits it, independently of discovery.
/// The event may precede the first update that names the endpoint. A readmitted endpoint is treated
/// as just started, unless discovery has reported a start since the exclusion.
struct EndpointExclusion {
  EndpointId endpoint = 0;
  bool excluded = true;
};

/// The order of the alternatives must not change: recorded traces contain their indices.
using Event = std::variant<EndpointUpdate, Request, FirstByte, Outcome, ClientDisconnected,
                           HealthCheckResult, Timer, EndpointExclusion, RestoredStats>;

}  // namespace beechhill
