#include "bootstrap/coordinator_settings.h"

#include <algorithm>

namespace beechhill::bootstrap {
namespace {

// Returns whether any class has idempotency keys that are deduplicated within `scope`.
bool deduplicates_within(const Settings& settings, DeduplicationScope scope) {
  return std::any_of(settings.classes.begin(), settings.classes.end(),
                     [scope](const ClassSettings& request_class) {
                       return request_class.idempotency == Idempotency::kIdempotencyKey &&
                              request_class.deduplication_scope == scope;
                     });
}

Duration longest_deadline(const Settings& settings) {
  Duration longest{0};
  for (const ClassSettings& request_class : settings.classes) {
    longest = std::max(longest, request_class.deadline);
  }
  return longest;
}

}  // namespace

maintenance::CoordinatorSettings coordinator_settings(
    const config::Config& config, const config::MaintenanceSettings& maintenance) {
  const Settings& settings = config.named_settings.settings;
  maintenance::CoordinatorSettings result;
  result.self = config.name;
  result.zone = config.named_settings.zone;
  result.voters = maintenance.voters;
  result.lease_duration = maintenance.lease_duration;
  result.isolation_timeout = maintenance.isolation_timeout;
  result.serve_without_lease = maintenance.serve_without_lease;
  result.initial_lease_timeout = maintenance.initial_lease_timeout;
  result.drain_grace = settings.drain_grace;
  result.max_request_duration = longest_deadline(settings);
  result.disruption_budget = maintenance.disruption_budget;
  // The backends of a zone or cell hold the idempotency keys of earlier requests, so they must not
  // all be taken out of service at a time.
  result.disruption_budget.preserve_last_in_zone =
      deduplicates_within(settings, DeduplicationScope::kZone);
  result.disruption_budget.preserve_last_in_cell =
      deduplicates_within(settings, DeduplicationScope::kCell);
  return result;
}

}  // namespace beechhill::bootstrap
