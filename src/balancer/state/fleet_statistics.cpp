#include "balancer/state/fleet_statistics.h"

#include <algorithm>
#include <cmath>

namespace beechhill {
namespace {

// Upper bounds of plausible reports. A report with a higher value is ignored.
constexpr double kMaxUtilization = 8;
constexpr double kMaxRequestsPerS = 1e5;
// Fraction by which a new report reduces the sums of earlier ones.
constexpr double kReportSmoothing = 0.2;
// Fraction by which a new latency reduces the sums of earlier ones. It is higher than that of
// reports, as an endpoint can become slow suddenly.
constexpr double kLatencySmoothing = 0.3;
// Upper bound of a latency ratio: one very slow response must not outweigh ten normal ones.
constexpr double kMaxLatencyRatio = 4;
// Weight of the prior in an estimate, in responses or in utilization.
constexpr double kPrior = 1;
// Weight of the instance type's latency as the prior of an endpoint's, in responses. It is low, as
// a few responses suffice to estimate a latency.
constexpr double kLatencyPrior = 0.5;
// Weight of the fleet's mean as the prior of an instance type's weight, in utilization. It is low,
// as types differ more than endpoints of one type.
constexpr double kTypePrior = 0.5;
// Lower bound of relative weights; its inverse is the upper bound.
constexpr double kMinWeight = 0.1;
// Minimum number of attempts of a class at an endpoint before their error rate is compared with the
// fleet's.
constexpr double kMinClassAttempts = 4;
// Number of standard deviations by which errors may exceed the mean without a penalty.
constexpr double kErrorDeviations = 2;
// Time constant of the average utilization of the balancer's zone, in seconds.
constexpr double kZoneUtilizationWindowS = 2;
// Time constant of the balancer's attempt rate, in seconds.
constexpr double kAttemptRateWindowS = 5;
// Minimum time constant of EndpointState::recent_attempts, in rounds of one attempt per endpoint in
// use.
constexpr double kMinRounds = 4;
// Minimum time constant of EndpointState::recent_attempts, in typical latencies.
constexpr double kMinLatencies = 4;
// Lower bound of the attempt rate as a divisor, in attempts per second.
constexpr double kMinAttemptsPerS = 0.01;
// A large fleet's sums are recomputed once per (endpoints / kRefreshDivisor) selections.
constexpr std::size_t kRefreshDivisor = 10;

// Stands for an absent value of a report. It is out of bounds, so the report is ignored.
constexpr double kNotReported = -1;

// Returns whether the value is in [0, `max`]; false for NaN.
bool within(double value, double max) {
  return value >= 0 && value <= max;
}

bool is_error(Result result) {
  return result != Result::kOk && result != Result::kOverloaded && result != Result::kCancelled &&
         result != Result::kSkipped;
}

}  // namespace

FleetStatistics::FleetStatistics(const Settings& settings, const LatencyTracker& latencies,
                                 EndpointTable& endpoints, Time now)
    : settings_(settings),
      latencies_(latencies),
      endpoints_(endpoints),
      started_at_(now),
      by_class_(settings.classes.size()) {
}

void FleetStatistics::add_instance_type(std::uint32_t instance_type) {
  if (by_instance_type_.size() <= instance_type) {
    by_instance_type_.resize(instance_type + 1);
  }
}

void FleetStatistics::record_attempt(EndpointRecord& record, ClassId class_id, Time now) {
  if (record.in_flight++ == 0) {
    record.waiting_since = now;
  }
  record.recent_attempts += 1;
  record.outcomes[class_id].attempts += 1;
  attempts_.add(now, kAttemptRateWindowS, 1);
}

void FleetStatistics::record_outcome(EndpointRecord& record, ClassId class_id, Result result,
                                     double latency_s, double average_s, Time now) {
  decay(record, now);
  // A failure faster than the average says nothing about latency.
  if (average_s > 0 && (result == Result::kOk || latency_s > average_s)) {
    const double ratio = std::min(latency_s / average_s, kMaxLatencyRatio);
    record.stats.add_latency_ratio(ratio, kLatencySmoothing);
  }
  record.outcomes[class_id].errors += is_error(result) ? 1 : 0;
}

void FleetStatistics::record_report(EndpointRecord& record, const LoadReport& report, Time now) {
  const double requests_per_s = report.requests_per_s.value_or(kNotReported);
  const double utilization = report.utilization.value_or(kNotReported);
  if (!within(requests_per_s, kMaxRequestsPerS) || !within(utilization, kMaxUtilization)) {
    return;
  }
  if (record.entry.zone == settings_.zone) {
    zone_utilization_.add(now, kZoneUtilizationWindowS, utilization);
  }
  EndpointStats& stats = record.stats;
  stats.weighted_rates += requests_per_s - kReportSmoothing * stats.weighted_rates;
  stats.weighted_utilizations += utilization - kReportSmoothing * stats.weighted_utilizations;
}

void FleetStatistics::decay(EndpointRecord& record, Time now) const {
  if (record.decayed_at >= now) {
    return;
  }
  const double window_s =
      kMinRounds * subset_size_ / std::max(attempts_per_s(now), kMinAttemptsPerS);
  record.decay(now, std::max(kMinLatencies * latencies_.typical_s(), window_s));
}

bool FleetStatistics::refresh_due() {
  if (!endpoints_.is_small() &&
      selections_since_refresh_++ < endpoints_.positive_up_count() / kRefreshDivisor) {
    return false;
  }
  selections_since_refresh_ = 0;
  return true;
}

void FleetStatistics::refresh() {
  const std::size_t up_count = endpoints_.up_count();
  std::fill(by_instance_type_.begin(), by_instance_type_.end(), EndpointStats{});
  std::fill(by_class_.begin(), by_class_.end(), OutcomeCounts{});
  EndpointStats totals;
  endpoints_.visit_first(up_count, [&](const EndpointRecord& record) {
    totals += record.stats;
    by_instance_type_[record.entry.instance_type] += record.stats;
    for (ClassId id = 0; id < by_class_.size(); ++id) {
      by_class_[id] += record.outcomes[id];
    }
  });
  const OutcomeCounts outcomes = sum(by_class_);
  mean_error_rate_ = outcomes.errors / (outcomes.attempts + 1);
  const bool reported = totals.weighted_utilizations > 0 && totals.weighted_rates > 0;
  mean_weight_ = reported ? totals.weighted_rates / totals.weighted_utilizations : 1;
  mean_excess_ = up_count > 0 ? 0 : 1;
  endpoints_.visit_first(up_count, [&](const EndpointRecord& record) {
    mean_excess_ += latency_excess(record) / static_cast<double>(up_count);
  });
}

// The rate is computed for `now`, so it also decays between attempts. Otherwise a replica that
// seldom sends would overestimate it.
double FleetStatistics::attempts_per_s(Time now) const {
  return attempts_.rate_per_s(now, kAttemptRateWindowS, started_at_);
}

double FleetStatistics::zone_utilization(Time now) const {
  return zone_utilization_.mean(now, kZoneUtilizationWindowS);
}

// Reports are weighted by their utilization, and a single one is imprecise. Therefore the prior of
// an endpoint's estimate is that of its instance type, whose prior is the fleet's mean.
double FleetStatistics::relative_weight(const EndpointRecord& record) const {
  const EndpointStats& type = type_stats(record);
  const double type_weight =
      (type.weighted_rates / mean_weight_ + kTypePrior) / (type.weighted_utilizations + kTypePrior);
  const double weight = (record.stats.weighted_rates / mean_weight_ + kPrior * type_weight) /
                        (record.stats.weighted_utilizations + kPrior);
  return std::clamp(weight, kMinWeight, 1 / kMinWeight);
}

double FleetStatistics::latency_excess(const EndpointRecord& record) const {
  const EndpointStats& type = type_stats(record);
  const double type_ratio =
      (type.weighted_latency_ratios + kPrior) / (type.response_weight + kPrior);
  const double ratio = (record.stats.weighted_latency_ratios + kLatencyPrior * type_ratio) /
                       (record.stats.response_weight + kLatencyPrior);
  return ratio * relative_weight(record);
}

// Returns 0 if the endpoint fails only other classes, so that it keeps its share of this one.
// Otherwise its peers would be overloaded.
double FleetStatistics::excess_errors(const EndpointRecord& record, ClassId class_id) const {
  const OutcomeCounts& own = record.outcomes[class_id];
  const OutcomeCounts& fleet = by_class_[class_id];
  if (own.attempts >= kMinClassAttempts &&
      own.errors <= own.attempts * fleet.errors / (fleet.attempts + 1)) {
    return 0;
  }
  const OutcomeCounts totals = sum(record.outcomes);
  const double expected = totals.attempts * mean_error_rate_;
  return std::max(0.0, totals.errors - expected - kErrorDeviations * std::sqrt(expected));
}

}  // namespace beechhill
