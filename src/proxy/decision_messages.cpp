#include "proxy/decision_messages.h"

#include <chrono>
#include <utility>

namespace beechhill::proxy {
namespace {

constexpr std::chrono::milliseconds kFullMailboxRetryInterval{1};

}  // namespace

runtime::Task<> post_reliably(runtime::Scheduler& scheduler, DecisionMailbox& mailbox,
                              DecisionMessage message) {
  // NOLINTNEXTLINE(bugprone-use-after-move): post() leaves a rejected message unchanged
  while (!mailbox.post(std::move(message))) {
    runtime::Wait wait(scheduler);
    wait.until(runtime::Clock::now() + kFullMailboxRetryInterval);
    co_await wait;
  }
}

}  // namespace beechhill::proxy
