// The messages between proxies beside those of raft, as types and as bytes. Proxies of different
// versions exchange them: no field may change its place or size.
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

/// Zones whose utilization goes into one message.
inline constexpr std::size_t kMaxReportedZones = 64;
inline constexpr std::size_t kMaxDrainConfirmations = 1'000;
/// Of the answer to a query.
inline constexpr std::size_t kMaxQueryResultBytes = std::size_t{64} * 1024;

/// On the wire.
enum class CoordinationMessageType : std::uint8_t {
  /// Of no message.
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

/// The sender has nothing in flight to the machine under that workflow.
struct DrainConfirmation {
  std::string machine;
  FencingToken fencing_token = 0;
};

/// From a proxy to the leader: asks for a lease, and reports.
struct LeaseRequest {
  /// Of the request, to tell its answer by.
  std::uint64_t number = 0;
  /// Differs between processes of one name.
  std::uint64_t boot_id = 0;
  /// Of the state that the proxy holds.
  LogIndex acknowledged_index = 0;
  std::string zone;
  bool has_discovery_update = false;
  bool is_idle = false;
  bool is_shutting_down = false;
  /// The proxy is a voter that has no usable storage.
  bool has_lost_storage = false;
  std::uint64_t served_requests = 0;
  std::uint64_t unserved_requests = 0;
  /// Sent in whole millionths; of at most kMaxReportedZones.
  std::map<std::string, double> zone_utilization;
  /// At most kMaxDrainConfirmations.
  std::vector<DrainConfirmation> drained;
};

/// The leader's answer to a LeaseRequest.
struct LeaseGrant {
  std::uint64_t number = 0;
  /// Of the state that the permissions are from.
  LogIndex applied_index = 0;
  DispatchPermissionMap backend_permissions;
  DispatchPermissionMap proxy_permissions;
};

/// Answer to a LeaseRequest by a proxy that does not lead.
struct NotLeader {
  std::uint64_t number = 0;
  /// Empty: not known.
  std::string leader;
};

/// From the leader to the other voters: whether they are still in its term.
struct LeadershipCheck {
  std::uint64_t term = 0;
  std::uint64_t round = 0;
};

struct LeadershipConfirmation {
  std::uint64_t term = 0;
  std::uint64_t round = 0;
};

/// An operator's command, forwarded to the leader.
struct Submit {
  std::uint64_t number = 0;
  Command command;
};

struct SubmitResult {
  std::uint64_t number = 0;
  bool accepted = false;
  /// A reason code.
  std::string reason;
};

/// An operator's query, forwarded to the leader.
struct Query {
  std::uint64_t number = 0;
  /// Id of a request; empty: of all.
  std::string request;
};

struct QueryResult {
  std::uint64_t number = 0;
  bool accepted = false;
  /// JSON, or a reason code. Cut off after kMaxQueryResultBytes.
  std::string text;
};

/// From the leader to a voter that has lost its storage: the generation as which it is to create a
/// new one.
struct Readmission {
  std::uint32_t generation = 0;
};

using CoordinationMessage =
    std::variant<LeaseRequest, LeaseGrant, NotLeader, LeadershipCheck, LeadershipConfirmation,
                 Submit, SubmitResult, Query, QueryResult, Readmission>;

std::string encode(const CoordinationMessage& message);
/// Nothing where the bytes are no message of a known type.
std::optional<CoordinationMessage> decode_coordination_message(std::string_view bytes);

}  // namespace beechhill::maintenance
