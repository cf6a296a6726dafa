// Coroutine helpers that most of the testbed uses.
#pragma once

#include "runtime/scheduler.h"

namespace beechhill::testbed {

runtime::Task<> sleep_until(runtime::Scheduler& scheduler, runtime::TimePoint at);
runtime::Task<> sleep_for(runtime::Scheduler& scheduler, runtime::Clock::duration duration);

/// Runs the scheduler until `task` completes, then stops the scheduler and all other tasks.
/// Rethrows an exception of `task` or of any other task.
void run_until_done(runtime::Scheduler& scheduler, runtime::Task<> task);

}  // namespace beechhill::testbed
