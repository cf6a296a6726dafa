// State of an endpoint in the decision module.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <optional>
#include <vector>

#include "balancer/state/outcome_counts.h"
#include "balancer/state/token_bucket.h"
#include "balancer/state/units.h"
#include "beechhill/events.h"

namespace beechhill {

/// Observations of one incarnation of an endpoint. A restart discards them.
struct EndpointState {
  /// Time constant of the decay of errors and latencies; see decay().
  static constexpr Duration kStatsWindow{10'000'000};

  EndpointStats stats;
  std::vector<OutcomeCounts> outcomes;  // indexed by ClassId
  int in_flight = 0;                    // number of attempts of this balancer
  double recent_attempts = 0;           // decaying number of attempts of this balancer
  double tie_breaker = 0;               // random addition to the load, in requests, in [0, 1]
  Time decayed_at{0};
  /// Time of the last outcome or, if later, of the last attempt that started while none was in
  /// flight.
  Time waiting_since{0};
  Time overloaded_until{0};
  Time health_checked_at{0};
  TokenBucket slow_start_budget;  // number of attempts that may start during slow start

  /// Decays the count of attempts with a time constant of `attempts_window_s` seconds, and errors
  /// and latencies with kStatsWindow.
  void decay(Time now, double attempts_window_s) {
    const double elapsed_s = seconds(now - decayed_at);
    if (elapsed_s <= 0) {
      return;
    }
    recent_attempts *= std::exp(-elapsed_s / attempts_window_s);
    const double remaining = std::exp(-elapsed_s / seconds(kStatsWindow));
    stats.weighted_latency_ratios *= remaining;
    stats.response_weight *= remaining;
    for (OutcomeCounts& counts : outcomes) {
      counts.attempts *= remaining;
      counts.errors *= remaining;
    }
    decayed_at = now;
  }
};

/// An endpoint that an event has named: its entry in the endpoint list, and observations of it.
struct EndpointRecord : EndpointState {
  Endpoint entry;
  bool listed = false;
  std::uint64_t last_update = 0;  // number of the last update that named the endpoint
  bool excluded = false;          // whether an operator has excluded the endpoint
  std::optional<Time> excluded_at;
  /// Time of the last readmission, unless an update has reported a start since the exclusion.
  std::optional<Time> readmitted_at;
  double rank = 0;                // random and constant; the lowest ranks are used first
  std::uint32_t incarnation = 0;  // incremented with each observed restart

  /// Returns whether the endpoint may get new requests according to discovery and operators.
  bool up() const { return listed && !excluded && entry.status == EndpointStatus::kUp; }

  /// Returns the later of the endpoint's start and its readmission; absent if it started long ago
  /// and has no recorded readmission.
  std::optional<Time> serving_since() const { return std::max(entry.started_at, readmitted_at); }
};

}  // namespace beechhill
