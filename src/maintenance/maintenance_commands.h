// Commands of the replicated log, submitted by operators and by the leader, and their encoding.
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

/// Stored and sent as a number: values must not change, and new types must be appended at the end.
enum class CommandType : std::uint8_t {
  // Commands of operators.
  kSubmitRequest,
  kApproveRequest,
  kHoldRequest,
  kResumeRequest,
  kCancelRequest,
  kCompleteWork,
  /// Declares that a proxy is shut down for good or cannot be reached, so that drains do not wait
  /// for its confirmation.
  kForgetProxy,
  // Commands of the leader.
  kSetDisruptionBudget,
  kUpdateObservations,
  kAdvanceTime,
  kAddProxy,
  kRemoveProxy,
  kAnnounceDrain,
  kStartDrain,
  kConfirmDrained,
  kMarkOut,
  /// Ends the workflow of a machine that is warm again.
  kCompleteWorkflow,
  /// Ends a workflow before the machine is out of service; the drain is retried later.
  kAbortDrain,
};

/// Whether operators may submit commands of this type.
constexpr bool is_operator_command(CommandType type) {
  return type <= CommandType::kForgetProxy;
}

/// One entry of the replicated log. The type determines which fields are used; the others are
/// empty.
struct Command {
  CommandType type = CommandType::kUpdateObservations;
  Seconds issued_at = 0;
  /// Id of a request.
  std::string id;
  std::string machine;
  std::string proxy;
  std::string issued_by;
  FencingToken fencing_token = 0;
  std::optional<Request> request;
  std::optional<DisruptionBudget> disruption_budget;

  // The following fields belong to kUpdateObservations.
  /// Machines that are new or changed since the last such command.
  std::vector<Machine> machines;
  /// Ids of machines that are no longer listed.
  std::set<std::string> removed_machines;
  /// Utilization of each zone's capacity, from 0 to 1.
  std::map<std::string, double> zone_utilization;
  /// Name and figures of the current incident; empty if there is none.
  std::string incident;
};

/// Encodes the machines in order of their ids, each id once.
std::string encode(const Command& command);
/// Returns nullopt if the bytes are not one complete command or exceed a limit.
std::optional<Command> decode(std::string_view bytes);

}  // namespace beechhill::maintenance
