// What the endpoints show, each compared with all: weights, latencies, errors, rates.
#pragma once

#include <cstddef>
#include <vector>

#include "balancer/state/decaying_average.h"
#include "balancer/state/endpoint_table.h"
#include "balancer/state/latency_tracker.h"
#include "beechhill/settings.h"

namespace beechhill {

/// Measures only. Refers to what the balancer owns. Sums over the fleet are taken anew by survey(),
/// O(endpoints * classes); all else is O(1), or O(classes) for errors.
class FleetStatistics {
 public:
  FleetStatistics(const Settings& settings, const LatencyTracker& latencies,
                  EndpointTable& endpoints, Time now);

  // ---- What happened

  /// Makes room for an instance type, before an endpoint of it is compared.
  void add_instance_type(std::uint32_t instance_type);
  /// An attempt starts. The caller decides on the tie-breaker.
  void record_attempt(EndpointRecord& record, ClassId class_id, Time now);
  /// An attempt of the current incarnation is over. `usual_s` is the class's average latency before
  /// it, or 0.
  void record_outcome(EndpointRecord& record, ClassId class_id, Result result, double latency_s,
                      double usual_s, Time now);
  /// Takes over what an endpoint reported of itself, unless it is incomplete or absurd.
  void record_report(EndpointRecord& record, const LoadReport& report, Time now);
  /// Brings decaying numbers of a record up to date.
  void decay(EndpointRecord& record, Time now) const;
  /// The number of endpoints in use, over which own attempts are spread.
  void set_subset_size(double endpoints) { subset_size_ = endpoints; }

  // ---- The fleet

  /// Counts a choice and takes the sums anew, for a large fleet only now and then. `is_warm` tells
  /// whether a record is past its slow start.
  template <typename Predicate>
  void survey_if_due(Time now, const Predicate& is_warm) {
    if (!survey_due()) {
      return;
    }
    warm_count_ = 0;
    endpoints_.visit_first(endpoints_.up_count(), [&](EndpointRecord& record) {
      decay(record, now);
      warm_count_ += is_warm(record) ? 1 : 0;
    });
    survey();
  }
  /// So many endpoints have changed: the next survey is due so many choices earlier.
  void note_changes(std::size_t count) { choices_since_survey_ += count; }

  int warm_count() const { return warm_count_; }
  double mean_excess() const { return mean_excess_; }
  /// Own attempts a second.
  double attempts_per_s(Time now) const;
  /// What the endpoints of the own zone reported lately; 0 where they reported nothing.
  double zone_utilization(Time now) const;

  // ---- One endpoint

  /// Capacity over the fleet's mean: reported requests a second over reported utilization.
  double relative_weight(const EndpointRecord& record) const;
  /// Latency over its class's average, times relative weight: how much slower it is than its
  /// reports explain.
  double latency_excess(const EndpointRecord& record) const;
  /// Errors beyond the fleet's mean and chance; 0 for a class that it fails no more than its peers.
  double excess_errors(const EndpointRecord& record, ClassId class_id) const;
  /// Utilization that its instance type reported, summed and decayed: how well its weight is known.
  double type_evidence(const EndpointRecord& record) const {
    return type_stats(record).weighted_utilizations;
  }

 private:
  bool survey_due();
  void survey();
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
  double mean_weight_ = 1;  // requests a second at full utilization
  double mean_error_rate_ = 0;
  double mean_excess_ = 1;
  double subset_size_ = 1;
  std::size_t choices_since_survey_ = 0;
};

}  // namespace beechhill
