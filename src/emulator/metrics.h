// What a run is judged by: worth, waste, latencies, rule counts, and a line a second.
#pragma once

#include <json/json.h>

#include <boost/histogram.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "emulator/scenario.h"

namespace beechhill::emulator {

// Latencies from 10 us to 1,000 s on a logarithmic axis: 200 bins a decade, so a quantile is within
// 0.6 %.
class LatencyHistogram {
 public:
  static constexpr double kLeast = 1e-5, kMost = 1e3, kRelativeError = 0.006;
  LatencyHistogram();
  void add(Duration span);
  // Seconds; 0 where there is nothing. The middle of the bin, by ratio.
  double quantile(double q) const;
  // Upper edges and cumulative shares of the bins that hold something.
  Json::Value cdf() const;

 private:
  using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
  using Histogram =
      decltype(boost::histogram::make_histogram_with(std::vector<std::uint64_t>(), Axis()));
  Histogram bins_;
  std::uint64_t count_ = 0;
};

struct Count {  // of first tries of one class or tenant, after the warm-up
  std::uint64_t asked = 0, in_aim = 0, late = 0, refused = 0, failed = 0, unanswered = 0;
  double worth_asked = 0, worth_served = 0;
  Json::Value to_json() const;
};

struct Second {  // one window of the time series
  std::uint64_t asked = 0, in_aim = 0, refused = 0, failed = 0, tries = 0, attempts = 0;
  double worth_asked = 0, worth_served = 0, busy = 0;
  std::uint64_t waiting = 0;      // jobs without a core, at its end
  double load_max_over_mean = 0;  // of jobs in hand over the nodes of the first tier, at its end
};

struct Tenth {  // of a second, by when the requests first came
  double worth_asked = 0, worth_served = 0;
};

// What a fault cost, against a control: the same arrivals and seed without the fault.
struct Return {
  std::optional<Duration>
      full_after;  // from the last proxy's return to full service; nothing: not within the run
  double worth_lost =
      0;  // against the control's, from the fault's beginning on, as a share of a second's worth
};

struct Metrics {
  explicit Metrics(const Scenario& s);  // which must outlive it

  // A client's request that first came at `first`, and its end `took` later. Both count for the
  // totals where it came after the warm-up.
  void asked(Time first, ClassId c, TenantId tenant, double worth);
  void ended(Time first, Duration took, ClassId c, TenantId tenant, double worth, bool served,
             bool refused);
  bool counted(Time first) const;
  Second* second_of(Time t);  // null beyond the series
  void close();               // no more will come: what has not ended is unanswered

  std::vector<Count> by_class, by_tenant;
  Count all;
  std::vector<LatencyHistogram> latency;  // by class, of what was served
  LatencyHistogram latency_all;
  std::vector<Second> seconds;
  std::vector<Tenth> tenths;  // as long as the scenario
  std::uint64_t tries = 0, attempts = 0, connections = 0, probes = 0, unreachable = 0, tipped = 0;
  std::uint64_t most_connections = 0,
                most_arrivals =
                    0;          // at one node of the first tier in one second, after the warm-up
  std::uint64_t pairs = 0;      // proxy and node that ever had a connection
  std::uint64_t crossings = 0;  // attempts between zones, of all tiers
  double work_done = 0, work_useful = 0;  // core-seconds at speed 1
  std::uint64_t events = 0, decisions = 0;
  std::vector<Json::Value> tiers;

  double goodput() const { return all.worth_asked > 0 ? all.worth_served / all.worth_asked : 1; }
  // The worth served of what was asked for in the whole seconds from `from` to `until`; 1 where
  // nothing was.
  double goodput_between(Duration from, Duration until) const;
  // Seconds from `from` on until goodput is `goal` or more for three seconds in a row; negative
  // where it is not by `until`.
  double recovery_s(Duration from, Duration until, double goal) const;
  // Full service: goodput over each whole second that begins within five seconds is within 2 % of
  // the control's. `begun`: when the fault began; `back`: when the last proxy was started again or
  // continued.
  Return return_from(const Metrics& control, Time begun, Time back) const;
  Json::Value to_json(bool series) const;

 private:
  Tenth* tenth_of(Time t);  // null beyond the series
  template <typename Book>
  void each(ClassId c, TenantId tenant, const Book& book);

  const Scenario* s_;
};

}  // namespace beechhill::emulator
