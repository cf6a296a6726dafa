// The messages of the membership protocol, and the rule for which of two updates about a member
// takes precedence.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace beechhill::membership {

/// Maximum number of members in a cluster, including this process.
inline constexpr std::size_t kMaxMembers = 2'000;
/// Maximum number of updates piggybacked on one message.
inline constexpr std::size_t kMaxUpdatesPerMessage = 12;
/// Maximum encoded size, in bytes, of the updates in one message, so that the message fits into one
/// datagram.
inline constexpr std::size_t kMaxUpdateBytes = 1'100;
/// Maximum size of a member's name in bytes.
inline constexpr std::size_t kMaxNameBytes = 48;

/// The state of a member. A dead member failed to answer probes; a member that left announced it.
/// Either may rejoin with a higher incarnation.
enum class MemberState : std::uint8_t { kAlive, kSuspect, kDead, kLeft };

/// The lower-case name of `state`, for logs and status pages.
const char* name(MemberState state);

/// Whether a member in `state` participates in the protocol, which means that it is alive or
/// suspect.
bool is_active(MemberState state);

/// A statement by one member about the state of another, or about its own.
struct MemberUpdate {
  std::string name;
  /// IPv4 address and port.
  std::string address;
  MemberState state = MemberState::kAlive;
  /// Incremented only by the member itself. The update with the higher incarnation takes
  /// precedence.
  std::uint32_t incarnation = 0;
  /// Drawn by a process at its start, so that a changed value indicates a restart.
  std::uint64_t boot_id = 0;
  /// Name of the member that raised or confirmed the suspicion; empty unless `state` is kSuspect.
  std::string suspected_by;

  bool operator==(const MemberUpdate&) const = default;
};

/// Whether `update` replaces `known`: it has a higher incarnation or, at equal incarnations, a
/// state later in MemberState.
bool supersedes(const MemberUpdate& update, const MemberUpdate& known);

/// The type of a message. The values are part of the wire format.
enum class MessageType : std::uint8_t {
  kPing,
  /// Asks the receiver to ping `subject` (an indirect probe).
  kPingRequest,
  kAck,
  /// Sent by the receiver of a ping request that got no ack from `subject` in time. It shows the
  /// requester that the requester itself is connected.
  kNack,
  /// Requests the members whose names sort after `subject`.
  kSyncRequest,
  /// One page of the member table. An empty page marks the end.
  kSyncResponse,
};

/// A protocol message, which always fits into one datagram.
struct Message {
  MessageType type = MessageType::kPing;
  /// Identifies the ping that the message belongs to; 0 for sync requests and responses.
  std::uint64_t sequence_number = 0;
  /// The member to be pinged, in a ping request and its ack or nack. In a sync request, the name
  /// after which the requested page starts. Otherwise empty.
  std::string subject;
  /// Digest of the sender's member table (see SwimNode::digest()).
  std::uint64_t digest = 0;
  std::vector<MemberUpdate> updates;
};

/// Whether `update` fits into the remaining space of `message`.
bool fits(const Message& message, const MemberUpdate& update);

/// A message to be sent, with its destination.
struct Outgoing {
  /// The destination's address.
  std::string to;
  Message message;
};

}  // namespace beechhill::membership
