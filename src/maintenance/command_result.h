// What became of a command that was given to the voters, and its text for operators.
#pragma once

#include <cstdint>
#include <string_view>

namespace beechhill::maintenance {

/// Results of MaintenanceStateMachine::apply(), and below those the ones of a command that was
/// never applied.
enum class CommandResult : std::uint8_t {
  kApplied,
  /// The state is already as the command would have it.
  kNothingToChange,
  kNoRequest,
  kIdIsTaken,
  kTooManyRequests,
  kTooManyProxies,
  kUnknownRequest,
  kUnknownProxy,
  /// Neither that request nor that machine, or no such command.
  kUnknown,
  kEnded,
  /// The disruption budget forbids it.
  kBudgetExceeded,
  /// Of another workflow of that machine than the current one.
  kOtherWorkflow,
  kOtherState,
  kOtherRequest,
  kPaused,
  /// An entry of the log that this version cannot decode.
  kUndecodable,

  kNotLeader,
  /// The leader changed meanwhile: it may be applied or not.
  kLost,
  /// No leader is known here.
  kNoLeader,
  /// The leader did not answer in time.
  kNoAnswer,
};

/// The reason code on the wire and in operators' output, a string literal; empty for kApplied.
const char* to_string(CommandResult result);

/// Whether the command was not decided on, by its reason code: an operator may send it again.
bool is_retryable(std::string_view reason_code);

}  // namespace beechhill::maintenance
