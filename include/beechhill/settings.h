// The settings of a balancer.
#pragma once

#include <cstdint>
#include <vector>

#include "beechhill/types.h"

namespace beechhill {

/// Whether and where a request may be repeated if it may have taken effect.
enum class Idempotency {
  kIdempotent,      // may be repeated on any endpoint at any time
  kIdempotencyKey,  // may be repeated within the deduplication scope and window
  kNonIdempotent,   // must not be repeated
};

/// The endpoints that discard repeats of a request with an idempotency key: all endpoints, or those
/// in the same zone, or in the same zone and cell, as the endpoint that received it first.
enum class DeduplicationScope { kAll, kZone, kCell };

struct ClassSettings {
  Idempotency idempotency = Idempotency::kNonIdempotent;
  DeduplicationScope deduplication_scope = DeduplicationScope::kAll;
  /// Time from the start of the first attempt during which endpoints discard repeats; 0 or more.
  Duration deduplication_window{0};
  /// Target for the maximum response time; above 0.
  Duration latency_objective{0};
  /// Maximum time that clients of this class wait for a response; latency_objective or more.
  Duration deadline{0};
  /// The latency objective of a request grows by this multiple of Request::work_hint, up to the
  /// deadline; 0 or more.
  double latency_objective_work_factor = 0;
  /// Value of a response past the objective, relative to a timely one; in [0, 1].
  double late_priority_factor = 0;
  /// Determines the priority level: requests of a higher weight are sent first; 0 or more.
  double priority_weight = 1;
  /// Whether responses are streamed. A streamed response is not cancelled after its first byte.
  bool streaming = false;
};

struct TenantSettings {
  /// The tenant's agreed share of the traffic.
  double share = 0;
  /// Requests per second over all replicas together; 0 for no quota.
  double quota_per_s = 0;
};

/// Plain values, copied into the Balancer.
struct Settings {
  /// Seed of all random decisions.
  std::uint64_t seed = 0;
  /// The request classes; at least one.
  std::vector<ClassSettings> classes;
  std::vector<TenantSettings> tenants;
  /// Factor of the priority weight of requests that exceed their tenant's quota; in [0, 1].
  double over_quota_priority_factor = 1;
  /// The zone of this balancer.
  std::uint32_t zone = 0;
  /// Position in the chain of tiers, from 0 (nearest to the clients) to tier_count - 1.
  std::uint32_t tier = 0;
  std::uint32_t tier_count = 1;
  /// Number of balancers that share the endpoints; at least 1.
  std::uint32_t replicas = 1;
  /// The resolution of the embedder's timers; above 0.
  Duration time_step{1000};
  /// Whether the balancer must request the endpoint list with WatchEndpoints actions.
  bool discovery_polling_required = false;
  /// Upper bound of the delay before the first request for the endpoint list, and before each
  /// repeat after a failure.
  Duration discovery_poll_interval{0};
  /// Maximum time for which the embedder lets attempts at a draining endpoint continue.
  Duration drain_grace{0};
  /// Length of an endpoint's slow start; 0 or more.
  Duration slow_start_window{0};
  /// Fraction of its capacity that an endpoint has when it starts, in (0, 1].
  double slow_start_initial_weight = 1;
  /// An endpoint in slow start collapses when its load exceeds this multiple of its capacity for
  /// longer than overload_collapse_delay.
  double overload_collapse_ratio = 1;
  Duration overload_collapse_delay{0};
  /// Whether endpoints report load only in responses to health checks, and whether health checks
  /// are allowed.
  bool load_reports_require_health_checks = false;
  bool health_checks_allowed = false;
  /// Whether attempts may be cancelled.
  bool cancellation_allowed = false;
  /// Whether two attempts of a request may be in flight at once. The module never does so.
  bool hedging_allowed = false;
  /// Maximum number of attempts per request, including the first; at least 1.
  std::uint32_t max_attempts = 1;
  /// The longest Reject::retry_after that clients honour; 0 if clients honour none.
  Duration max_retry_after{0};
  /// An attempt fails if its connection is not established within this time. The embedder enforces
  /// it.
  Duration connect_timeout{100'000};
  /// Time after which endpoints close an idle connection. Used by the embedder only.
  Duration backend_idle_timeout{30'000'000};
  /// Cost of a health check, relative to the cost of serving a request; 0 if it is free.
  double health_check_cost = 0;
  /// Cost of an attempt in another zone; 0 if it is free. Only whether it is above 0 matters.
  double cross_zone_cost = 0;
};

/// Throws std::invalid_argument if a setting is out of bounds. The message names the setting by its
/// key in the configuration file.
void validate(const Settings& settings);

}  // namespace beechhill
