// Outlier detection: load penalties for endpoints that are slower or fail more than their peers.
#pragma once

#include "balancer/state/fleet_statistics.h"

namespace beechhill {

/// Computes factors of an endpoint's load; 1 for an endpoint like its peers. O(classes).
class OutlierDetector {
 public:
  OutlierDetector(const Settings& settings, const FleetStatistics& statistics)
      : settings_(settings), statistics_(statistics) {}

  /// Penalizes an endpoint that is slower than its load reports explain, as it is overloaded or
  /// shares its machine. Ordinary variation has no penalty.
  double latency_penalty(const EndpointRecord& record) const {
    const double threshold = kSlowThreshold * statistics_.mean_excess();
    return std::max(1.0, statistics_.latency_excess(record) / threshold);
  }

  /// Penalizes endpoints that fail fast and so look idle. Faults that all endpoints share only
  /// raise the mean. Errors weigh less above the last tier, as they may come from the tier below.
  double error_penalty(const EndpointRecord& record, ClassId class_id) const {
    const double weight = settings_.tier + 1 == settings_.tier_count ? kErrorLoad : 1;
    return 1 + weight * statistics_.excess_errors(record, class_id);
  }

 private:
  // Multiple of the fleet's mean latency excess beyond which an endpoint is an outlier.
  static constexpr double kSlowThreshold = 1.5;
  // Load that an error in the last tier adds, in requests in flight.
  static constexpr double kErrorLoad = 4;

  const Settings& settings_;
  const FleetStatistics& statistics_;
};

}  // namespace beechhill
