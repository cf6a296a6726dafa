// What the decision module keeps of a request, from its arrival to its last outcome.
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
  std::uint32_t incarnation = 0;  // of the endpoint, when the attempt started
  std::uint32_t zone = 0;         // where the endpoint stood then: it may have moved since
  std::uint32_t cell = 0;
  Time started_at{0};
};

struct RequestState {
  Request request;
  Time queue_deadline{0};
  std::size_t level = 0;
  std::size_t queue = 0;
  int width = 1;  // what it weighs against the concurrency limit
  bool queued = false;
  bool answered = false;
  bool streaming = false;                   // the first byte of its answer has come
  bool silent = false;                      // in flight for so long that it may stay unanswered
  bool in_flight = false;                   // the last attempt has no outcome yet
  std::optional<std::size_t> maybe_ran_at;  // the first attempt that may have taken effect
  std::vector<Attempt> attempts;            // at most the last is in flight

  std::uint32_t last_attempt() const { return static_cast<std::uint32_t>(attempts.size() - 1); }
};

/// What a request's answer should take at most: the class's objective, stretched by the work that
/// the client announced, and never over the class's deadline.
inline Duration latency_objective(const ClassSettings& settings, const Request& request) {
  const double stretch_s =
      request.work_hint ? settings.latency_objective_work_factor * seconds(*request.work_hint) : 0;
  return std::min(settings.deadline, settings.latency_objective + from_seconds(stretch_s));
}

/// Never iterated where the order could show in an action.
using RequestTable = std::unordered_map<RequestId, RequestState>;

}  // namespace beechhill
