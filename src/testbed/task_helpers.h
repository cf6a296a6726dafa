// Small tasks that most of the testbed needs.
#pragma once

#include "runtime/scheduler.h"

namespace beechhill::testbed {

runtime::Task<> sleep_until(runtime::Scheduler& scheduler, runtime::TimePoint at);
runtime::Task<> sleep_for(runtime::Scheduler& scheduler, runtime::Clock::duration duration);

/// Runs the scheduler until the task ends, then stops it and all other tasks. Throws what the task,
/// or another one, throws.
void run_until_done(runtime::Scheduler& scheduler, runtime::Task<> task);

}  // namespace beechhill::testbed
