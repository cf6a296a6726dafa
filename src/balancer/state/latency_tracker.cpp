#include "balancer/state/latency_tracker.h"

#include <algorithm>

namespace beechhill {

LatencyTracker::LatencyTracker(const std::vector<ClassSettings>& classes)
    : average_(classes.size()), slow_(classes.size()) {
  for (const ClassSettings& settings : classes) {
    shortest_objective_ = std::min(shortest_objective_, seconds(settings.latency_objective));
  }
}

void LatencyTracker::add(ClassId class_id, double latency_s) {
  double& average = average_[class_id];
  double& slow = slow_[class_id];
  if (average > 0) {
    slow = slow + kSmoothing * average * (latency_s > slow ? kSlowRise : kSlowFall);
    average += kSmoothing * (latency_s - average);
  } else {
    slow = kFirstSlowFactor * latency_s;
    average += latency_s - average;
  }
  overall_ += (overall_ > 0 ? kOverallSmoothing : 1) * (latency_s - overall_);
}

}  // namespace beechhill
