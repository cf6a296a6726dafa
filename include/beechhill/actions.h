// Actions that a Balancer asks its embedder to carry out.
#pragma once

#include <cstdint>
#include <variant>

#include "beechhill/types.h"

namespace beechhill {

/// Send the request to the endpoint. The attempt lasts until its Outcome; its only timeout is the
/// request's deadline.
struct StartAttempt {
  RequestId id = 0;
  EndpointId endpoint = 0;
};

/// Cancel an attempt. The embedder still reports its Outcome.
struct Cancel {
  RequestId id = 0;
  std::uint32_t attempt = 0;
};

/// Reject the request: the client may safely retry it after `retry_after`, which is 0 if no delay
/// is advised. The answer is final.
struct Reject {
  RequestId id = 0;
  Duration retry_after{0};
};

/// Fail the request: it may have taken effect, and repeating it is not safe. The answer is final.
struct Fail {
  RequestId id = 0;
};

/// Ask an endpoint for a load report. The embedder reports a HealthCheckResult.
struct HealthCheck {
  EndpointId endpoint = 0;
};

/// Send a Timer event with this token at `at`, or as soon after it as the time step allows. Timers
/// cannot be cancelled, and several with the same token may be pending.
struct SetTimer {
  TimerToken token = 0;
  Time at{0};
};

/// Subscribe to discovery. The embedder then reports endpoint lists and failures as EndpointUpdate
/// events.
struct WatchEndpoints {};

using Action =
    std::variant<StartAttempt, Cancel, Reject, Fail, HealthCheck, SetTimer, WatchEndpoints>;

}  // namespace beechhill
