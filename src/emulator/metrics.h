/// What a run is judged by: goodput, waste, latencies, and a time series by the second. The load
/// test on sockets keeps the same.
#pragma once

#include <json/json.h>

#include <boost/histogram.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "emulator/scenario.h"

namespace beechhill::emulator {

/// Latencies from 10 us to 1,000 s on a logarithmic axis: 200 bins a decade, so that a quantile is
/// within 0.6 % of the sample's. What lies outside counts in the outermost bins.
class LatencyHistogram {
 public:
  LatencyHistogram();
  void add(Duration latency);
  /// Seconds; 0 where there is nothing. The middle of the bin, by ratio. O(bins).
  double quantile(double q) const;
  /// Upper edges and cumulative shares of the bins that hold something.
  Json::Value cdf() const;

 private:
  using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
  using Histogram =
      decltype(boost::histogram::make_histogram_with(std::vector<std::uint64_t>(), Axis()));
  Histogram bins_;
  std::uint64_t count_ = 0;
};

/// Requests of one class or tenant that arrived after the warm-up, by how they ended. Here and
/// below `in_aim` stands for within the latency objective, `refused` for rejected, and `worth` for
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

/// One second of the time series. What concerns requests counts where these arrived.
struct Second {
  std::uint64_t asked = 0;
  std::uint64_t in_aim = 0;
  std::uint64_t refused = 0;
  std::uint64_t failed = 0;
  std::uint64_t tries = 0;
  std::uint64_t attempts = 0;
  double worth_asked = 0;
  double worth_served = 0;
  /// Share of all cores.
  double busy = 0;
  /// Jobs without a core, at its end.
  std::uint64_t waiting = 0;
  /// Jobs in hand at the busiest backend of the first tier, relative to the mean, at its end.
  double load_max_over_mean = 0;
};

/// What a fault cost, against a control: the same arrivals and seed without the fault.
struct Return {
  /// From the last proxy's return to full service; nothing: not within the run.
  std::optional<Duration> full_after;
  /// Against the control's, from the fault's beginning on, in seconds of the mean load.
  double worth_lost = 0;
};

struct Metrics {
  /// `scenario` must outlive it.
  explicit Metrics(const Scenario& scenario);

  /// A client's request arrives at `first`.
  void asked(Time first, ClassId class_id, TenantId tenant, double worth);
  /// The request that arrived at `first` ends, `took` later. `refused`: rejected, where not served.
  void ended(Time first, Duration took, ClassId class_id, TenantId tenant, double worth,
             bool served, bool refused);
  /// Whether what arrives then counts in the totals: after the warm-up, before the end.
  bool counted(Time first) const;
  /// Null outside the time series.
  Second* second_of(Time t);
  /// The run is over: what has not ended is unanswered.
  void close();

  std::vector<Count> by_class;
  std::vector<Count> by_tenant;
  Count all;
  /// Of what was served, by class.
  std::vector<LatencyHistogram> latency;
  LatencyHistogram latency_all;
  std::vector<Second> seconds;
  /// Attempts of clients at proxies, after the warm-up.
  std::uint64_t tries = 0;
  /// Attempts of proxies at backends of the first tier, after the warm-up.
  std::uint64_t attempts = 0;
  std::uint64_t connections = 0;
  /// Health checks.
  std::uint64_t probes = 0;
  /// Attempts of clients that no proxy took.
  std::uint64_t unreachable = 0;
  /// Cold backends that collapsed under their load.
  std::uint64_t tipped = 0;
  /// Connections and attempts at one backend of the first tier in one second, at the most, after
  /// the warm-up.
  std::uint64_t max_connections = 0;
  std::uint64_t max_arrivals = 0;
  /// Pairs of proxy and backend that ever had a connection.
  std::uint64_t pairs = 0;
  /// Attempts between zones, of all tiers.
  std::uint64_t crossings = 0;
  /// Core-seconds at speed 1: all, and those that went into answers that clients had.
  double work_done = 0;
  double work_useful = 0;
  std::uint64_t events = 0;
  /// Requests that proxies decided on.
  std::uint64_t decisions = 0;
  /// The summary of each tier, as it goes into the result.
  std::vector<Json::Value> tiers;

  /// Of the worth that was asked for, the share that was served; 1 where nothing was asked for.
  double goodput() const { return all.worth_asked > 0 ? all.worth_served / all.worth_asked : 1; }
  /// The same over what arrived in the whole seconds from `from` to `until`.
  double goodput_between(Duration from, Duration until) const;
  /// Seconds from `from` on until goodput is `goal` or more for three seconds in a row; negative
  /// where it is not by `until`.
  double recovery_s(Duration from, Duration until, double goal) const;
  /// Full service: goodput over each whole second that begins within five seconds is within 2 % of
  /// the control's. `begun`: when the fault began; `back`: when the last proxy was started again or
  /// continued.
  Return return_from(const Metrics& control, Time begun, Time back) const;
  /// `series`: with the time series and the latency distribution.
  Json::Value to_json(bool series) const;

 private:
  /// A tenth of a second, by when the requests arrived.
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
  // As long as the scenario.
  std::vector<Bucket> buckets_;
};

}  // namespace beechhill::emulator
