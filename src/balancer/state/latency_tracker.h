// Moving estimates of response times.
#pragma once

#include <vector>

#include "balancer/state/units.h"
#include "beechhill/settings.h"

namespace beechhill {

/// Estimates latencies of successful responses, in seconds. Each operation is O(1).
class LatencyTracker {
 public:
  explicit LatencyTracker(const std::vector<ClassSettings>& classes);

  void add(ClassId class_id, double latency_s);

  /// Returns a class's moving average; 0 before its first response.
  double average_s(ClassId class_id) const { return average_[class_id]; }
  /// Returns the latency that one response in ten of a class exceeds (90th percentile); 0 before
  /// the first response.
  double slow_s(ClassId class_id) const { return slow_[class_id]; }
  /// Returns the average over all classes; before the first response, a quarter of the shortest
  /// objective.
  double typical_s() const {
    return overall_ > 0 ? overall_ : shortest_objective_ / kFirstTypicalDivisor;
  }
  /// Returns the shortest latency objective of all classes.
  double shortest_objective_s() const { return shortest_objective_; }

 private:
  static constexpr double kSmoothing = 0.2;  // weight of a new sample
  // Steps by which slow_s() rises and falls, in units of kSmoothing times the average. Their ratio
  // makes it converge to the 90th percentile.
  static constexpr double kSlowRise = 0.9;
  static constexpr double kSlowFall = -0.1;
  static constexpr double kFirstSlowFactor = 1.5;    // initial slow_s() over the first latency
  static constexpr double kFirstTypicalDivisor = 4;  // shortest objective over initial typical_s()
  static constexpr double kOverallSmoothing = kSmoothing / 4;

  double shortest_objective_ = kUnlimited;
  double overall_ = 0;
  std::vector<double> average_;  // indexed by ClassId
  std::vector<double> slow_;     // indexed by ClassId
};

}  // namespace beechhill
