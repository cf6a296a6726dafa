// The smoothed utilization of each zone, computed from the load reports of its backends.
#pragma once

#include <cstdint>
#include <map>

#include "beechhill/balancer.h"

namespace beechhill::proxy {

/// Exponentially weighted moving averages of the utilization, indexed by zone id.
class ZoneUtilization {
 public:
  /// Ignores reports without a utilization or with one outside 0 to 1.
  void record(std::uint32_t zone, const LoadReport& report) {
    if (!report.utilization || !(*report.utilization >= 0 && *report.utilization <= 1)) {
      return;
    }
    double& average = by_zone_.try_emplace(zone, *report.utilization).first->second;
    average += kSmoothingFactor * (*report.utilization - average);
  }
  const std::map<std::uint32_t, double>& by_zone() const { return by_zone_; }

 private:
  /// Weight of the latest report. The average covers about the last twenty reports.
  static constexpr double kSmoothingFactor = 0.05;

  std::map<std::uint32_t, double> by_zone_;
};

}  // namespace beechhill::proxy
