/// The behaviour of clients: when requests arrive, their properties, and retries of failed
/// attempts. Has no clock and does no I/O; shared by the emulator and the load test, which uses
/// real sockets.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "emulator/random.h"
#include "emulator/scenario.h"

namespace beechhill::emulator {

/// A client's request before its first attempt.
struct Arrival {
  Time at{0};
  ClassId class_id = 0;
  TenantId tenant = kNoTenant;
  /// Work over all tiers, in core-seconds at speed 1.
  double work_s = 0;
  /// The class's priority weight, reduced if the tenant exceeds its quota.
  double worth = 0;
  std::uint32_t connection = 0;
};

/// Generates arrivals in an open loop: they do not depend on answers, and are the same for every
/// policy. They form a Poisson process with a rate that varies over time.
class Arrivals {
 public:
  /// `scenario` must outlive this object.
  explicit Arrivals(const Scenario& scenario);
  /// Returns the next arrival, or nothing at the end of the scenario.
  std::optional<Arrival> next();

 private:
  /// A tenant's quota as a token bucket. Its capacity is one second of the quota.
  struct QuotaBucket {
    double rate_per_s = 0;
    double tokens = 0;
    Time refilled_at{0};
  };

  double rate_at(Time t) const;
  double load_factor_at(Time t) const;
  double tenant_weight(std::size_t tenant, Time t) const;
  TenantId draw_tenant();
  double draw_work(const ClassSpec& request_class);
  /// Returns whether a request of the tenant is within its quota, and takes a token from the
  /// tenant's bucket in that case. Always true for tenants without a quota.
  bool within_quota(TenantId tenant);

  const Scenario& scenario_;
  Stream random_;
  Time now_{0};
  double mean_rate_ = 0;
  double max_rate_ = 0;
  // Indexed by tenant.
  std::vector<QuotaBucket> quotas_;
};

/// An unsuccessful attempt, as observed by its client.
struct FailedAttempt {
  ClassId class_id = 0;
  /// Number of attempts of the request so far.
  std::uint32_t attempts = 1;
  bool rejected = false;
  bool unreachable = false;
  /// Retry-After of a rejection; 0: the rejection has none.
  Duration retry_after{0};
};

/// Returns how long the client waits before its next attempt. Returns nothing if the client does
/// not retry, because its retry policy is kNever, its retries are used up, or a retry could execute
/// the request twice.
std::optional<Duration> wait_before_retry(const Scenario& scenario, const FailedAttempt& failed,
                                          Stream& random);

/// Moves each connection to a restarted proxy with probability 1 / `alive`, the number of proxies
/// that serve. `proxy_of_connection` holds the index of each connection's proxy.
void rebalance_connections(std::vector<std::uint32_t>& proxy_of_connection, std::uint32_t proxy,
                           std::size_t alive, Stream& random);

/// Draws how long a client waits for the answer to one attempt.
Duration draw_attempt_timeout(const Scenario& scenario, ClassId class_id, Stream& random);

}  // namespace beechhill::emulator
