#include "emulator/rules.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

namespace beechhill::emulator {
namespace {

constexpr std::size_t kKept = 16;
constexpr std::size_t kTrace = 4096;  // bytes of one request's trace
constexpr double kChance = 8;  // mean jobs that a cold node's budget leaves room for chance, or 2
                               // roots of N and 2 if fewer
constexpr double kAwareShare =
    2.0 / 3;  // of the work, that proxies which knew of the start have sent

const char* word(Result r) {
  static constexpr const char* kWords[] = {
      "ok", "error", "full", "timeout", "connect_failed", "reset", "cancelled", "moot"};
  return kWords[static_cast<std::size_t>(r)];
}

}  // namespace

const char* name_of(Rule rule) {
  static constexpr const char* kNames[] = {"one_answer", "effects", "drains", "cold"};
  return kNames[static_cast<std::size_t>(rule)];
}

std::uint64_t RuleChecker::all() const {
  std::uint64_t sum = 0;
  for (const std::uint64_t n : counts_) {
    sum += n;
  }
  return sum;
}

void RuleChecker::note(Call& c, Time now, const std::string& what) {
  if (c.trace.size() < kTrace) {
    c.trace += fmt::format("  {:.6f} {}\n", to_s(now), what);
  }
}

void RuleChecker::broken(Time now, Rule rule, std::uint64_t call, std::string what,
                         const std::string& trace) {
  ++counts_[static_cast<std::size_t>(rule)];
  if (kept_.size() < kKept) {
    kept_.push_back({rule, now, call, std::move(what), trace});
  }
}

void RuleChecker::taken(Time now, std::uint64_t call, ClassId c, Time deadline) {
  Call& made = calls_[call];
  made = Call{c, deadline, false, false, Time{0}, {}, {}};
  note(made, now,
       fmt::format("taken class={} deadline={:.6f}", s_.classes[c].name, to_s(deadline)));
}

bool RuleChecker::may_have_run(const Attempt& a) {
  return !a.result || (*a.result != Result::kOverloaded && *a.result != Result::kConnectFailed &&
                       *a.result != Result::kSkipped);
}

void RuleChecker::answered(Time now, std::uint64_t call, bool refusal) {
  const auto it = calls_.find(call);
  if (it == calls_.end()) {
    return;
  }
  Call& c = it->second;
  note(c, now, refusal ? "refused" : "answered");
  if (c.excused) {
    return;  // nobody hears it
  }
  if (c.answered) {
    return broken(now, Rule::kOneAnswer, call, "a second final answer", c.trace);
  }
  c.answered = true;
  c.answered_at = now;
  if (now > c.deadline + s_.answer_grace + slack_) {
    broken(now, Rule::kOneAnswer, call, "answered after the deadline and its grace", c.trace);
  }
  const ClassSettings& k = s_.classes[c.c].settings;
  if (!refusal || k.idempotency == Idempotency::kIdempotent) {
    return;
  }
  if (k.idempotency == Idempotency::kIdempotencyKey &&
      k.deduplication_scope == DeduplicationScope::kAll) {
    return;
  }
  for (const Attempt& a : c.attempts) {
    if (may_have_run(a)) {
      return broken(now, Rule::kEffects, call, "refused as harmless after it may have run",
                    c.trace);
    }
  }
}

void RuleChecker::sent(Time now, std::uint64_t call, std::uint32_t tier, EndpointId node,
                       const Endpoint& entry, std::optional<Time> told, Duration held) {
  now -= held;
  const auto it = calls_.find(call);
  if (it == calls_.end()) {
    return;
  }
  Call& c = it->second;
  note(c, now, fmt::format("sent attempt={} tier={} node={}", c.attempts.size(), tier, node));
  if (c.answered && now >= c.answered_at + slack_) {
    broken(now, Rule::kOneAnswer, call, "sent after its final answer", c.trace);
  }
  if (told && now > *told + s_.drain_grace + slack_) {
    broken(
        now, Rule::kDrains, call,
        fmt::format("sent to node {} {:.3f} s after it was told to drain", node, to_s(now - *told)),
        c.trace);
  }
  const ClassSettings& k = s_.classes[c.c].settings;
  const Attempt* first = nullptr;
  std::size_t open = 0;
  for (const Attempt& a : c.attempts) {
    open += !a.result;
    if (!first && may_have_run(a)) {
      first = &a;
    }
  }
  if (open > 0 && !s_.parallel_tries) {
    broken(now, Rule::kEffects, call, "two attempts at once", c.trace);
  }
  if (first && k.idempotency == Idempotency::kNonIdempotent) {
    broken(now, Rule::kEffects, call, "sent again after it may have run", c.trace);
  }
  if (first && k.idempotency == Idempotency::kIdempotencyKey) {
    const bool within =
        k.deduplication_scope == DeduplicationScope::kAll ||
        (entry.zone == first->zone &&
         (k.deduplication_scope == DeduplicationScope::kZone || entry.cell == first->cell));
    if (!within) {
      broken(now, Rule::kEffects, call, "sent again outside its group", c.trace);
    }
    if (now > first->sent + k.deduplication_window + slack_) {
      broken(now, Rule::kEffects, call, "sent again after its group's memory span", c.trace);
    }
  }
  c.attempts.push_back({node, entry.zone, entry.cell, now, std::nullopt});
}

void RuleChecker::ended(Time now, std::uint64_t call, std::uint32_t attempt, Result result) {
  const auto it = calls_.find(call);
  if (it == calls_.end() || attempt >= it->second.attempts.size()) {
    return;
  }
  it->second.attempts[attempt].result = result;
  note(it->second, now, fmt::format("attempt={} {}", attempt, word(result)));
}

void RuleChecker::excused(Time now, std::uint64_t call) {
  const auto it = calls_.find(call);
  if (it == calls_.end() || it->second.answered) {
    return;
  }
  note(it->second, now, "excused");
  it->second.answered = it->second.excused = true;
  it->second.answered_at = now;
}

void RuleChecker::forget(std::uint64_t call) {
  calls_.erase(call);
}

void RuleChecker::overdue(Time now, std::uint64_t call) {
  const auto it = calls_.find(call);
  if (it == calls_.end() || it->second.answered) {
    return;
  }
  broken(now, Rule::kOneAnswer, call, "no final answer by the deadline and its grace",
         it->second.trace);
}

bool RuleChecker::pressed(Time now, std::uint32_t tier, EndpointId node, double work,
                          double capacity, double usual_work, bool aware) {
  auto& window = pressure_[(static_cast<std::uint64_t>(tier) << 32) | node];
  window.push_back({now, work, aware});
  while (window.front().at + s_.collapse_delay < now) {
    window.pop_front();
  }
  double sent = 0, known = 0;
  for (const Press& p : window) {
    sent += p.work, known += p.aware ? p.work : 0;
  }
  const double most = s_.collapse_ratio * capacity * to_s(s_.collapse_delay);
  const double chance =
      usual_work > 0 ? std::min(kChance, 2 * std::sqrt(most / usual_work) + 2) : 0;
  if (sent <= most + chance * usual_work) {
    return false;
  }
  if (known >= kAwareShare * sent) {
    broken(now, Rule::kCold, 0,
           fmt::format("cold node {} of tier {} was sent {:.3f} core-seconds in {:.1f} s and can "
                       "do {:.3f} a second",
                       node, tier, sent, to_s(s_.collapse_delay), capacity),
           "");
  }
  return true;
}

void RuleChecker::node_warm(std::uint32_t tier, EndpointId node) {
  pressure_.erase((static_cast<std::uint64_t>(tier) << 32) | node);
}

}  // namespace beechhill::emulator
