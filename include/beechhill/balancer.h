// The decision module: which endpoint gets a request, whether it is sent again, what is rejected.
//
// It does no I/O and reads no clock: events go in, actions come out. This header includes the whole
// interface.
#pragma once

#include <cstddef>
#include <memory>
#include <vector>

#include "beechhill/actions.h"
#include "beechhill/events.h"
#include "beechhill/settings.h"
#include "beechhill/types.h"

namespace beechhill {

/// One load balancer. Equal settings and events give equal actions.
///
/// Not thread-safe: all calls come from one thread at a time. Times must not decrease from call to
/// call. Owns all that it keeps; refers to no argument after a call.
class Balancer {
 public:
  /// Starts at `now` and appends the first actions. Throws what validate() throws.
  Balancer(Time now, Settings settings, std::vector<Action>& actions);
  ~Balancer();

  /// Takes one event that happened at `now` and appends the actions to carry out, in order. Events
  /// of requests or attempts that are over are ignored. O(endpoints) for up to 64 endpoints;
  /// beyond, a request is O(1) but for a survey of all in a tenth as many requests as there are
  /// endpoints.
  void handle(Time now, const Event& event, std::vector<Action>& actions);

  struct EndpointCounts {
    std::size_t listed = 0;
    /// Of those listed, how many get nothing new at the moment, whatever the load.
    std::size_t avoided = 0;
  };
  /// O(endpoints).
  EndpointCounts endpoint_counts(Time now) const;

  /// What is known of an endpoint's incarnation, to pass on as RestoredStats. Empty for an id that
  /// was never named. O(1).
  EndpointStats endpoint_stats(EndpointId id) const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace beechhill
