#include "hot_restart/hot_restart_actor.h"

#include "log/log.h"
#include "proxy/connection_log.h"

namespace beechhill::hot_restart {

using namespace std::chrono_literals;
using runtime::Clock;
using runtime::PendingReply;
using runtime::Task;

namespace {

constexpr auto kLook = 50ms;  // a call at one process binds the other within 1 s
constexpr auto kLookWhenNew = 5ms;
constexpr auto kOwnerLimit =
    600ms;  // for the owner to carry an order out; the operator hears within 1 s
constexpr auto kLockLimit = 150ms, kLockPause = 5ms;
constexpr std::size_t kInboxCapacity = 64;

}  // namespace

HotRestartActor::HotRestartActor(runtime::Scheduler& scheduler,
                                 std::unique_ptr<SharedStateDirectory> folder,
                                 proxy::DecisionMailbox& decisions, proxy::ListenerMailbox& door,
                                 StatusExchange look)
    : scheduler_(scheduler),
      folder_(std::move(folder)),
      decisions_(decisions),
      door_(door),
      look_(std::move(look)),
      inbox_(kInboxCapacity) {
  if (folder_) {
    followed_ = folder_->state();
  }
}

Task<> HotRestartActor::run() {
  auto next = Clock::now();
  for (;;) {
    while (!inbox_.empty()) {
      OperatorCommand order = inbox_.take();
      co_await carry_out(std::move(order));
    }
    if (folder_ && Clock::now() >= next) {
      next = Clock::now() + kLook;
      if (folder_->refresh()) {
        follow();
      }
      const ProcessStatus own = look_(folder_->process_group_status());
      folder_->publish(own.ready, own.descriptors);
      told_ready_ = own.ready;
      if (!told_ready_) {
        next = Clock::now() + kLookWhenNew;
      }
    }
    runtime::Wait wait(scheduler_);
    wait.notified(inbox_.arrived());
    if (folder_) {
      wait.until(next);
    }
    co_await wait;
  }
}

Task<> HotRestartActor::carry_out(OperatorCommand order) {
  const auto owner = std::make_shared<PendingReply>();
  const bool of_backend =
      order.change == StateChange::kExclude || order.change == StateChange::kInclude;
  const bool posted =
      of_backend
          ? decisions_.post(proxy::ExcludeBackend{order.backend_id,
                                                  order.change == StateChange::kExclude, owner})
          : door_.post({order.change == StateChange::kDrain ? proxy::ListenerCommandType::kDrain
                                                            : proxy::ListenerCommandType::kResume,
                        false, owner});
  int status = 503;
  if (posted) {
    status = co_await runtime::await_reply(scheduler_, owner, kOwnerLimit);
  }
  if (folder_ && status == 200) {
    // Done here; a yes binds the other process too.
    const auto written_by = Clock::now() + kLockLimit;
    bool written = false;
    try {
      while (!(written = folder_->change(order.change, order.backend_id)) &&
             Clock::now() < written_by) {
        runtime::Wait wait(scheduler_);
        wait.until(Clock::now() + kLockPause);
        co_await wait;
      }
    } catch (const std::exception& error) {
      log::fault("handover_fault", error);
    }
    if (written) {
      follow();
    }
    if (!written) {
      status = 503;
    }
  }
  order.reply->complete(status);
}

// What has changed since goes to its owners; what they were told already changes nothing there.
void HotRestartActor::follow() {
  const SharedState& now = folder_->state();
  bool told = true;
  for (const std::string& host : now.excluded_backends) {
    if (!followed_.excluded_backends.contains(host)) {
      told = decisions_.post(proxy::ExcludeBackend{host, true, nullptr}) && told;
    }
  }
  for (const std::string& host : followed_.excluded_backends) {
    if (!now.excluded_backends.contains(host)) {
      told = decisions_.post(proxy::ExcludeBackend{host, false, nullptr}) && told;
    }
  }
  if (now.drained != followed_.drained) {
    told = door_.post({now.drained ? proxy::ListenerCommandType::kDrain
                                   : proxy::ListenerCommandType::kResume,
                       false, nullptr}) &&
           told;
  }
  if (!told) {
    return log::dropped_message("handover");  // all of it is told again after the next change
  }
  followed_ = now;
}

bool HotRestartActor::has_successor() {
  if (!folder_) {
    return false;
  }
  folder_->refresh();
  return folder_->process_group_status().successor;
}

}  // namespace beechhill::hot_restart
