/// The metrics of a run: goodput, wasted work, latencies, and a time series with a resolution of
/// one second. Shared by the emulator and the load test.
#pragma once

#include <json/json.h>

#include <boost/histogram.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "emulator/scenario.h"

namespace beechhill::emulator {

/// A histogram of latencies from 10 us to 1,000 s with 200 logarithmic bins per decade, so that
/// quantiles have a relative error of at most 0.6 %. Values out of range are counted in the
/// outermost bins.
class LatencyHistogram {
 public:
  LatencyHistogram();
  void add(Duration latency);
  /// Returns the quantile in seconds, as the geometric mean of its bin's edges; 0 if the histogram
  /// is empty. O(bins).
  double quantile(double q) const;
  /// Returns the upper edge and cumulative share of each bin that is not empty.
  Json::Value cdf() const;

 private:
  using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
  using Histogram =
      decltype(boost::histogram::make_histogram_with(std::vector<std::uint64_t>(), Axis()));
  Histogram bins_;
  std::uint64_t count_ = 0;
};

/// Numbers of requests of one class or tenant that arrived after the warm-up, by result. Here and
/// below, `in_aim` means within the latency objective, `refused` means rejected, and `worth` is the
/// priority weight.
struct Count {
  std::uint64_t asked = 0;
  std::uint64_t in_aim = 0;
  std::uint64_t late = 0;
  std::uint64_t refused = 0;
  std::uint64_t failed = 0;
  std::uint64_t unanswered = 0;
  double worth_asked = 0;
  double worth_served = 0;
  Json::Value to_json() const;
};

/// One second of the time series. Requests are counted in the second in which they arrived.
struct Second {
  std::uint64_t asked = 0;
  std::uint64_t in_aim = 0;
  std::uint64_t refused = 0;
  std::uint64_t failed = 0;
  std::uint64_t tries = 0;
  std::uint64_t attempts = 0;
  double worth_asked = 0;
  double worth_served = 0;
  /// Share of all cores that was busy, from 0 to 1.
  double busy = 0;
  /// Number of jobs that wait for a slot or a core at the end of the second.
  std::uint64_t waiting = 0;
  /// Load of the most loaded backend of the first tier relative to the mean, at the end of the
  /// second. Load is the number of jobs over the capacity.
  double load_max_over_mean = 0;
};

/// The cost of a fault, relative to a control run with the same arrivals and seed but without the
/// fault.
struct RecoveryCost {
  /// Time from the restart or resume of the last proxy to the start of full service; empty if full
  /// service was not reached.
  std::optional<Duration> full_after;
  /// Priority weight that was served in the control run but not in this run since the fault began,
  /// divided by the mean priority weight requested per second.
  double worth_lost = 0;
};

/// The metrics of one run of a scenario.
struct Metrics {
  /// `scenario` must outlive this object.
  explicit Metrics(const Scenario& scenario);

  /// Records the arrival of a client's request.
  void asked(Time arrived_at, ClassId class_id, TenantId tenant, double worth);
  /// Records the end of the request that arrived at `arrived_at`, after `took`. `refused` tells
  /// whether a request that was not served was rejected.
  void ended(Time arrived_at, Duration took, ClassId class_id, TenantId tenant, double worth,
             bool served, bool refused);
  /// Whether a request that arrives at this time counts in the totals: after the warm-up and before
  /// the end of the scenario.
  bool counted(Time arrived_at) const;
  /// Returns null for times outside the time series.
  Second* second_of(Time t);
  /// Ends the run: counts requests without an answer as unanswered.
  void close();

  std::vector<Count> by_class;
  std::vector<Count> by_tenant;
  Count all;
  /// Latencies of served requests, by class.
  std::vector<LatencyHistogram> latency;
  LatencyHistogram latency_all;
  std::vector<Second> seconds;
  /// Number of attempts of clients at proxies after the warm-up.
  std::uint64_t tries = 0;
  /// Number of attempts of proxies at backends of the first tier after the warm-up.
  std::uint64_t attempts = 0;
  std::uint64_t connections = 0;
  /// Number of health checks.
  std::uint64_t probes = 0;
  /// Number of attempts of clients that no proxy accepted.
  std::uint64_t unreachable = 0;
  /// Number of times that a cold backend collapsed under load.
  std::uint64_t tipped = 0;
  /// Maximum number of connections opened, and of attempts received, by one backend of the first
  /// tier in one second after the warm-up.
  std::uint64_t max_connections = 0;
  std::uint64_t max_arrivals = 0;
  /// Number of pairs of a proxy and a backend that have had a connection.
  std::uint64_t pairs = 0;
  /// Number of attempts that crossed zones, over all tiers.
  std::uint64_t crossings = 0;
  /// Core-seconds at speed 1: all work done, and the work that contributed to answers that clients
  /// received.
  double work_done = 0;
  double work_useful = 0;
  std::uint64_t events = 0;
  /// Number of requests that proxies have made decisions on.
  std::uint64_t decisions = 0;
  /// The summary of each tier, as written to the result.
  std::vector<Json::Value> tiers;

  /// Share of the requested priority weight that was served; 1 if there were no requests.
  double goodput() const { return all.worth_asked > 0 ? all.worth_served / all.worth_asked : 1; }
  /// Goodput of the requests that arrived in the whole seconds from `from` to `until`.
  double goodput_between(Duration from, Duration until) const;
  /// Returns the number of seconds from `from`, rounded up to a whole second, to the first of three
  /// consecutive seconds with a goodput of at least `goal`; -1 if no such three seconds end by
  /// `until`.
  double recovery_s(Duration from, Duration until, double goal) const;
  /// Measures the recovery from a fault. Full service begins where the served priority weight is
  /// within 2 % of the control's over each one-second window that begins in the next five seconds.
  /// `begun` is when the fault began, `back` when the last proxy was restarted or resumed.
  RecoveryCost measure_recovery(const Metrics& control, Time begun, Time back) const;
  /// Returns the result document. With `series`, it includes the time series and the latency
  /// distribution.
  Json::Value to_json(bool series) const;

 private:
  /// Sums of the priority weights of the requests that arrived within a tenth of a second.
  struct Bucket {
    double worth_asked = 0;
    double worth_served = 0;
  };

  Bucket* bucket_of(Time t);
  bool matches_control(const Metrics& control, std::size_t first_bucket) const;
  template <typename Update>
  void update_counts(ClassId class_id, TenantId tenant, const Update& update);
  void add_ratios(Json::Value& json) const;
  Json::Value series_json() const;

  const Scenario* scenario_;
  // Buckets for the whole length of the scenario.
  std::vector<Bucket> buckets_;
};

}  // namespace beechhill::emulator
