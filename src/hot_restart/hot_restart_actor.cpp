#include "hot_restart/hot_restart_actor.h"

#include <exception>
#include <utility>

#include "log/log.h"
#include "proxy/connection_log.h"

namespace beechhill::hot_restart {

using namespace std::chrono_literals;
using runtime::Clock;
using runtime::PendingReply;
using runtime::Task;
using runtime::TimePoint;

namespace {

// Interval between synchronizations with the directory. A command sent to one process must take
// effect in the others within one second.
constexpr std::chrono::milliseconds kSyncInterval = 50ms;
// Interval between synchronizations until this process has published that it is ready, because the
// predecessor and the platform wait for that.
constexpr std::chrono::milliseconds kStartupSyncInterval = 5ms;
// Time limit for the actor that executes a command to reply. Operators must get their response
// within one second, including the time to store the command.
constexpr std::chrono::milliseconds kOwnerTimeout = 600ms;
// Time limit for acquiring the directory's lock while another process holds it.
constexpr std::chrono::milliseconds kLockTimeout = 150ms;
constexpr std::chrono::milliseconds kLockRetryInterval = 5ms;
constexpr std::size_t kInboxCapacity = 64;

constexpr int kOk = 200;
constexpr int kServiceUnavailable = 503;

proxy::ListenerCommand listener_command(bool drain, std::shared_ptr<PendingReply> reply) {
  const auto type =
      drain ? proxy::ListenerCommandType::kDrain : proxy::ListenerCommandType::kResume;
  return {type, false, std::move(reply)};
}

}  // namespace

HotRestartActor::HotRestartActor(runtime::Scheduler& scheduler,
                                 std::unique_ptr<SharedStateDirectory> directory,
                                 proxy::DecisionMailbox& decisions,
                                 proxy::ListenerMailbox& listener, StatusExchange exchange_status)
    : scheduler_(scheduler),
      directory_(std::move(directory)),
      decisions_(decisions),
      listener_(listener),
      exchange_status_(std::move(exchange_status)),
      inbox_(kInboxCapacity) {
  if (directory_) {
    forwarded_state_ = directory_->state();
  }
}

Task<> HotRestartActor::run() {
  TimePoint next_sync = Clock::now();
  for (;;) {
    while (!inbox_.empty()) {
      OperatorCommand command = inbox_.take();
      co_await execute(std::move(command));
    }
    if (directory_ && Clock::now() >= next_sync) {
      const TimePoint started_at = Clock::now();
      synchronize();
      next_sync =
          readiness_published_ ? started_at + kSyncInterval : Clock::now() + kStartupSyncInterval;
    }
    runtime::Wait wait(scheduler_);
    wait.notified(inbox_.arrived());
    if (directory_) {
      wait.until(next_sync);
    }
    co_await wait;
  }
}

void HotRestartActor::synchronize() {
  if (directory_->refresh()) {
    forward_state_changes();
  }
  const ProcessStatus status = exchange_status_(directory_->process_group_status());
  directory_->publish(status.ready, status.descriptors);
  readiness_published_ = status.ready;
}

Task<> HotRestartActor::execute(OperatorCommand command) {
  const auto owner_reply = std::make_shared<PendingReply>();
  int status = kServiceUnavailable;
  if (post_to_owner(command, owner_reply)) {
    status = co_await runtime::await_reply(scheduler_, owner_reply, kOwnerTimeout);
  }
  // Status 200 promises that the other processes will execute the command too, so the command must
  // be stored before the reply is sent.
  if (directory_ && status == kOk) {
    const bool stored = co_await store(command);
    if (!stored) {
      status = kServiceUnavailable;
    }
  }
  command.reply->complete(status);
}

bool HotRestartActor::post_to_owner(const OperatorCommand& command,
                                    const std::shared_ptr<PendingReply>& reply) {
  switch (command.change) {
    case StateChange::kExclude:
    case StateChange::kInclude: {
      const bool excluded = command.change == StateChange::kExclude;
      return decisions_.post(proxy::ExcludeBackend{command.backend_id, excluded, reply});
    }
    case StateChange::kDrain:
    case StateChange::kResume:
      return listener_.post(listener_command(command.change == StateChange::kDrain, reply));
  }
  return false;
}

// Stores the command for the other processes. Returns false if the lock could not be acquired in
// time or the disk failed. `command` must outlive the task.
Task<bool> HotRestartActor::store(const OperatorCommand& command) {
  const TimePoint deadline = Clock::now() + kLockTimeout;
  try {
    while (!directory_->try_apply(command.change, command.backend_id)) {
      if (Clock::now() >= deadline) {
        co_return false;
      }
      runtime::Wait wait(scheduler_);
      wait.until(Clock::now() + kLockRetryInterval);
      co_await wait;
    }
  } catch (const std::exception& error) {
    log::fault("handover_fault", error);
    co_return false;
  }
  forward_state_changes();
  co_return true;
}

// Posts the changes of the shared state since `forwarded_state_` to the actors of this process.
// Changes that the actors have already executed have no effect.
void HotRestartActor::forward_state_changes() {
  const SharedState& current = directory_->state();
  const bool exclusions_posted = post_exclusion_changes(current);
  const bool drain_posted = post_drain_change(current);
  if (!exclusions_posted || !drain_posted) {
    // `forwarded_state_` stays unchanged, so these changes are posted again with the next change of
    // the state.
    log::dropped_message("handover");
    return;
  }
  forwarded_state_ = current;
}

bool HotRestartActor::post_exclusion_changes(const SharedState& current) {
  const auto& before = forwarded_state_.excluded_backends;
  const auto& now = current.excluded_backends;
  bool all_posted = true;
  for (const std::string& backend_id : now) {
    if (!before.contains(backend_id)) {
      all_posted &= decisions_.post(proxy::ExcludeBackend{backend_id, true, nullptr});
    }
  }
  for (const std::string& backend_id : before) {
    if (!now.contains(backend_id)) {
      all_posted &= decisions_.post(proxy::ExcludeBackend{backend_id, false, nullptr});
    }
  }
  return all_posted;
}

bool HotRestartActor::post_drain_change(const SharedState& current) {
  if (current.drained == forwarded_state_.drained) {
    return true;
  }
  return listener_.post(listener_command(current.drained, nullptr));
}

bool HotRestartActor::has_successor() {
  if (!directory_) {
    return false;
  }
  directory_->refresh();
  return directory_->process_group_status().successor;
}

}  // namespace beechhill::hot_restart
