// Endpoint selection: the least loaded of a subset, by own requests per capacity.
#pragma once

#include "balancer/policy/concurrency_limit.h"
#include "balancer/policy/outlier_detector.h"
#include "balancer/policy/retry_policy.h"
#include "balancer/policy/slow_start.h"

namespace beechhill {

/// What a choice rests on. The balancer owns all of it.
struct SelectionInputs {
  const Settings& settings;
  const LatencyTracker& latencies;
  const InFlightCounts& in_flight;
  const ConcurrencyLimit& limit;
  const OutlierDetector& outliers;
  const SlowStart& slow_start;
  const RetryPolicy& retries;
  FleetStatistics& statistics;
  EndpointTable& endpoints;
};

/// A choice is O(endpoints) in a small fleet; in a large one it looks at a sample, beside a survey
/// of all now and then (FleetStatistics).
class EndpointSelector {
 public:
  explicit EndpointSelector(const SelectionInputs& inputs) : in_(inputs) {}

  /// Where to send the request; nothing where no endpoint may get it now.
  std::optional<EndpointId> select(const RequestState& state, Time now);
  /// An attempt starts at `record`. `random`, in [0, 1), breaks ties with other replicas.
  void record_attempt(EndpointRecord& record, ClassId class_id, double random, Time now);

 private:
  std::optional<EndpointId> least_loaded(const RequestState& state, double subset_size, Time now);
  bool usable(const RequestState& state, EndpointRecord& record, const SlowStart::Traffic& traffic,
              Time now) const;
  double load(const RequestState& state, const EndpointRecord& record, Time now) const;
  double cross_zone_penalty(Time now) const;
  double up_count() const { return static_cast<double>(in_.endpoints.positive_up_count()); }

  const SelectionInputs in_;
};

}  // namespace beechhill
