// What the decision module keeps of an endpoint.
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

/// What was learnt of one incarnation of an endpoint. A restart voids all of it.
struct EndpointState {
  /// How long errors and latencies count; see EndpointState::decay.
  static constexpr Duration kEvidenceWindow{10'000'000};

  EndpointStats stats;
  std::vector<OutcomeCounts> outcomes;  // by class
  int in_flight = 0;                    // own attempts
  double recent_attempts = 0;           // own attempts, decayed
  double tie_breaker = 0;               // in [0, 1]: random part of one request
  Time decayed_at{0};
  Time waiting_since{0};  // the last outcome, or when the first attempt in flight was started
  Time overloaded_until{0};
  Time health_checked_at{0};
  TokenBucket slow_start_budget;  // of attempts while it is warming up

  /// Lets attempts fade over `attempts_window_s` seconds, errors and latencies over
  /// kEvidenceWindow.
  void decay(Time now, double attempts_window_s) {
    const double elapsed_s = seconds(now - decayed_at);
    if (elapsed_s <= 0) {
      return;
    }
    recent_attempts *= std::exp(-elapsed_s / attempts_window_s);
    const double fading = std::exp(-elapsed_s / seconds(kEvidenceWindow));
    stats.weighted_latency_ratios *= fading;
    stats.response_weight *= fading;
    for (OutcomeCounts& counts : outcomes) {
      counts.attempts *= fading;
      counts.errors *= fading;
    }
    decayed_at = now;
  }
};

/// An endpoint that was named once: its entry in the endpoint list, and what was learnt of it.
struct EndpointRecord : EndpointState {
  Endpoint entry;
  bool listed = false;
  std::uint64_t last_update = 0;  // the number of the update that named it last
  bool excluded = false;          // by an operator
  std::optional<Time> excluded_at;
  std::optional<Time>
      readmitted_at;              // it may have restarted while excluded, and no update say so yet
  double rank = 0;                // random, kept for good: the lowest are used first
  std::uint32_t incarnation = 0;  // counted up with each restart that was noticed

  /// Whether it may get new requests, as far as discovery and operators say.
  bool up() const { return listed && !excluded && entry.status == EndpointStatus::kUp; }

  /// The later of its start and its readmission; absent: long ago.
  std::optional<Time> serving_since() const { return std::max(entry.started_at, readmitted_at); }
};

}  // namespace beechhill
