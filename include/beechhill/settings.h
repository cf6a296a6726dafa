// The settings of a balancer.
#pragma once

#include <cstdint>
#include <vector>

#include "beechhill/types.h"

namespace beechhill {

/// Whether a request that may have taken effect may be sent again.
enum class Idempotency {
  kIdempotent,      // anywhere, at any time
  kIdempotencyKey,  // within the deduplication scope and window
  kNonIdempotent,   // never
};

/// The endpoints that discard repeats of a request with an idempotency key: all of them, or those
/// in the zone, or in the zone and cell, of the endpoint that got it first.
enum class DeduplicationScope { kAll, kZone, kCell };

struct ClassSettings {
  Idempotency idempotency = Idempotency::kNonIdempotent;
  DeduplicationScope deduplication_scope = DeduplicationScope::kAll;
  /// How long repeats are discarded, from the start of the first attempt; 0 or more.
  Duration deduplication_window{0};
  /// What an answer should take at most; above 0.
  Duration latency_objective{0};
  /// What clients of this class wait at most; latency_objective or more.
  Duration deadline{0};
  /// The objective grows by this multiple of Request::work_hint, up to the deadline; 0 or more.
  double latency_objective_work_factor = 0;
  /// What an answer past the objective is still worth, in [0, 1] of one in time.
  double late_priority_factor = 0;
  /// Sets the priority level: requests of a higher weight go first; 0 or more.
  double priority_weight = 1;
  /// Whether answers are streamed: such an answer is not cancelled once its first byte has come.
  bool streaming = false;
};

struct TenantSettings {
  /// Part of the traffic that is the tenant's by agreement.
  double share = 0;
  /// Requests a second, across all replicas together; 0: no quota.
  double quota_per_s = 0;
};

/// Plain values, copied into the Balancer.
struct Settings {
  /// Of all random choices.
  std::uint64_t seed = 0;
  /// At least one.
  std::vector<ClassSettings> classes;
  std::vector<TenantSettings> tenants;
  /// Factor of the priority weight of requests beyond their tenant's quota, in [0, 1].
  double over_quota_priority_factor = 1;
  /// The zone that this balancer stands in.
  std::uint32_t zone = 0;
  /// The position in a chain of tiers, from 0, where clients are, to tier_count - 1.
  std::uint32_t tier = 0;
  std::uint32_t tier_count = 1;
  /// Balancers that share the endpoints; at least 1.
  std::uint32_t replicas = 1;
  /// The resolution of the embedder's timers; above 0.
  Duration time_step{1000};
  /// Whether the balancer has to ask for the endpoint list, by WatchEndpoints.
  bool discovery_polling_required = false;
  /// Within which it asks, and asks again after failures.
  Duration discovery_poll_interval{0};
  /// For the embedder: attempts at a draining endpoint may go on for so long.
  Duration drain_grace{0};
  /// An endpoint warms up for so long after its start; 0 or more.
  Duration slow_start_window{0};
  /// The part of its capacity that it starts with, in (0, 1].
  double slow_start_initial_weight = 1;
  /// An endpoint in slow start collapses when it is sent more than this multiple of what it can do
  /// for as long as overload_collapse_delay.
  double overload_collapse_ratio = 1;
  Duration overload_collapse_delay{0};
  /// Whether endpoints report load in answers to health checks only, and whether such are allowed.
  bool load_reports_require_health_checks = false;
  bool health_checks_allowed = false;
  /// Whether attempts may be cancelled.
  bool cancellation_allowed = false;
  /// Whether two attempts of a request may be in flight at once. The module never does that.
  bool hedging_allowed = false;
  /// For each request, the first included; at least 1.
  std::uint32_t max_attempts = 1;
  /// The longest Reject::retry_after that clients honour; 0: none is given.
  Duration max_retry_after{0};
  /// For the embedder, too: an attempt whose connection is not up by then has failed.
  Duration connect_timeout{100'000};
  /// For the embedder: endpoints close a connection that has been idle for so long.
  Duration backend_idle_timeout{30'000'000};
  /// Cost of a health check, in requests served; 0: free.
  double health_check_cost = 0;
  /// Cost of an attempt in another zone; 0: free. Only whether there is one counts.
  double cross_zone_cost = 0;
};

/// Throws std::invalid_argument naming the setting, as the configuration file calls it, that is out
/// of its bounds.
void validate(const Settings& settings);

}  // namespace beechhill
