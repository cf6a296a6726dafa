/// The clients' behaviour: when requests arrive, what they ask for, and what a client does when an
/// attempt has failed. No clock and no I/O; the emulator and the load test on sockets both use it.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "emulator/random.h"
#include "emulator/scenario.h"

namespace beechhill::emulator {

/// A client's request, before its first attempt.
struct Arrival {
  Time at{0};
  /// Its class.
  ClassId c = 0;
  TenantId tenant = kNoTenant;
  /// Over all tiers, on a core of speed 1.
  double work_s = 0;
  /// Its priority weight; reduced where its tenant is over its quota.
  double worth = 0;
  std::uint32_t connection = 0;
};

/// An open loop: arrivals do not wait for answers, and are the same for every policy. A Poisson
/// process with a rate that varies over time.
class Arrivals {
 public:
  /// `scenario` must outlive it.
  explicit Arrivals(const Scenario& scenario);
  /// Nothing once the scenario's length is over.
  std::optional<Arrival> next();

 private:
  /// A tenant's quota, as a token bucket that holds one second's worth.
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
  /// Takes a token where the quota has one.
  bool within_quota(TenantId tenant);

  const Scenario& scenario_;
  Stream random_;
  Time now_{0};
  double mean_rate_ = 0;
  double max_rate_ = 0;
  // By tenant.
  std::vector<QuotaBucket> quotas_;
};

/// An attempt that did not succeed, as its client sees it.
struct FailedAttempt {
  ClassId class_id = 0;
  /// Of the request so far.
  std::uint32_t attempts = 1;
  bool rejected = false;
  bool unreachable = false;
  /// Of a rejection; 0: none given.
  Duration retry_after{0};
};

/// How long the client waits before it tries again; nothing where it does not, because it never
/// does, has done so often enough, or the effect may be there already.
std::optional<Duration> wait_before_retry(const Scenario& scenario, const FailedAttempt& failed,
                                          Stream& random);

/// A proxy is back: each connection moves to it with the chance that makes its share an even one
/// among `alive` proxies. `homes`: by connection, the proxy that it leads to.
void rebalance_connections(std::vector<std::uint32_t>& homes, std::uint32_t proxy,
                           std::size_t alive, Stream& random);

/// How long a client waits for the answer to one attempt.
Duration draw_attempt_timeout(const Scenario& scenario, ClassId class_id, Stream& random);

}  // namespace beechhill::emulator
