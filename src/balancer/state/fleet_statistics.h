// Statistics of the endpoints relative to the fleet: weights, latencies, errors and rates.
#pragma once

#include <cstddef>
#include <vector>

#include "balancer/state/decaying_average.h"
#include "balancer/state/endpoint_table.h"
#include "balancer/state/latency_tracker.h"
#include "beechhill/settings.h"

namespace beechhill {

/// Collects the statistics and makes no decisions. Keeps references to its arguments. Sums over the
/// fleet are recomputed by refresh(), O(endpoints * classes); other operations are O(1), or
/// O(classes) for errors.
class FleetStatistics {
 public:
  FleetStatistics(const Settings& settings, const LatencyTracker& latencies,
                  EndpointTable& endpoints, Time now);

  // ---- Recording

  /// Allocates the sums of an instance type. Must be called before an endpoint of the type is used.
  void add_instance_type(std::uint32_t instance_type);
  /// Records the start of an attempt. The caller sets the endpoint's tie-breaker.
  void record_attempt(EndpointRecord& record, ClassId class_id, Time now);
  /// Records the end of an attempt at the endpoint's current incarnation. `average_s` is the
  /// class's average latency before this outcome, or 0 if unknown.
  void record_outcome(EndpointRecord& record, ClassId class_id, Result result, double latency_s,
                      double average_s, Time now);
  /// Records a load report, unless it is incomplete or implausible.
  void record_report(EndpointRecord& record, const LoadReport& report, Time now);
  /// Decays the statistics of a record up to `now`.
  void decay(EndpointRecord& record, Time now) const;
  /// Sets the number of endpoints that receive this balancer's attempts.
  void set_subset_size(double endpoints) { subset_size_ = endpoints; }

  // ---- The fleet

  /// Must be called for each selection. Recomputes the fleet's sums: every time in a small fleet,
  /// and once per (endpoints / 10) selections in a large one. `is_warm` returns whether a record is
  /// past its slow start.
  template <typename Predicate>
  void refresh_if_due(Time now, const Predicate& is_warm) {
    if (!refresh_due()) {
      return;
    }
    warm_count_ = 0;
    endpoints_.visit_first(endpoints_.up_count(), [&](EndpointRecord& record) {
      decay(record, now);
      warm_count_ += is_warm(record) ? 1 : 0;
    });
    refresh();
  }
  /// Counts `count` changed endpoints as selections, so that the next refresh is due earlier.
  void count_changes(std::size_t count) { selections_since_refresh_ += count; }

  /// Returns the number of endpoints past slow start at the last refresh.
  int warm_count() const { return warm_count_; }
  /// Returns the fleet's mean of latency_excess().
  double mean_excess() const { return mean_excess_; }
  /// Returns this balancer's rate of attempts per second.
  double attempts_per_s(Time now) const;
  /// Returns the recent mean utilization reported in this balancer's zone; 0 without reports.
  double zone_utilization(Time now) const;

  // ---- One endpoint

  /// Returns the endpoint's capacity relative to the fleet's mean, where capacity is the reported
  /// request rate over the reported utilization.
  double relative_weight(const EndpointRecord& record) const;
  /// Returns the endpoint's latency relative to its class's average, times relative_weight(): how
  /// much slower the endpoint is than its load reports explain.
  double latency_excess(const EndpointRecord& record) const;
  /// Returns the number of the endpoint's errors, over all classes, beyond the fleet's mean and
  /// random variation. Returns 0 for a class that the endpoint fails no more often than its peers.
  double excess_errors(const EndpointRecord& record, ClassId class_id) const;
  /// Returns the decaying sum of the utilization that the endpoint's instance type reported, which
  /// shows how reliable the type's weight is.
  double type_utilization_sum(const EndpointRecord& record) const {
    return type_stats(record).weighted_utilizations;
  }

 private:
  bool refresh_due();
  void refresh();
  const EndpointStats& type_stats(const EndpointRecord& record) const {
    return by_instance_type_[record.entry.instance_type];
  }

  const Settings& settings_;
  const LatencyTracker& latencies_;
  EndpointTable& endpoints_;
  const Time started_at_;
  DecayingAverage attempts_;
  DecayingAverage zone_utilization_;
  std::vector<EndpointStats> by_instance_type_;
  std::vector<OutcomeCounts> by_class_;
  int warm_count_ = 1;
  double mean_weight_ = 1;      // requests per second at full utilization
  double mean_error_rate_ = 0;  // errors per attempt
  double mean_excess_ = 1;
  double subset_size_ = 1;
  std::size_t selections_since_refresh_ = 0;
};

}  // namespace beechhill
