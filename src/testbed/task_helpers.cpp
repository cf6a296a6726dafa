#include "testbed/task_helpers.h"

namespace beechhill::testbed {

using runtime::Task;
using runtime::Wait;

namespace {

Task<> stop_after(runtime::Scheduler& scheduler, Task<> task) {
  co_await task;
  scheduler.stop();
}

}  // namespace

Task<> sleep_until(runtime::Scheduler& scheduler, runtime::TimePoint at) {
  Wait wait(scheduler);
  wait.until(at);
  co_await wait;
}

Task<> sleep_for(runtime::Scheduler& scheduler, runtime::Clock::duration duration) {
  Wait wait(scheduler);
  wait.until(runtime::Clock::now() + duration);
  co_await wait;
}

void run_until_done(runtime::Scheduler& scheduler, Task<> task) {
  scheduler.spawn(stop_after(scheduler, std::move(task)));
  scheduler.run();
}

}  // namespace beechhill::testbed
