// State of a request in the decision module, from its arrival to its last outcome.
#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "balancer/state/units.h"
#include "beechhill/events.h"
#include "beechhill/settings.h"

namespace beechhill {

struct Attempt {
  EndpointId endpoint = 0;
  /// The endpoint's incarnation and location when the attempt started; the endpoint may move later.
  std::uint32_t incarnation = 0;
  std::uint32_t zone = 0;
  std::uint32_t cell = 0;
  Time started_at{0};
};

struct RequestState {
  Request request;
  Time queue_deadline{0};
  std::size_t level = 0;
  std::size_t queue = 0;
  int width = 1;  // weight of the request in the concurrency limit
  bool queued = false;
  bool answered = false;
  bool streaming = false;  // the first byte of its response was sent
  bool silent = false;     // has been in flight unusually long without an outcome
  bool in_flight = false;  // the last attempt has no outcome yet
  /// Index of the first attempt that may have taken effect.
  std::optional<std::size_t> maybe_ran_at;
  std::vector<Attempt> attempts;  // only the last one can be in flight

  std::uint32_t last_attempt() const { return static_cast<std::uint32_t>(attempts.size() - 1); }
};

/// Returns the latency objective of a request: that of its class, extended for the work that the
/// client announced, and at most the deadline of the class.
inline Duration latency_objective(const ClassSettings& settings, const Request& request) {
  const double stretch_s =
      request.work_hint ? settings.latency_objective_work_factor * seconds(*request.work_hint) : 0;
  return std::min(settings.deadline, settings.latency_objective + from_seconds(stretch_s));
}

/// Unordered: must not be iterated where the order could affect the actions.
using RequestTable = std::unordered_map<RequestId, RequestState>;

}  // namespace beechhill
