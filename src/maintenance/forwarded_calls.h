// Operators' calls that this proxy has forwarded to the leader and that wait for its answer.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "beechhill/balancer.h"

namespace beechhill::maintenance {

struct OperatorResponse {
  bool accepted = false;
  /// Of a query, JSON; of a command, a reason code, empty where it was applied.
  std::string text;
};
using ResponseCallback = std::function<void(const OperatorResponse& response)>;

/// At most kMaxCalls at a time, each for kCallTimeout.
class ForwardedCalls {
 public:
  static constexpr std::size_t kMaxCalls = 32;
  static constexpr Duration kCallTimeout{2'000'000};

  bool full() const { return calls_.size() >= kMaxCalls; }
  /// Returns the number to tell the answer by. Must not be full.
  std::uint64_t add(Time now, ResponseCallback callback);
  /// Ignored where no call of that number waits.
  void complete(std::uint64_t number, const OperatorResponse& response);
  /// Answers those that have waited too long with kNoAnswer.
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
