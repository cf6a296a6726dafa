#include "balancer/state/fleet_statistics.h"

#include <algorithm>
#include <cmath>

namespace beechhill {
namespace {

// Of reports. One beyond either bound is absurd, and none.
constexpr double kMaxUtilization = 8;
constexpr double kMaxRequestsPerS = 1e5;
// Weight of a new report.
constexpr double kReportSmoothing = 0.2;
// Weight of a new latency: quick, as an endpoint can turn slow at once.
constexpr double kLatencySmoothing = 0.3;
// One stuck answer must not outweigh ten good ones.
constexpr double kMaxLatencyRatio = 4;
// Answers, or utilization, that what all show stands for.
constexpr double kPrior = 1;
// Answers, of an endpoint's latency, that its type's stands for: few tell it; 0.25 to 0.5 alike.
constexpr double kLatencyPrior = 0.5;
// Utilization that the mean stands for beside a type's: types differ more than endpoints.
constexpr double kTypePrior = 0.5;
// Of the mean weight; no endpoint's is under it, nor over its inverse.
constexpr double kMinWeight = 0.1;
// Attempts of a class that tell whether an endpoint fails it.
constexpr double kMinClassAttempts = 4;
// Standard deviations of errors that count as chance.
constexpr double kErrorDeviations = 2;
// Seconds, memory of the own zone's utilization; 1 to 4 alike.
constexpr double kZoneUtilizationWindowS = 2;
// Seconds, memory of the rate of own attempts.
constexpr double kAttemptRateWindowS = 5;
// Over the endpoints in use, that own attempts are remembered at the least.
constexpr double kMinRounds = 4;
// Typical latencies that own attempts are remembered at the least.
constexpr double kMinLatencies = 4;
// Attempts a second below which the rate tells nothing.
constexpr double kMinAttemptsPerS = 0.01;
// A large fleet is surveyed once in endpoints / this many choices.
constexpr std::size_t kSurveyShare = 10;

// Stands for a figure that a report does not have; out of bounds, too.
constexpr double kNotReported = -1;

// False for NaN.
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
                                     double latency_s, double usual_s, Time now) {
  decay(record, now);
  // A failure that came early tells nothing of how long answers take.
  if (usual_s > 0 && (result == Result::kOk || latency_s > usual_s)) {
    const double ratio = std::min(latency_s / usual_s, kMaxLatencyRatio);
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
  const double rounds_s =
      kMinRounds * subset_size_ / std::max(attempts_per_s(now), kMinAttemptsPerS);
  record.decay(now, std::max(kMinLatencies * latencies_.typical_s(), rounds_s));
}

bool FleetStatistics::survey_due() {
  if (!endpoints_.is_small() &&
      choices_since_survey_++ < endpoints_.positive_up_count() / kSurveyShare) {
    return false;
  }
  choices_since_survey_ = 0;
  return true;
}

void FleetStatistics::survey() {
  const std::size_t up_count = endpoints_.up_count();
  std::fill(by_instance_type_.begin(), by_instance_type_.end(), EndpointStats{});
  std::fill(by_class_.begin(), by_class_.end(), OutcomeCounts{});
  EndpointStats all;
  endpoints_.visit_first(up_count, [&](const EndpointRecord& record) {
    all += record.stats;
    by_instance_type_[record.entry.instance_type] += record.stats;
    for (ClassId id = 0; id < by_class_.size(); ++id) {
      by_class_[id] += record.outcomes[id];
    }
  });
  const OutcomeCounts outcomes = sum(by_class_);
  mean_error_rate_ = outcomes.errors / (outcomes.attempts + 1);
  const bool reported = all.weighted_utilizations > 0 && all.weighted_rates > 0;
  mean_weight_ = reported ? all.weighted_rates / all.weighted_utilizations : 1;
  mean_excess_ = up_count > 0 ? 0 : 1;
  endpoints_.visit_first(up_count, [&](const EndpointRecord& record) {
    mean_excess_ += latency_excess(record) / static_cast<double>(up_count);
  });
}

// Decays between attempts too, or a replica that seldom sends would take its rate for high.
double FleetStatistics::attempts_per_s(Time now) const {
  return attempts_.rate_per_s(now, kAttemptRateWindowS, started_at_);
}

double FleetStatistics::zone_utilization(Time now) const {
  return zone_utilization_.mean(now, kZoneUtilizationWindowS);
}

// A report says as much as its endpoint was busy, and one alone is far off: an endpoint starts from
// what its instance type reported, and each type from the mean.
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

// An endpoint that fails another class must keep this one, or its peers get more than they can do.
double FleetStatistics::excess_errors(const EndpointRecord& record, ClassId class_id) const {
  const OutcomeCounts& own = record.outcomes[class_id];
  const OutcomeCounts& fleet = by_class_[class_id];
  if (own.attempts >= kMinClassAttempts &&
      own.errors <= own.attempts * fleet.errors / (fleet.attempts + 1)) {
    return 0;
  }
  const OutcomeCounts all = sum(record.outcomes);
  const double usual = all.attempts * mean_error_rate_;
  return std::max(0.0, all.errors - usual - kErrorDeviations * std::sqrt(usual));
}

}  // namespace beechhill
