// Commands of the replicated log, from operators and from the leader, and their binary form.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "maintenance/maintenance_model.h"

namespace beechhill::maintenance {

/// Stored and sent as a number: new types go to the end.
enum class CommandType : std::uint8_t {
  // Operators'.
  kSubmitRequest,
  kApproveRequest,
  kHoldRequest,
  kResumeRequest,
  kCancelRequest,
  kCompleteWork,
  /// That proxy is off for good, or sends nothing: its confirmation is not waited for.
  kForgetProxy,
  // The leader's.
  kSetDisruptionBudget,
  kUpdateObservations,
  kAdvanceTime,
  kAddProxy,
  kRemoveProxy,
  kAnnounceDrain,
  kStartDrain,
  kConfirmDrained,
  kMarkOut,
  /// The machine is warm again: its workflow is over.
  kMarkWarming,
  /// Ends a workflow before the machine is out; it is tried again later.
  kCallBack,
};

/// Whether operators may send it.
constexpr bool is_operator_command(CommandType type) {
  return type <= CommandType::kForgetProxy;
}

/// One entry of the log. Which fields count depends on the type; the others are empty.
struct Command {
  CommandType type = CommandType::kUpdateObservations;
  Seconds issued_at = 0;
  /// Of a request.
  std::string id;
  std::string machine;
  std::string proxy;
  std::string issued_by;
  FencingToken fencing_token = 0;
  std::optional<Request> request;
  std::optional<DisruptionBudget> disruption_budget;

  // Of kUpdateObservations.
  /// New or changed since the last such command.
  std::vector<Machine> machines;
  /// Ids that are not listed any more.
  std::set<std::string> removed_machines;
  /// Of each zone's capacity, from 0 to 1.
  std::map<std::string, double> zone_utilization;
  /// Empty: none.
  std::string incident;
};

/// Machines are written in the order of their ids, each id once.
std::string encode(const Command& command);
/// Nothing where the bytes are not a whole command or exceed a bound.
std::optional<Command> decode(std::string_view bytes);

}  // namespace beechhill::maintenance
