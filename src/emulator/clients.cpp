#include "emulator/clients.h"

#include <algorithm>
#include <cmath>

namespace beechhill::emulator {
Arrivals::Arrivals(const Scenario& scenario)
    : s_(scenario), random_(scenario.seed, Actor::kArrivals, 0) {
  mean_rate_ = rate_per_s(s_);
  double most = 1;
  if (s_.load.shape == Shape::kDiurnal) {
    most = 1 + s_.load.swing;
  }
  if (s_.load.shape == Shape::kBursts) {
    most = std::max(1.0, s_.load.burst_factor);
  }
  for (const FaultSpec& f : s_.faults) {
    if (f.kind == FaultKind::kBurst || f.kind == FaultKind::kTenantBurst) {
      most *= std::max(1.0, f.factor);
    }
  }
  most_rate_ = mean_rate_ * most;
  for (const TenantSettings& t : settings_for(s_, 0, 0, 1, 0).tenants) {
    allowances_.push_back(t.quota_per_s);
  }
  tokens_ = allowances_;
  filled_.assign(allowances_.size(), Time{0});
}

double Arrivals::tenant_weight(std::size_t tenant, Time t) const {
  double weight = s_.tenants[tenant].part;
  for (const FaultSpec& f : s_.faults) {
    if (f.kind == FaultKind::kTenantBurst && f.tenant == tenant && t >= f.at &&
        t < f.at + f.length) {
      weight *= f.factor;
    }
  }
  return weight;
}

double Arrivals::rate_at(Time t) const {
  double rate = mean_rate_;
  const double turn = std::fmod(to_s(t), to_s(s_.load.period));
  if (s_.load.shape == Shape::kDiurnal) {
    rate *= 1 - s_.load.swing * std::cos(2 * M_PI * turn / to_s(s_.load.period));
  }
  if (s_.load.shape == Shape::kBursts && turn < to_s(s_.load.burst_length)) {
    rate *= s_.load.burst_factor;
  }
  for (const FaultSpec& f : s_.faults) {
    if (f.kind == FaultKind::kBurst && t >= f.at && t < f.at + f.length) {
      rate *= f.factor;
    }
  }
  if (!s_.tenants.empty()) {
    double usual = 0, present = 0;
    for (std::size_t i = 0; i < s_.tenants.size(); ++i) {
      usual += s_.tenants[i].part, present += tenant_weight(i, t);
    }
    rate *= present / usual;
  }
  return rate;
}

// The times of a rate that changes: drawn at the highest rate, kept in proportion.
std::optional<Arrival> Arrivals::next() {
  do {
    now_ += std::max(Duration{1}, to_span(random_.exponential(1 / most_rate_)));
    if (now_ >= s_.length) {
      return std::nullopt;
    }
  } while (random_.uniform() * most_rate_ >= rate_at(now_));
  Arrival a;
  a.at = now_;
  double left = 0;
  for (const ClassSpec& c : s_.classes) {
    left += c.part;
  }
  left *= random_.uniform();
  while (a.c + 1 < s_.classes.size() && (left -= s_.classes[a.c].part) >= 0) {
    ++a.c;
  }
  const ClassSpec& c = s_.classes[a.c];
  if (!s_.tenants.empty()) {
    double all = 0;
    for (std::size_t i = 0; i < s_.tenants.size(); ++i) {
      all += tenant_weight(i, now_);
    }
    double at = all * random_.uniform();
    a.tenant = 0;
    while (a.tenant + 1 < s_.tenants.size() && (at -= tenant_weight(a.tenant, now_)) >= 0) {
      ++a.tenant;
    }
  }
  if (c.spread == Spread::kExponential) {
    a.work_s = random_.exponential(c.work_s);
  } else if (c.spread == Spread::kLognormal && c.variation > 0) {
    a.work_s = random_.lognormal(c.work_s, c.variation);
  } else {
    a.work_s = c.work_s;
  }
  a.connection = static_cast<std::uint32_t>(random_.below(s_.clients.connections));
  a.worth = c.settings.priority_weight;
  if (a.tenant < allowances_.size() && allowances_[a.tenant] > 0) {
    double& tokens = tokens_[a.tenant];
    const double rate = allowances_[a.tenant];
    tokens = std::min(rate, tokens + rate * to_s(now_ - filled_[a.tenant]));
    filled_[a.tenant] = now_;
    if (tokens < 1) {
      a.worth *= s_.load.over_share_worth;
    } else {
      tokens -= 1;
    }
  }
  return a;
}

std::optional<Duration> wait_before_retry(const Scenario& s, const FailedTry& failed,
                                          Stream& random) {
  const ClassSettings& k = s.classes[failed.c].settings;
  const bool harmless = failed.refused || failed.unreachable ||
                        k.idempotency == Idempotency::kIdempotent ||
                        (k.idempotency == Idempotency::kIdempotencyKey &&
                         k.deduplication_scope == DeduplicationScope::kAll);
  const ClientSpec& c = s.clients;
  if (c.retry == Retry::kNever || !harmless || failed.tries > c.retries) {
    return std::nullopt;
  }
  if (c.retry == Retry::kAfter || (c.retry == Retry::kAdvised && failed.advice == Duration{0})) {
    const double grown = to_s(c.wait) * std::pow(c.growth, failed.tries - 1);
    return to_span(grown * (0.5 + random.uniform()));  // clients that failed together spread out
  }
  if (c.retry == Retry::kAdvised) {
    return to_span(to_s(std::min(failed.advice, c.longest_advice)) * (1 + 0.2 * random.uniform()));
  }
  return Duration{0};
}

void deal_back(std::vector<std::uint32_t>& homes, std::uint32_t proxy, std::size_t alive,
               Stream& random) {
  for (std::uint32_t& home : homes) {
    if (home != proxy && random.below(std::max<std::size_t>(1, alive)) == 0) {
      home = proxy;
    }
  }
}

Duration patience_of(const Scenario& s, ClassId c, Stream& random) {
  const double whole = to_s(s.classes[c].settings.deadline);
  return std::max(Duration{1}, to_span(whole * random.uniform(s.clients.patience)));
}

}  // namespace beechhill::emulator
