// Outlier detection: load penalties for endpoints that are slower or fail more than their peers.
#pragma once

#include "balancer/state/fleet_statistics.h"

namespace beechhill {

/// Computes penalties, which multiply an endpoint's load; each is at least 1. O(classes).
class OutlierDetector {
 public:
  OutlierDetector(const Settings& settings, const FleetStatistics& statistics)
      : settings_(settings), statistics_(statistics) {}

  /// Returns the penalty for responses slower than the load reports explain, which indicates an
  /// overload or a shared machine. Ordinary variation is not penalized.
  double latency_penalty(const EndpointRecord& record) const {
    const double threshold = kSlowThreshold * statistics_.mean_excess();
    return std::max(1.0, statistics_.latency_excess(record) / threshold);
  }

  /// Returns the penalty for more errors than the fleet's mean, as an endpoint that fails fast
  /// looks idle. Errors weigh less above the last tier, as they may come from the tier below.
  double error_penalty(const EndpointRecord& record, ClassId class_id) const {
    const double weight = settings_.tier + 1 == settings_.tier_count ? kErrorLoad : 1;
    return 1 + weight * statistics_.excess_errors(record, class_id);
  }

 private:
  // Multiple of the fleet's mean latency excess beyond which an endpoint is an outlier.
  static constexpr double kSlowThreshold = 1.5;
  // Amount by which each excess error raises the load factor in the last tier.
  static constexpr double kErrorLoad = 4;

  const Settings& settings_;
  const FleetStatistics& statistics_;
};

}  // namespace beechhill
