// Selects the endpoint of a subset that has the fewest of this balancer's requests per capacity.
#pragma once

#include "balancer/policy/concurrency_limit.h"
#include "balancer/policy/outlier_detector.h"
#include "balancer/policy/retry_policy.h"
#include "balancer/policy/slow_start.h"

namespace beechhill {

/// Inputs of endpoint selection. The balancer owns all of them.
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

/// Selects an endpoint for each attempt. O(endpoints) in a small fleet; in a large one it examines
/// a sample, or all endpoints for some retries and to refresh FleetStatistics.
class EndpointSelector {
 public:
  explicit EndpointSelector(const SelectionInputs& inputs) : in_(inputs) {}

  /// Returns the endpoint to send the request to, or nothing if none of those examined may get it.
  std::optional<EndpointId> select(const RequestState& state, Time now);
  /// Records the start of an attempt. `random`, in [0, 1), breaks ties differently in each replica.
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
