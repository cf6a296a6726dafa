// Outlier detection: how much less an endpoint gets that is slower, or fails more, than its peers.
#pragma once

#include "balancer/state/fleet_statistics.h"

namespace beechhill {

/// Factors of an endpoint's load, 1 for one that is like its peers. O(classes).
class OutlierDetector {
 public:
  OutlierDetector(const Settings& settings, const FleetStatistics& statistics)
      : settings_(settings), statistics_(statistics) {}

  /// Guards against an endpoint that is slower than its reports explain, as it is crowded or shares
  /// its machine. Ordinary spread does not count.
  double latency_penalty(const EndpointRecord& record) const {
    const double threshold = kSlowThreshold * statistics_.mean_excess();
    return std::max(1.0, statistics_.latency_excess(record) / threshold);
  }

  /// Guards against endpoints that fail fast and so look idle. Faults of all, or of the tier below,
  /// raise the mean and move no traffic; above the last tier an error may come from below.
  double error_penalty(const EndpointRecord& record, ClassId class_id) const {
    const double weight = settings_.tier + 1 == settings_.tier_count ? kErrorLoad : 1;
    return 1 + weight * statistics_.excess_errors(record, class_id);
  }

 private:
  // Latency excess over the fleet's mean, beyond which an endpoint is an outlier.
  static constexpr double kSlowThreshold = 1.5;
  // Requests in flight that an error weighs like.
  static constexpr double kErrorLoad = 4;

  const Settings& settings_;
  const FleetStatistics& statistics_;
};

}  // namespace beechhill
