#include "balancer/policy/endpoint_selector.h"

#include <cmath>

namespace beechhill {
namespace {

// Utilization of the balancer's zone above which other zones get requests.
constexpr double kZoneThreshold = 0.8;
// Load, in requests, added to endpoints of other zones up to kZoneThreshold, and less above it.
constexpr double kCrossZoneLoad = 32;
// Minimum number of endpoints that a replica uses.
constexpr double kMinSubset = 8;
// Number of responses within kStatsWindow that suffice to estimate an endpoint's latency.
constexpr double kResponsesPerEndpoint = 10;
// Target number of replicas that use each endpoint of a large fleet.
constexpr double kReplicasPerEndpoint = 20;
// Load, in requests, added to an endpoint for each earlier attempt of the request there.
constexpr double kRepeatedAttemptLoad = 4;
// Time without a response, in typical latencies, that doubles an endpoint's load.
constexpr double kSilentLatencies = 2;

}  // namespace

// Uses a subset of a large fleet, as a slow endpoint is only detected if it gets enough attempts.
// The subset grows with the share of endpoints in slow start, which take little load.
std::optional<EndpointId> EndpointSelector::select(const RequestState& state, Time now) {
  const auto is_warm = [&](const EndpointRecord& record) {
    return !in_.slow_start.warming_up(record, now);
  };
  in_.statistics.refresh_if_due(now, is_warm);
  const double attempts = seconds(EndpointState::kStatsWindow) * in_.statistics.attempts_per_s(now);
  const double target_size = std::max(attempts / kResponsesPerEndpoint,
                                      kReplicasPerEndpoint * up_count() / in_.settings.replicas);
  const double warm_share = std::max(1, in_.statistics.warm_count()) / up_count();
  const double subset_size =
      std::min(up_count(), std::max(kMinSubset, std::min(attempts, target_size)) / warm_share);
  in_.statistics.set_subset_size(subset_size);
  const auto best = least_loaded(state, subset_size, now);
  return best ? best : least_loaded(state, kUnlimited, now);
}

// A sample of a large fleet bounds the cost and keeps replicas from choosing the same endpoint.
std::optional<EndpointId> EndpointSelector::least_loaded(const RequestState& state,
                                                         double subset_size, Time now) {
  std::optional<EndpointId> best;
  double least_load = kUnlimited;
  const double cross_zone = cross_zone_penalty(now);
  const SlowStart::Traffic traffic{in_.statistics.attempts_per_s(now),
                                   static_cast<double>(in_.statistics.warm_count()), up_count()};
  const auto consider = [&](EndpointRecord& record) {
    if (!usable(state, record, traffic, now)) {
      return;
    }
    in_.statistics.decay(record, now);
    // The penalty is added last, as it must not scale with the endpoint's load.
    const double penalty = record.entry.zone != in_.settings.zone ? cross_zone : 0;
    const double candidate_load = load(state, record, now) + penalty;
    if (candidate_load >= least_load) {
      return;
    }
    best = record.entry.id;
    least_load = candidate_load;
  };
  const auto up_count = static_cast<double>(in_.endpoints.up_count());
  const auto count = static_cast<std::size_t>(std::min(up_count, std::ceil(subset_size)));
  if (in_.retries.safe_anywhere(state)) {
    in_.endpoints.visit_candidates(count, consider);
  } else {
    in_.endpoints.visit_first(count, consider);
  }
  return best;
}

bool EndpointSelector::usable(const RequestState& state, EndpointRecord& record,
                              const SlowStart::Traffic& traffic, Time now) const {
  return record.up() && now >= record.overloaded_until &&
         in_.slow_start.has_budget(record, traffic, now) && in_.retries.safe_on(state, record, now);
}

// Returns the load in requests. It grows while no response arrives, as the endpoint may be hung.
double EndpointSelector::load(const RequestState& state, const EndpointRecord& record,
                              Time now) const {
  double load = record.in_flight + record.recent_attempts + record.tie_breaker;
  for (const Attempt& attempt : state.attempts) {
    load += attempt.endpoint == record.entry.id ? kRepeatedAttemptLoad : 0;
  }
  const double waited_s = record.in_flight > 0 ? seconds(now - record.waiting_since) : 0;
  const double silence = waited_s / (kSilentLatencies * in_.latencies.typical_s());
  const double latency_penalty = in_.outliers.latency_penalty(record);
  load *= (1 + silence * silence) * latency_penalty * latency_penalty;
  load *= in_.outliers.error_penalty(record, state.request.class_id);
  return load /
         (in_.statistics.relative_weight(record) * in_.slow_start.capacity_share(record, now));
}

// Returns the load, in requests, added to endpoints of other zones. It decreases to 0 as the
// balancer's zone or the concurrency limit fills up: requests stay in the zone while it has
// capacity and spread evenly once it is full. A constant would always send some to other zones.
double EndpointSelector::cross_zone_penalty(Time now) const {
  if (in_.settings.cross_zone_cost <= 0) {
    return 0;
  }
  const double utilization = std::max(in_.statistics.zone_utilization(now),
                                      (in_.in_flight.running + 1) / in_.limit.value());
  return kCrossZoneLoad * std::clamp((1 - utilization) / (1 - kZoneThreshold), 0.0, 1.0);
}

// With fewer requests in flight, the choice between similar endpoints is more random.
void EndpointSelector::record_attempt(EndpointRecord& record, ClassId class_id, double random,
                                      Time now) {
  const double idle_share = std::max(0.0, 1 - in_.in_flight.mean_running / up_count());
  record.tie_breaker = 1 - random * idle_share;
  if (in_.slow_start.warming_up(record, now)) {
    record.slow_start_budget.tokens -= 1;
  }
  in_.statistics.record_attempt(record, class_id, now);
}

}  // namespace beechhill
