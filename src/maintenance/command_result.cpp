#include "maintenance/command_result.h"

#include <algorithm>
#include <array>

namespace beechhill::maintenance {

const char* to_string(CommandResult result) {
  static constexpr std::array<const char*, 20> kNames{
      "",
      "nothing_to_change",
      "no_request",
      "id_is_taken",
      "too_many_requests",
      "too_many_proxies",
      "unknown_request",
      "unknown_proxy",
      "unknown",
      "ended",
      "bound",
      "other_course",
      "other_step",
      "other_request",
      "paused",
      "not_read",
      "not_leader",
      "lost",
      "no_leader",
      "no_answer",
  };
  return kNames.at(static_cast<std::size_t>(result));
}

bool is_retryable(std::string_view reason_code) {
  static constexpr std::array kRetryable{CommandResult::kNotLeader, CommandResult::kLost,
                                         CommandResult::kNoLeader, CommandResult::kNoAnswer};
  return std::any_of(kRetryable.begin(), kRetryable.end(), [reason_code](CommandResult result) {
    return reason_code == to_string(result);
  });
}

}  // namespace beechhill::maintenance
