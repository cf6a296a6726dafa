// Moving estimates of how long answers take.
#pragma once

#include <vector>

#include "balancer/state/units.h"
#include "beechhill/settings.h"

namespace beechhill {

/// All latencies in seconds, of successful answers only. O(1) for each.
class LatencyTracker {
 public:
  explicit LatencyTracker(const std::vector<ClassSettings>& classes);

  void add(ClassId class_id, double latency_s);

  /// A class's moving average; 0 before its first answer.
  double average_s(ClassId class_id) const { return average_[class_id]; }
  /// What one answer in ten of a class exceeds; 0 before its first answer.
  double slow_s(ClassId class_id) const { return slow_[class_id]; }
  /// The average over all classes; a quarter of the shortest objective before the first answer.
  double typical_s() const {
    return overall_ > 0 ? overall_ : shortest_objective_ / kFirstTypicalDivisor;
  }
  /// The shortest latency objective of all classes.
  double shortest_objective_s() const { return shortest_objective_; }

 private:
  static constexpr double kSmoothing = 0.2;  // weight of a new sample
  // Steps of the slow estimate, whose ratio settles it where one answer in ten is slower.
  static constexpr double kSlowRise = 0.9;
  static constexpr double kSlowFall = -0.1;
  static constexpr double kFirstSlowFactor = 1.5;    // of the first answer
  static constexpr double kFirstTypicalDivisor = 4;  // of the shortest objective
  static constexpr double kOverallSmoothing = kSmoothing / 4;

  double shortest_objective_ = kUnlimited;
  double overall_ = 0;
  std::vector<double> average_;  // by class
  std::vector<double> slow_;     // by class
};

}  // namespace beechhill
