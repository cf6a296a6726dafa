#include "handover/handover_actor.h"

#include "proxy/log.h"

namespace beechhill::handover {

using namespace std::chrono_literals;
using proxy::Asked;
using runtime::Clock;
using runtime::Task;

namespace {

constexpr auto kLook = 50ms;  // a call at one process binds the other within 1 s
constexpr auto kLookWhenNew = 5ms;
constexpr auto kOwnerLimit =
    600ms;  // for the owner to carry an order out; the operator hears within 1 s
constexpr auto kLockLimit = 150ms, kLockPause = 5ms;
constexpr std::size_t kInboxCapacity = 64;

}  // namespace

HandoverActor::HandoverActor(runtime::Scheduler& scheduler, std::unique_ptr<Folder> folder,
                             proxy::DecisionBox& decisions, proxy::DoorBox& door, Look look)
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

Task<> HandoverActor::run() {
  auto next = Clock::now();
  for (;;) {
    while (!inbox_.empty()) {
      Order order = inbox_.take();
      co_await carry_out(std::move(order));
    }
    if (folder_ && Clock::now() >= next) {
      next = Clock::now() + kLook;
      if (folder_->refresh()) {
        follow();
      }
      const Own own = look_(folder_->others());
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

Task<> HandoverActor::carry_out(Order order) {
  const auto owner = std::make_shared<Asked>();
  const bool of_backend = order.change == Change::kExclude || order.change == Change::kInclude;
  const bool posted =
      of_backend
          ? decisions_.post(proxy::Exclude{order.host, order.change == Change::kExclude, owner})
          : door_.post({order.change == Change::kEvacuate ? proxy::DoorWord::kEvacuate
                                                          : proxy::DoorWord::kRejoin,
                        false, owner});
  int status = 503;
  if (posted) {
    status = co_await proxy::settled(scheduler_, owner, kOwnerLimit);
  }
  if (folder_ && status == 200) {
    // Done here; a yes binds the other process too.
    const auto written_by = Clock::now() + kLockLimit;
    bool written = false;
    try {
      while (!(written = folder_->change(order.change, order.host)) && Clock::now() < written_by) {
        runtime::Wait wait(scheduler_);
        wait.until(Clock::now() + kLockPause);
        co_await wait;
      }
    } catch (const std::exception& error) {
      proxy::log_fault("handover_fault", error);
    }
    if (written) {
      follow();
    }
    if (!written) {
      status = 503;
    }
  }
  order.asked->answer(status);
}

// What has changed since goes to its owners; what they were told already changes nothing there.
void HandoverActor::follow() {
  const SharedState& now = folder_->state();
  bool told = true;
  for (const std::string& host : now.barred) {
    if (!followed_.barred.contains(host)) {
      told = decisions_.post(proxy::Exclude{host, true, nullptr}) && told;
    }
  }
  for (const std::string& host : followed_.barred) {
    if (!now.barred.contains(host)) {
      told = decisions_.post(proxy::Exclude{host, false, nullptr}) && told;
    }
  }
  if (now.drained != followed_.drained) {
    told = door_.post({now.drained ? proxy::DoorWord::kEvacuate : proxy::DoorWord::kRejoin, false,
                       nullptr}) &&
           told;
  }
  if (!told) {
    return proxy::log_lost("handover");  // all of it is told again after the next change
  }
  followed_ = now;
}

bool HandoverActor::succeeded() {
  if (!folder_) {
    return false;
  }
  folder_->refresh();
  return folder_->others().successor;
}

}  // namespace beechhill::handover
