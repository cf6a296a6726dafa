// The decision module: selects endpoints, and decides on retries and rejections.
//
// The module performs no I/O and reads no clock: it receives events and returns actions. This
// header includes its whole public interface.
#pragma once

#include <cstddef>
#include <memory>
#include <vector>

#include "beechhill/actions.h"
#include "beechhill/events.h"
#include "beechhill/settings.h"
#include "beechhill/types.h"

namespace beechhill {

/// One load balancer. It is deterministic: equal settings and events give equal actions.
///
/// Not thread-safe: the caller must serialize all calls. Times must not decrease from call to call.
/// The balancer owns its data and keeps no reference to an argument after a call returns.
class Balancer {
 public:
  /// Starts at `now` and appends the first actions. Throws what validate(settings) throws.
  Balancer(Time now, Settings settings, std::vector<Action>& actions);
  ~Balancer();

  /// Handles one event that happened at `now` and appends the actions to carry out, in order.
  /// Ignores events of requests or attempts that have ended. A call is O(endpoints) while at most
  /// 64 endpoints are up. With more, a request is O(1), apart from retries that are safe only at
  /// some endpoints, and from a pass over all endpoints once per (endpoints / 10) requests.
  void handle(Time now, const Event& event, std::vector<Action>& actions);

  struct EndpointCounts {
    /// Number of endpoints in the endpoint list.
    std::size_t listed = 0;
    /// Number of listed endpoints that receive no new requests: they are draining, excluded by an
    /// operator, or have just rejected an attempt as overloaded.
    std::size_t unavailable = 0;
  };
  /// Counts endpoints at `now`. O(endpoints).
  EndpointCounts endpoint_counts(Time now) const;

  /// Returns statistics of the endpoint's current incarnation, which a later process can restore
  /// with RestoredStats. They are empty for an id that no event has named. O(1).
  EndpointStats endpoint_stats(EndpointId id) const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace beechhill
