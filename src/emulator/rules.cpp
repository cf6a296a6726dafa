#include "emulator/rules.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

namespace beechhill::emulator {
namespace {

constexpr std::size_t kMaxViolations = 16;
// Length in bytes at which the trace of a request is not extended further.
constexpr std::size_t kMaxTrace = 4096;
// Upper bound of the tolerance for random variation above a cold backend's budget, in jobs of mean
// size. Below this bound, the tolerance is twice the square root of the number of jobs in the
// budget, plus two.
constexpr double kMaxChanceJobs = 8;
// Minimum share of an overload's work that must have been sent by proxies that knew of the
// backend's start. Below this share, the overload is not counted as a violation of Rule::kCold.
constexpr double kAwareShare = 2.0 / 3;

std::uint64_t backend_key(std::uint32_t tier, EndpointId endpoint) {
  return (static_cast<std::uint64_t>(tier) << 32) | endpoint;
}

}  // namespace

const char* name_of(Rule rule) {
  static constexpr const char* kNames[] = {"one_answer", "effects", "drains", "cold"};
  return kNames[static_cast<std::size_t>(rule)];
}

std::uint64_t RuleChecker::all() const {
  std::uint64_t sum = 0;
  for (const std::uint64_t count : counts_) {
    sum += count;
  }
  return sum;
}

RuleChecker::RequestRecord* RuleChecker::find(std::uint64_t id) {
  const auto it = requests_.find(id);
  return it == requests_.end() ? nullptr : &it->second;
}

void RuleChecker::add_to_trace(RequestRecord& request, Time now, const std::string& what) {
  if (request.trace.size() < kMaxTrace) {
    request.trace += fmt::format("  {:.6f} {}\n", to_s(now), what);
  }
}

void RuleChecker::report(Time now, Rule rule, std::uint64_t request, std::string what) {
  ++counts_[static_cast<std::size_t>(rule)];
  if (violations_.size() < kMaxViolations) {
    const RequestRecord* record = find(request);
    violations_.push_back({rule, now, request, std::move(what), record ? record->trace : ""});
  }
}

void RuleChecker::taken(Time now, std::uint64_t request_id, ClassId class_id, Time deadline) {
  RequestRecord& request = requests_[request_id];
  request = RequestRecord{class_id, deadline, false, false, Time{0}, {}, {}};
  add_to_trace(request, now,
               fmt::format("taken class={} deadline={:.6f}", scenario_.classes[class_id].name,
                           to_s(deadline)));
}

bool RuleChecker::may_have_run(const Attempt& attempt) {
  return !attempt.result ||
         (*attempt.result != Result::kOverloaded && *attempt.result != Result::kConnectFailed &&
          *attempt.result != Result::kSkipped);
}

void RuleChecker::answered(Time now, std::uint64_t request_id, bool rejection) {
  RequestRecord* request = find(request_id);
  if (!request) {
    return;
  }
  add_to_trace(*request, now, rejection ? "refused" : "answered");
  if (request->excused) {
    // The client has stopped waiting, so the rules do not apply to this answer.
    return;
  }
  if (request->answered) {
    return report(now, Rule::kOneAnswer, request_id, "a second final answer");
  }
  request->answered = true;
  request->answered_at = now;
  if (now > request->deadline + scenario_.answer_grace + slack_) {
    report(now, Rule::kOneAnswer, request_id, "answered after the deadline and the grace period");
  }
  const ClassSettings& settings = scenario_.classes[request->class_id].settings;
  const bool harmless = settings.idempotency == Idempotency::kIdempotent ||
                        (settings.idempotency == Idempotency::kIdempotencyKey &&
                         settings.deduplication_scope == DeduplicationScope::kAll);
  if (rejection && !harmless &&
      std::any_of(request->attempts.begin(), request->attempts.end(), may_have_run)) {
    report(now, Rule::kEffects, request_id,
           "rejected as safe to retry after an attempt that may have been executed");
  }
}

void RuleChecker::sent(Time now, std::uint64_t request_id, std::uint32_t tier, EndpointId node,
                       const Endpoint& entry, std::optional<Time> not_up_since, Duration transit) {
  const Time sent_at = now - transit;
  RequestRecord* request = find(request_id);
  if (!request) {
    return;
  }
  add_to_trace(
      *request, sent_at,
      fmt::format("sent attempt={} tier={} node={}", request->attempts.size(), tier, node));
  if (request->answered && sent_at >= request->answered_at + slack_) {
    report(sent_at, Rule::kOneAnswer, request_id, "sent after its final answer");
  }
  check_drain(sent_at, request_id, node, not_up_since);
  check_repeat(sent_at, request_id, entry);
  request->attempts.push_back({node, entry.zone, entry.cell, sent_at, std::nullopt});
}

void RuleChecker::check_drain(Time now, std::uint64_t id, EndpointId endpoint,
                              std::optional<Time> not_up_since) {
  if (not_up_since && now > *not_up_since + scenario_.drain_grace + slack_) {
    report(now, Rule::kDrains, id,
           fmt::format(
               "sent to node {} {:.3f} s after the endpoint list had it as draining or removed",
               endpoint, to_s(now - *not_up_since)));
  }
}

void RuleChecker::check_repeat(Time now, std::uint64_t id, const Endpoint& endpoint) {
  const RequestRecord& request = *find(id);
  const ClassSettings& settings = scenario_.classes[request.class_id].settings;
  const bool any_open = std::any_of(request.attempts.begin(), request.attempts.end(),
                                    [](const Attempt& attempt) { return !attempt.result; });
  if (any_open && !scenario_.hedging_allowed) {
    report(now, Rule::kEffects, id,
           "sent while another attempt was open, although hedging is not allowed");
  }
  const auto first = std::find_if(request.attempts.begin(), request.attempts.end(), may_have_run);
  if (first == request.attempts.end()) {
    return;
  }
  if (settings.idempotency == Idempotency::kNonIdempotent) {
    report(now, Rule::kEffects, id, "sent again after an attempt that may have been executed");
  }
  if (settings.idempotency == Idempotency::kIdempotencyKey) {
    check_deduplication(now, id, *first, endpoint);
  }
}

// Checks that the backend can recognise the idempotency key of the first attempt that may have been
// executed.
void RuleChecker::check_deduplication(Time now, std::uint64_t id, const Attempt& first,
                                      const Endpoint& endpoint) {
  const ClassSettings& settings = scenario_.classes[find(id)->class_id].settings;
  const bool within_scope =
      settings.deduplication_scope == DeduplicationScope::kAll ||
      (endpoint.zone == first.zone &&
       (settings.deduplication_scope == DeduplicationScope::kZone || endpoint.cell == first.cell));
  if (!within_scope) {
    report(now, Rule::kEffects, id, "sent again outside the deduplication scope");
  }
  if (now > first.sent_at + settings.deduplication_window + slack_) {
    report(now, Rule::kEffects, id, "sent again after the deduplication window");
  }
}

void RuleChecker::ended(Time now, std::uint64_t request_id, std::uint32_t attempt, Result result) {
  RequestRecord* request = find(request_id);
  if (!request || attempt >= request->attempts.size()) {
    return;
  }
  request->attempts[attempt].result = result;
  add_to_trace(*request, now, fmt::format("attempt={} {}", attempt, name(result)));
}

void RuleChecker::excused(Time now, std::uint64_t request_id) {
  RequestRecord* request = find(request_id);
  if (!request || request->answered) {
    return;
  }
  add_to_trace(*request, now, "excused");
  request->answered = true;
  request->excused = true;
  request->answered_at = now;
}

void RuleChecker::forget(std::uint64_t request_id) {
  requests_.erase(request_id);
}

void RuleChecker::overdue(Time now, std::uint64_t request_id) {
  const RequestRecord* request = find(request_id);
  if (request && !request->answered) {
    report(now, Rule::kOneAnswer, request_id,
           "no final answer by the deadline plus the grace period");
  }
}

bool RuleChecker::on_cold_work(Time now, std::uint32_t tier, EndpointId node, double work,
                               double capacity, double usual_work, bool proxy_knows_start) {
  std::deque<ColdWork>& window = cold_work_[backend_key(tier, node)];
  window.push_back({now, work, proxy_knows_start});
  while (window.front().at + scenario_.collapse_delay < now) {
    window.pop_front();
  }
  double sent = 0;
  double sent_knowingly = 0;
  for (const ColdWork& arrival : window) {
    sent += arrival.work_s;
    sent_knowingly += arrival.proxy_knows_start ? arrival.work_s : 0;
  }
  const double budget = scenario_.collapse_ratio * capacity * to_s(scenario_.collapse_delay);
  const double chance_jobs =
      usual_work > 0 ? std::min(kMaxChanceJobs, 2 * std::sqrt(budget / usual_work) + 2) : 0;
  if (sent <= budget + chance_jobs * usual_work) {
    return false;
  }
  if (sent_knowingly >= kAwareShare * sent) {
    report(now, Rule::kCold, 0,
           fmt::format("cold node {} of tier {} was sent {:.3f} core-seconds in {:.1f} s; its "
                       "capacity is {:.3f} core-seconds per second",
                       node, tier, sent, to_s(scenario_.collapse_delay), capacity));
  }
  return true;
}

void RuleChecker::forget_cold_work(std::uint32_t tier, EndpointId node) {
  cold_work_.erase(backend_key(tier, node));
}

}  // namespace beechhill::emulator
