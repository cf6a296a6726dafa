// The clock of one run, shared by the load, the fake services and the observation log.
#pragma once

#include <chrono>

#include "beechhill/balancer.h"
#include "runtime/scheduler.h"

namespace beechhill::testbed {

/// Maps the steady clock to scenario time. Scenario time 0 is when the load begins.
struct TestbedClock {
  runtime::TimePoint start = runtime::Clock::now();

  Time now() const { return std::chrono::duration_cast<Time>(runtime::Clock::now() - start); }
  runtime::TimePoint time_point(Time at) const { return start + at; }
};

}  // namespace beechhill::testbed
