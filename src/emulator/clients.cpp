#include "emulator/clients.h"

#include <algorithm>
#include <cmath>

namespace beechhill::emulator {
namespace {

// Jitter spreads the retries of clients that failed at the same time: a backoff is drawn from 0.5
// to 1.5 times its nominal length, and a Retry-After is exceeded by up to 20 %.
constexpr double kMinBackoffJitter = 0.5;
constexpr double kRetryAfterJitter = 0.2;

bool is_active(const FaultSpec& fault, Time t) {
  return t >= fault.at && t < fault.at + fault.length;
}

// Draws an index below `count`, with probabilities in proportion to `weight`.
template <typename Weight>
std::uint32_t draw_weighted(std::size_t count, Stream& random, const Weight& weight) {
  double remaining = 0;
  for (std::uint32_t i = 0; i < count; ++i) {
    remaining += weight(i);
  }
  remaining *= random.uniform();
  std::uint32_t chosen = 0;
  while (chosen + 1 < count) {
    remaining -= weight(chosen);
    if (remaining < 0) {
      break;
    }
    ++chosen;
  }
  return chosen;
}

double max_load_factor(const Scenario& scenario) {
  const LoadSpec& load = scenario.load;
  double factor = 1;
  if (load.shape == LoadShape::kDiurnal) {
    factor = 1 + load.swing;
  }
  if (load.shape == LoadShape::kBursts) {
    factor = std::max(1.0, load.burst_factor);
  }
  for (const FaultSpec& fault : scenario.faults) {
    if (fault.kind == FaultKind::kBurst || fault.kind == FaultKind::kTenantBurst) {
      factor *= std::max(1.0, fault.factor);
    }
  }
  return factor;
}

bool may_be_repeated(const ClassSettings& settings, const FailedAttempt& failed) {
  if (failed.rejected || failed.unreachable || settings.idempotency == Idempotency::kIdempotent) {
    return true;
  }
  return settings.idempotency == Idempotency::kIdempotencyKey &&
         settings.deduplication_scope == DeduplicationScope::kAll;
}

}  // namespace

Arrivals::Arrivals(const Scenario& scenario)
    : scenario_(scenario),
      random_(scenario.seed, Actor::kArrivals, 0),
      mean_rate_(rate_per_s(scenario)),
      max_rate_(mean_rate_ * max_load_factor(scenario)) {
  for (const TenantSettings& tenant : settings_for(scenario, 0, 0, 1, 0).tenants) {
    quotas_.push_back({tenant.quota_per_s, tenant.quota_per_s, Time{0}});
  }
}

double Arrivals::tenant_weight(std::size_t tenant, Time t) const {
  double weight = scenario_.tenants[tenant].part;
  for (const FaultSpec& fault : scenario_.faults) {
    if (fault.kind == FaultKind::kTenantBurst && fault.tenant == tenant && is_active(fault, t)) {
      weight *= fault.factor;
    }
  }
  return weight;
}

double Arrivals::load_factor_at(Time t) const {
  const LoadSpec& load = scenario_.load;
  const double period_s = to_s(load.period);
  const double in_period_s = std::fmod(to_s(t), period_s);
  if (load.shape == LoadShape::kDiurnal) {
    return 1 - load.swing * std::cos(2 * M_PI * in_period_s / period_s);
  }
  if (load.shape == LoadShape::kBursts && in_period_s < to_s(load.burst_length)) {
    return load.burst_factor;
  }
  return 1;
}

double Arrivals::rate_at(Time t) const {
  double rate = mean_rate_ * load_factor_at(t);
  for (const FaultSpec& fault : scenario_.faults) {
    if (fault.kind == FaultKind::kBurst && is_active(fault, t)) {
      rate *= fault.factor;
    }
  }
  if (!scenario_.tenants.empty()) {
    double nominal = 0;
    double current = 0;
    for (std::size_t i = 0; i < scenario_.tenants.size(); ++i) {
      nominal += scenario_.tenants[i].part;
      current += tenant_weight(i, t);
    }
    rate *= current / nominal;
  }
  return rate;
}

// Thinning (Lewis and Shedler, 1979): draws times at the maximum rate, and keeps each with the
// probability (present rate) / (maximum rate).
std::optional<Arrival> Arrivals::next() {
  do {
    now_ += std::max(Duration{1}, to_duration(random_.exponential(1 / max_rate_)));
    if (now_ >= scenario_.length) {
      return std::nullopt;
    }
  } while (random_.uniform() * max_rate_ >= rate_at(now_));
  Arrival arrival;
  arrival.at = now_;
  arrival.class_id = draw_weighted(scenario_.classes.size(), random_,
                                   [this](std::size_t i) { return scenario_.classes[i].part; });
  const ClassSpec& request_class = scenario_.classes[arrival.class_id];
  arrival.tenant = draw_tenant();
  arrival.work_s = draw_work(request_class);
  arrival.connection = static_cast<std::uint32_t>(random_.below(scenario_.clients.connections));
  arrival.worth = request_class.settings.priority_weight;
  if (!within_quota(arrival.tenant)) {
    arrival.worth *= scenario_.load.over_quota_factor;
  }
  return arrival;
}

TenantId Arrivals::draw_tenant() {
  if (scenario_.tenants.empty()) {
    return kNoTenant;
  }
  return draw_weighted(scenario_.tenants.size(), random_,
                       [this](std::size_t i) { return tenant_weight(i, now_); });
}

double Arrivals::draw_work(const ClassSpec& request_class) {
  if (request_class.distribution == WorkDistribution::kExponential) {
    return random_.exponential(request_class.work_s);
  }
  if (request_class.distribution == WorkDistribution::kLognormal && request_class.variation > 0) {
    return random_.lognormal(request_class.work_s, request_class.variation);
  }
  return request_class.work_s;
}

bool Arrivals::within_quota(TenantId tenant) {
  if (tenant >= quotas_.size() || quotas_[tenant].rate_per_s <= 0) {
    return true;
  }
  QuotaBucket& quota = quotas_[tenant];
  const double refill = quota.rate_per_s * to_s(now_ - quota.refilled_at);
  quota.tokens = std::min(quota.rate_per_s, quota.tokens + refill);
  quota.refilled_at = now_;
  if (quota.tokens < 1) {
    return false;
  }
  quota.tokens -= 1;
  return true;
}

std::optional<Duration> wait_before_retry(const Scenario& scenario, const FailedAttempt& failed,
                                          Stream& random) {
  const ClientSpec& clients = scenario.clients;
  if (clients.retry == RetryPolicy::kNever || failed.attempts > clients.max_retries ||
      !may_be_repeated(scenario.classes[failed.class_id].settings, failed)) {
    return std::nullopt;
  }
  const bool advised = clients.retry == RetryPolicy::kAdvised;
  if (advised && failed.retry_after != Duration{0}) {
    const Duration wait = std::min(failed.retry_after, clients.max_retry_after);
    return to_duration(to_s(wait) * (1 + kRetryAfterJitter * random.uniform()));
  }
  if (advised || clients.retry == RetryPolicy::kAfter) {
    const double backoff_s =
        to_s(clients.initial_backoff) * std::pow(clients.backoff_factor, failed.attempts - 1);
    return to_duration(backoff_s * (kMinBackoffJitter + random.uniform()));
  }
  return Duration{0};
}

void rebalance_connections(std::vector<std::uint32_t>& proxy_of_connection, std::uint32_t proxy,
                           std::size_t alive, Stream& random) {
  for (std::uint32_t& connection_proxy : proxy_of_connection) {
    if (connection_proxy != proxy && random.below(std::max<std::size_t>(1, alive)) == 0) {
      connection_proxy = proxy;
    }
  }
}

Duration draw_attempt_timeout(const Scenario& scenario, ClassId class_id, Stream& random) {
  const double deadline_s = to_s(scenario.classes[class_id].settings.deadline);
  const double share = random.uniform(scenario.clients.patience);
  return std::max(Duration{1}, to_duration(deadline_s * share));
}

}  // namespace beechhill::emulator
