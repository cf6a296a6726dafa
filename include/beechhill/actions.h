// What a balancer asks its embedder to do.
#pragma once

#include <cstdint>
#include <variant>

#include "beechhill/types.h"

namespace beechhill {

/// Send the request. The attempt lasts until its Outcome; it has no timeout short of the client's.
struct StartAttempt {
  RequestId id = 0;
  EndpointId endpoint = 0;
};

/// Give up an attempt. Its Outcome still comes.
struct Cancel {
  RequestId id = 0;
  std::uint32_t attempt = 0;
};

/// Final: the client may safely retry, after `retry_after`; 0 where none is advised.
struct Reject {
  RequestId id = 0;
  Duration retry_after{0};
};

/// Final: the request may have taken effect, and repeating it is not safe.
struct Fail {
  RequestId id = 0;
};

/// Ask an endpoint for a load report. A HealthCheckResult follows.
struct HealthCheck {
  EndpointId endpoint = 0;
};

/// Send a Timer event with this token at `at`, or as soon after as the time step allows. A timer is
/// not cancelled: one more with the same token may follow.
struct SetTimer {
  TimerToken token = 0;
  Time at{0};
};

/// Subscribe to discovery. An EndpointUpdate follows.
struct WatchEndpoints {};

using Action =
    std::variant<StartAttempt, Cancel, Reject, Fail, HealthCheck, SetTimer, WatchEndpoints>;

}  // namespace beechhill
