#include "balancer/policy/endpoint_selector.h"

#include <cmath>

namespace beechhill {
namespace {

// Utilization of the own zone where others begin to help; 0.6 to 0.85 alike.
constexpr double kZoneThreshold = 0.8;
// Requests that another zone weighs up to there, less beyond; 16 to 64 alike.
constexpr double kCrossZoneLoad = 32;
// Endpoints that a replica uses at the least.
constexpr double kMinSubset = 8;
// Answers of each within kEvidenceWindow that tell its latency; 5 to 20 alike.
constexpr double kAnswersPerEndpoint = 10;
// Replicas that use each endpoint, if they are many; 10 to 20 alike.
constexpr double kReplicasPerEndpoint = 20;
// Requests that an endpoint weighs more for each attempt that it had of the request.
constexpr double kRepeatLoad = 4;
// Typical latencies of silence that double an endpoint's load.
constexpr double kSilentLatencies = 2;

}  // namespace

// Guards against meeting each endpoint so seldom that a slow one is never noticed: few of many are
// in use, and more by so much as some are warming up, which bear little.
std::optional<EndpointId> EndpointSelector::select(const RequestState& state, Time now) {
  const auto is_warm = [&](const EndpointRecord& record) {
    return !in_.slow_start.warming_up(record, now);
  };
  in_.statistics.survey_if_due(now, is_warm);
  const double met = seconds(EndpointState::kEvidenceWindow) * in_.statistics.attempts_per_s(now);
  const double even = std::max(met / kAnswersPerEndpoint,
                               kReplicasPerEndpoint * up_count() / in_.settings.replicas);
  const double warm_share = std::max(1, in_.statistics.warm_count()) / up_count();
  const double subset_size =
      std::min(up_count(), std::max(kMinSubset, std::min(met, even)) / warm_share);
  in_.statistics.set_subset_size(subset_size);
  const auto best = least_loaded(state, subset_size, now);
  return best ? best : least_loaded(state, kUnlimited, now);
}

// A sample guards against walking a big fleet, and against all replicas running to one idle
// endpoint.
std::optional<EndpointId> EndpointSelector::least_loaded(const RequestState& state,
                                                         double subset_size, Time now) {
  std::optional<EndpointId> best;
  double least = kUnlimited;
  const double cross_zone = cross_zone_penalty(now);
  const SlowStart::Traffic traffic{in_.statistics.attempts_per_s(now),
                                   static_cast<double>(in_.statistics.warm_count()), up_count()};
  const auto consider = [&](EndpointRecord& record) {
    if (!usable(state, record, traffic, now)) {
      return;
    }
    in_.statistics.decay(record, now);
    // Added after what scales a load: it tells zones apart, not the endpoints of one.
    const double penalty = record.entry.zone != in_.settings.zone ? cross_zone : 0;
    const double candidate = load(state, record, now) + penalty;
    if (candidate >= least) {
      return;
    }
    best = record.entry.id;
    least = candidate;
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

// In requests. Guards against a frozen endpoint: the longer it is silent, the more it is behind.
double EndpointSelector::load(const RequestState& state, const EndpointRecord& record,
                              Time now) const {
  double load = record.in_flight + record.recent_attempts + record.tie_breaker;
  for (const Attempt& attempt : state.attempts) {
    load += attempt.endpoint == record.entry.id ? kRepeatLoad : 0;
  }
  const double waited_s = record.in_flight > 0 ? seconds(now - record.waiting_since) : 0;
  const double silence = waited_s / (kSilentLatencies * in_.latencies.typical_s());
  const double latency_penalty = in_.outliers.latency_penalty(record);
  load *= (1 + silence * silence) * latency_penalty * latency_penalty;
  load *= in_.outliers.error_penalty(record, state.request.class_id);
  return load /
         (in_.statistics.relative_weight(record) * in_.slow_start.capacity_share(record, now));
}

// In requests, where crossing has a cost: a fixed step would always send a part across. Requests
// stay while the own zone has capacity, and spread evenly once it is full, or the limit binds.
double EndpointSelector::cross_zone_penalty(Time now) const {
  if (in_.settings.cross_zone_cost <= 0) {
    return 0;
  }
  const double used = std::max(in_.statistics.zone_utilization(now),
                               (in_.in_flight.running + 1) / in_.limit.value());
  return kCrossZoneLoad * std::clamp((1 - used) / (1 - kZoneThreshold), 0.0, 1.0);
}

// The less runs, the more chance decides between endpoints that look alike.
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
