#include "proxy/decision_actor.h"

#include <algorithm>
#include <utility>

#include "log/log.h"
#include "proxy/endpoint_watch_actor.h"

namespace beechhill::proxy {

using runtime::now;
using runtime::to_time_point;

namespace {

// Capacity of the mailbox. It is not reached in operation, as every message other than an endpoint
// list results from an event on a descriptor, and the number of descriptors is limited.
constexpr std::size_t kInboxCapacity = 8192;

// Whether `message` is processed during a resync, as it concerns the endpoint list. All other
// messages are deferred.
bool is_processed_while_resyncing(const DecisionMessage& message) {
  return std::holds_alternative<config::EndpointList>(message) ||
         std::holds_alternative<ResyncComplete>(message) ||
         std::holds_alternative<ExcludeBackend>(message) ||
         std::holds_alternative<DispatchPermissions>(message);
}

}  // namespace

DecisionActor::DecisionActor(runtime::Scheduler& scheduler, const config::Config& config,
                             BackendFactory make_backend, EndpointWatchMailbox& watch,
                             const routing::SubsetSettings& subset, std::set<std::string> excluded,
                             const std::vector<snapshot::EndpointRecord>& records)
    : scheduler_(scheduler),
      make_backend_(std::move(make_backend)),
      watch_(watch),
      inbox_(kInboxCapacity),
      exclusions_(std::move(excluded)),
      drain_grace_(config.named_settings.settings.drain_grace),
      slow_start_window_(config.named_settings.settings.slow_start_window),
      max_retry_after_(config.named_settings.settings.max_retry_after),
      max_attempts_(config.named_settings.settings.max_attempts),
      unix_offset_(
          std::chrono::duration_cast<Time>(std::chrono::system_clock::now().time_since_epoch()) -
          now()),
      restored_records_(records),
      recovery_(now(), config.named_settings.settings.drain_grace,
                EndpointWatchActor::kWatchSilenceTimeout, !config.cached_endpoints.entries.empty()),
      balancer_(now(), config.named_settings.settings, actions_) {
  const Settings& settings = config.named_settings.settings;
  if (subset.min_endpoints > 0) {
    subset_.emplace(subset, routing::subset_unit_for(settings.classes), config.name);
  }
  for (const ClassSettings& class_settings : settings.classes) {
    const bool keyed = class_settings.idempotency == Idempotency::kIdempotencyKey;
    deduplication_windows_.push_back(keyed ? std::optional(class_settings.deduplication_window)
                                           : std::nullopt);
  }
  // The zone that is interned first gets the id 0, which stands for this proxy's zone.
  zone_ids_.id(config.named_settings.zone);
  perform_actions();
  apply_list(config.cached_endpoints, UpdateKind::kCached);
}

// ---- Loop

runtime::Task<> DecisionActor::run() {
  for (;;) {
    process_inbox();
    const bool resyncing = update_recovery();
    if (!resyncing) {
      process_deferred();
      fire_timers();
    }
    if (!inbox_.empty()) {
      continue;
    }
    Time until = resyncing ? recovery_.resync_deadline() : now() + recovery_.observation_interval();
    if (!resyncing && !timers_.empty()) {
      until = std::min(until, timers_.begin()->first);
    }
    runtime::Wait wait(scheduler_);
    wait.notified(inbox_.arrived()).until(to_time_point(until));
    co_await wait;
  }
}

// Processes messages until the mailbox is empty or a timer is due.
void DecisionActor::process_inbox() {
  while (!inbox_.empty()) {
    DecisionMessage message = inbox_.take();
    const bool resyncing = update_recovery();
    if (resyncing && !is_processed_while_resyncing(message)) {
      deferred_messages_.push_back(std::move(message));
      continue;
    }
    if (!resyncing) {
      process_deferred();
    }
    process(message);
    if (timer_is_due()) {
      return;
    }
  }
}

void DecisionActor::process(DecisionMessage& message) {
  std::visit([this](auto& content) { on(content); }, message);
}

void DecisionActor::process_deferred() {
  std::deque<DecisionMessage> deferred = std::exchange(deferred_messages_, {});
  for (; !deferred.empty(); deferred.pop_front()) {
    process(deferred.front());
  }
}

bool DecisionActor::timer_is_due() const {
  return !timers_.empty() && timers_.begin()->first <= now();
}

void DecisionActor::fire_timers() {
  while (timer_is_due()) {
    const TimerToken token = timers_.begin()->second;
    timers_.erase(timers_.begin());
    handle_event(Timer{token});
  }
}

// ---- Recovery

// Begins a resync after a gap in which the process did not run, so that no decision is based on
// outdated state. Returns whether a resync is in progress.
bool DecisionActor::update_recovery() {
  const Time current_time = now();
  if (recovery_.observe_clock(current_time)) {
    const auto last_pause =
        std::chrono::duration_cast<std::chrono::milliseconds>(recovery_.last_pause());
    log::info("away", {{"ms", static_cast<std::uint64_t>(last_pause.count())}});
    if (!watch_.post(Resync{recovery_.needs_snapshot()})) {
      log::dropped_message("resync");
    }
  }
  const bool resyncing = recovery_.is_resyncing(current_time);
  log_stage_change();
  return resyncing;
}

void DecisionActor::log_stage_change() {
  if (std::exchange(logged_stage_, recovery_.stage()) != recovery_.stage()) {
    log::info("stage", {{"name", recovery::name(logged_stage_)}});
  }
}

void DecisionActor::on(ResyncComplete&) {
  recovery_.on_resync_complete();
}

// ---- The balancer

void DecisionActor::handle_event(const Event& event) {
  actions_.clear();
  balancer_.handle(now(), event, actions_);
  perform_actions();
}

void DecisionActor::perform_actions() {
  const std::vector<Action> actions = std::exchange(actions_, {});
  for (const Action& action : actions) {
    std::visit([this](const auto& content) { perform(content); }, action);
  }
  // Outcomes are processed only after the loop above, because the balancer requires that all
  // actions of an event are performed before the next event.
  while (!immediate_outcomes_.empty()) {
    std::vector<DecisionMessage> outcomes = std::exchange(immediate_outcomes_, {});
    for (DecisionMessage& outcome : outcomes) {
      process(outcome);
    }
  }
}

void DecisionActor::perform(const SetTimer& action) {
  timers_.emplace(action.at, action.token);
}

void DecisionActor::perform(const WatchEndpoints&) {
  if (!watch_.post(EndpointWatchMessage(StartWatch{}))) {
    log::event(log::Level::kDebug, "watch_ordered_already", {});
  }
}

void DecisionActor::on(GetEndpointCounts& query) {
  const auto [listed, unavailable] = balancer_.endpoint_counts(now());
  query.reply->endpoint_count = listed;
  query.reply->avoided_endpoint_count = unavailable;
  query.reply->recovery_stage = recovery::name(recovery_.stage());
  query.reply->complete(200);
}

}  // namespace beechhill::proxy
