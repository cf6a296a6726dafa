// Operators' calls that this proxy has forwarded to the leader and that are waiting for its answer.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "beechhill/balancer.h"

namespace beechhill::maintenance {

struct OperatorResponse {
  bool accepted = false;
  /// For a query, the JSON answer; for a command, the reason code, empty if it was applied.
  std::string text;
};
using ResponseCallback = std::function<void(const OperatorResponse& response)>;

/// Holds the calls that wait for an answer: at most kMaxCalls, each for at most kCallTimeout.
class ForwardedCalls {
 public:
  static constexpr std::size_t kMaxCalls = 32;
  static constexpr Duration kCallTimeout{2'000'000};

  bool full() const { return calls_.size() >= kMaxCalls; }
  /// Adds a call and returns its number, which the answer repeats. Must not be called when full().
  std::uint64_t add(Time now, ResponseCallback callback);
  /// Removes the call with this number and runs its callback. Has no effect if there is no such
  /// call.
  void complete(std::uint64_t number, const OperatorResponse& response);
  /// Removes the calls that have waited for kCallTimeout and answers them with kNoAnswer.
  void expire(Time now);

 private:
  struct Call {
    ResponseCallback callback;
    Time deadline{0};
  };
  std::uint64_t next_number_ = 1;
  std::map<std::uint64_t, Call> calls_;
};

}  // namespace beechhill::maintenance
