// Tests of deriving the maintenance coordinator's settings from the configuration and operator
// file.
#include "bootstrap/coordinator_settings.h"

#include <gtest/gtest.h>

namespace beechhill::bootstrap {
namespace {

using namespace std::chrono_literals;

ClassSettings class_with(Idempotency idempotency, DeduplicationScope scope, Duration deadline) {
  ClassSettings settings;
  settings.idempotency = idempotency;
  settings.deduplication_scope = scope;
  settings.deadline = deadline;
  return settings;
}

TEST(CoordinatorSettings, PreservesTheLastBackendOnlyWhereAClassDeduplicates) {
  config::Config config;
  config::MaintenanceSettings maintenance;
  // This value must be ignored, as it is derived from the classes and not set by operators.
  maintenance.disruption_budget.preserve_last_in_cell = true;
  config.named_settings.settings.classes = {
      class_with(Idempotency::kIdempotencyKey, DeduplicationScope::kZone, 2s),
      class_with(Idempotency::kIdempotent, DeduplicationScope::kCell, 3s)};
  const auto settings = coordinator_settings(config, maintenance);
  EXPECT_TRUE(settings.disruption_budget.preserve_last_in_zone);
  EXPECT_FALSE(settings.disruption_budget.preserve_last_in_cell);
}

TEST(CoordinatorSettings, CopiesNamesTimesAndBudget) {
  config::Config config;
  config.name = "p-1";
  config.named_settings.zone = "z";
  config.named_settings.settings.drain_grace = 7s;
  config.named_settings.settings.classes = {
      class_with(Idempotency::kNonIdempotent, DeduplicationScope::kAll, 2s),
      class_with(Idempotency::kIdempotent, DeduplicationScope::kAll, 3s)};
  config::MaintenanceSettings maintenance;
  maintenance.voters = {"p-1"};
  maintenance.lease_duration = 4s;
  maintenance.isolation_timeout = 9s;
  maintenance.initial_lease_timeout = 6s;
  maintenance.serve_without_lease = true;
  maintenance.disruption_budget.max_out = 3;
  const auto settings = coordinator_settings(config, maintenance);
  EXPECT_EQ(settings.self, "p-1");
  EXPECT_EQ(settings.zone, "z");
  EXPECT_EQ(settings.voters, maintenance.voters);
  EXPECT_EQ(settings.lease_duration, 4s);
  EXPECT_EQ(settings.isolation_timeout, 9s);
  EXPECT_EQ(settings.initial_lease_timeout, 6s);
  EXPECT_TRUE(settings.serve_without_lease);
  EXPECT_EQ(settings.drain_grace, 7s);
  EXPECT_EQ(settings.max_request_duration, 3s);
  EXPECT_EQ(settings.disruption_budget.max_out, 3U);
}

}  // namespace
}  // namespace beechhill::bootstrap
