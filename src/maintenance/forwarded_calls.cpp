#include "maintenance/forwarded_calls.h"

#include <utility>
#include <vector>

#include "maintenance/command_result.h"

namespace beechhill::maintenance {

std::uint64_t ForwardedCalls::add(Time now, ResponseCallback callback) {
  const std::uint64_t number = next_number_++;
  calls_[number] = {std::move(callback), now + kCallTimeout};
  return number;
}

void ForwardedCalls::complete(std::uint64_t number, const OperatorResponse& response) {
  const auto call = calls_.extract(number);
  if (!call.empty()) {
    call.mapped().callback(response);
  }
}

void ForwardedCalls::expire(Time now) {
  // Callbacks may add calls, so they run after the map has been updated.
  std::vector<ResponseCallback> expired;
  std::erase_if(calls_, [&](auto& entry) {
    if (now < entry.second.deadline) {
      return false;
    }
    expired.push_back(std::move(entry.second.callback));
    return true;
  });
  for (const ResponseCallback& callback : expired) {
    callback({false, to_string(CommandResult::kNoAnswer)});
  }
}

}  // namespace beechhill::maintenance
