// What an embedder tells a balancer.
#pragma once

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

#include "beechhill/types.h"

namespace beechhill {

/// What an endpoint reported of itself; any part may be absent. Not checked by the embedder: values
/// that make no sense are ignored.
struct LoadReport {
  /// Part of its capacity in use, 1 when full.
  std::optional<double> utilization;
  std::optional<double> requests_per_s;
};

enum class EndpointStatus { kUp, kDraining, kRemoved };

/// An entry of the endpoint list.
struct Endpoint {
  EndpointId id = 0;
  EndpointStatus status = EndpointStatus::kUp;
  std::uint32_t zone = 0;
  std::uint32_t cell = 0;
  /// Absent: long ago. Another time than before means that it was restarted.
  std::optional<Time> started_at;
  /// Endpoints of one type have about the same capacity. Dense from 0.
  std::uint32_t instance_type = 0;
};

enum class UpdateKind {
  kDelta,     // the endpoints that have changed
  kSnapshot,  // all endpoints: those not named are removed
  kCached,    // as a snapshot, from before this process started
  kFailed,    // discovery did not answer; names none
};

struct EndpointUpdate {
  UpdateKind kind = UpdateKind::kSnapshot;
  std::vector<Endpoint> endpoints;
};

/// A request has come. It is answered by one final outcome, Reject or Fail, unless its client
/// disconnects before.
struct Request {
  RequestId id = 0;
  ClassId class_id = 0;
  TenantId tenant = kNoTenant;
  /// When the client gives up.
  Time deadline{0};
  /// How much work the client announced.
  std::optional<Duration> work_hint;
  /// Its body is still coming: how long it takes tells nothing of its endpoint.
  bool streams_body = false;
};

/// The first byte of an answer has gone to the client.
struct FirstByte {
  RequestId id = 0;
  /// From 0, in the order of the StartAttempt actions.
  std::uint32_t attempt = 0;
};

enum class Result {
  kOk,
  kError,          // an answer that says it failed
  kOverloaded,     // refused by the endpoint: it took no effect
  kTimeout,        // no answer before the deadline
  kConnectFailed,  // never sent
  kReset,          // the connection broke
  kCancelled,
  kSkipped,  // never sent, for a reason that is not the endpoint's
};

/// The end of an attempt. Each attempt has one, at the request's deadline at the latest.
struct Outcome {
  RequestId id = 0;
  std::uint32_t attempt = 0;
  Result result = Result::kOk;
  /// The client has its answer: nothing may follow.
  bool is_final = false;
  LoadReport report;
  /// The body has gone out in part and is not kept: the request cannot be sent again.
  bool body_consumed = false;
};

/// The client of a request has left before its answer. Attempts in flight still get an Outcome.
struct ClientDisconnected {
  RequestId id = 0;
};

/// The answer to a HealthCheck action.
struct HealthCheckResult {
  EndpointId endpoint = 0;
  Result result = Result::kOk;
  LoadReport report;
};

/// The timer of a SetTimer action has expired.
struct Timer {
  TimerToken token = 0;
};

/// What reports and answers showed of one incarnation of an endpoint; decays. The sums have no unit
/// of their own: their ratios count, and how much stands behind them.
struct EndpointStats {
  /// Reported requests a second, and reported utilization.
  double weighted_rates = 0;
  double weighted_utilizations = 0;
  /// Latencies over what the class usually takes, and the weight of the answers behind them.
  double weighted_latency_ratios = 0;
  double response_weight = 0;

  /// Adds one answer; what stands there loses the part `fading`, in [0, 1].
  void add_latency_ratio(double ratio, double fading) {
    weighted_latency_ratios += ratio - fading * weighted_latency_ratios;
    response_weight += 1 - fading * response_weight;
  }
  EndpointStats& operator+=(const EndpointStats& other) {
    weighted_rates += other.weighted_rates;
    weighted_utilizations += other.weighted_utilizations;
    weighted_latency_ratios += other.weighted_latency_ratios;
    response_weight += other.response_weight;
    return *this;
  }
};

/// What an earlier process knew of an endpoint in the incarnation that the list names, as far as it
/// still counts. Not checked: whoever reads it from a disk bounds it.
struct RestoredStats {
  EndpointId endpoint = 0;
  EndpointStats stats;
};

/// An operator excludes an endpoint from new requests, or readmits it, whatever the list says of
/// it. May come before the list that first names it. A readmitted endpoint counts as just started.
struct EndpointExclusion {
  EndpointId endpoint = 0;
  bool excluded = true;
};

/// The order of the alternatives is part of recorded traces.
using Event = std::variant<EndpointUpdate, Request, FirstByte, Outcome, ClientDisconnected,
                           HealthCheckResult, Timer, EndpointExclusion, RestoredStats>;

}  // namespace beechhill
