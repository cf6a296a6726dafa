// Messages between proxies other than those of raft, and their encoding. Proxies of different
// versions exchange these messages: no field may change its position or size.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "maintenance/maintenance_commands.h"
#include "maintenance/maintenance_model.h"

namespace beechhill::maintenance {

/// Maximum number of zones whose utilization one message carries.
inline constexpr std::size_t kMaxReportedZones = 64;
inline constexpr std::size_t kMaxDrainConfirmations = 1'000;
/// Maximum size of the answer to a query; longer answers are truncated.
inline constexpr std::size_t kMaxQueryResultBytes = std::size_t{64} * 1024;

/// Message types as encoded on the wire: values must not change.
enum class CoordinationMessageType : std::uint8_t {
  /// Not used by any message.
  kNone,
  kLeaseRequest,
  kLeaseGrant,
  kNotLeader,
  kLeadershipCheck,
  kLeadershipConfirmation,
  kSubmit,
  kSubmitResult,
  kQuery,
  kQueryResult,
  kReadmission,
};

/// States that the sender has no requests in flight to `machine`, whose workflow has this token.
struct DrainConfirmation {
  std::string machine;
  FencingToken fencing_token = 0;
};

/// Sent by a proxy to the leader to request a lease and to report its state.
struct LeaseRequest {
  /// Request number, repeated in the answer.
  std::uint64_t number = 0;
  /// Identifies the process among those that run under the same proxy name.
  std::uint64_t boot_id = 0;
  /// LeaseGrant::applied_index of the last lease that the proxy received; 0 if there was none.
  LogIndex acknowledged_index = 0;
  std::string zone;
  bool has_discovery_update = false;
  bool is_idle = false;
  bool is_shutting_down = false;
  /// The proxy is a voter that has no usable storage.
  bool has_lost_storage = false;
  /// Numbers of requests since the process started.
  std::uint64_t served_requests = 0;
  std::uint64_t unserved_requests = 0;
  /// Utilization by zone, from 0 to 1, sent in whole millionths; at most kMaxReportedZones zones.
  std::map<std::string, double> zone_utilization;
  /// At most kMaxDrainConfirmations entries.
  std::vector<DrainConfirmation> drained;
};

/// The leader's answer to a LeaseRequest.
struct LeaseGrant {
  std::uint64_t number = 0;
  /// Log index of the state from which the permissions were derived.
  LogIndex applied_index = 0;
  DispatchPermissionMap backend_permissions;
  DispatchPermissionMap proxy_permissions;
};

/// Answer to a LeaseRequest by a proxy that is not the leader.
struct NotLeader {
  std::uint64_t number = 0;
  /// Name of the leader; empty if unknown.
  std::string leader;
};

/// Sent by the leader to the other voters to check that they are still in its term.
struct LeadershipCheck {
  std::uint64_t term = 0;
  std::uint64_t round = 0;
};

/// Answer to a LeadershipCheck by a voter that is in the same term. Repeats the check's values.
struct LeadershipConfirmation {
  std::uint64_t term = 0;
  std::uint64_t round = 0;
};

/// An operator's command, forwarded to the leader.
struct Submit {
  /// Call number, repeated in the answer.
  std::uint64_t number = 0;
  Command command;
};

struct SubmitResult {
  std::uint64_t number = 0;
  bool accepted = false;
  /// Reason code; empty if the command was applied.
  std::string reason;
};

/// An operator's query, forwarded to the leader.
struct Query {
  /// Call number, repeated in the answer.
  std::uint64_t number = 0;
  /// Id of the request to report on; empty for all requests.
  std::string request;
};

struct QueryResult {
  std::uint64_t number = 0;
  bool accepted = false;
  /// JSON, or a reason code if not accepted; at most kMaxQueryResultBytes.
  std::string text;
};

/// Sent by the leader to a voter that has lost its storage. Gives the generation for which that
/// voter must create a new storage.
struct Readmission {
  std::uint32_t generation = 0;
};

using CoordinationMessage =
    std::variant<LeaseRequest, LeaseGrant, NotLeader, LeadershipCheck, LeadershipConfirmation,
                 Submit, SubmitResult, Query, QueryResult, Readmission>;

std::string encode(const CoordinationMessage& message);
/// Returns nullopt if the bytes are not a valid message of a known type.
std::optional<CoordinationMessage> decode_coordination_message(std::string_view bytes);

}  // namespace beechhill::maintenance
