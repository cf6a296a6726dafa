// Results of commands submitted to the voters, and their reason codes.
#pragma once

#include <cstdint>
#include <string_view>

namespace beechhill::maintenance {

/// Result of a command. The values up to kUndecodable are returned by
/// MaintenanceStateMachine::apply(); the later ones mean that the command was not applied, or that
/// its outcome is unknown.
enum class CommandResult : std::uint8_t {
  kApplied,
  /// The state already has what the command asks for.
  kNothingToChange,
  kNoRequest,
  kIdIsTaken,
  kTooManyRequests,
  kTooManyProxies,
  kUnknownRequest,
  kUnknownProxy,
  /// The request, the machine or the type of the command is unknown.
  kUnknown,
  kEnded,
  /// The disruption budget or another precondition forbids the drain.
  kBudgetExceeded,
  /// The command belongs to an earlier workflow of the machine, or the machine has no workflow.
  kOtherWorkflow,
  kOtherState,
  kOtherRequest,
  kPaused,
  /// This version cannot decode the log entry.
  kUndecodable,

  kNotLeader,
  /// The leader changed before the outcome was known: the command may have been applied or not.
  kLost,
  /// This proxy knows no leader, the leader is not ready yet, or too many calls are being
  /// forwarded.
  kNoLeader,
  /// The leader did not answer within ForwardedCalls::kCallTimeout.
  kNoAnswer,
};

/// Returns the reason code that is used on the wire and in operators' output, a string literal;
/// empty for kApplied.
const char* to_string(CommandResult result);

/// Whether an operator may send a command again after this reason code: the command was rejected
/// for a temporary reason, or its outcome is unknown.
bool is_retryable(std::string_view reason_code);

}  // namespace beechhill::maintenance
