// The messages of the membership protocol, and the order among updates about one member.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace beechhill::membership {

/// Members in a cluster, this process included.
inline constexpr std::size_t kMaxMembers = 2'000;
/// Updates that are piggybacked on one message.
inline constexpr std::size_t kMaxUpdatesPerMessage = 12;
/// Encoded bytes of the updates of one message, so that it fits into one datagram.
inline constexpr std::size_t kMaxUpdateBytes = 1'100;
/// Bytes of a member's name.
inline constexpr std::size_t kMaxNameBytes = 48;

/// The state of a member. A dead member failed to answer; one that left announced it. Either may
/// rejoin with a higher incarnation.
enum class MemberState : std::uint8_t { kAlive, kSuspect, kDead, kLeft };

/// The lower-case name of `state`, for logs and status pages.
const char* name(MemberState state);

/// Whether a member in `state` takes part in the protocol: it is alive or suspect.
bool is_active(MemberState state);

/// What one member claims about another, or about itself.
struct MemberUpdate {
  std::string name;
  /// IPv4 address and port.
  std::string address;
  MemberState state = MemberState::kAlive;
  /// Incremented by the member itself alone. Of two updates the one with the higher number holds.
  std::uint32_t incarnation = 0;
  /// Drawn by a process at its start: a different one means that the member restarted.
  std::uint64_t boot_id = 0;
  /// Of a suspicion: the member that raised or confirmed it.
  std::string suspected_by;

  bool operator==(const MemberUpdate&) const = default;
};

/// Whether `update` replaces `known`: by a higher incarnation or, within one, by a worse state.
bool supersedes(const MemberUpdate& update, const MemberUpdate& known);

/// The type of a message; its value goes on the wire.
enum class MessageType : std::uint8_t {
  kPing,
  /// Asks the receiver to ping `subject`: an indirect probe.
  kPingRequest,
  kAck,
  /// The receiver of a ping request got no ack from `subject` in time, but is reachable itself.
  kNack,
  /// Asks for the members whose names sort after `subject`.
  kSyncRequest,
  /// A page of the member table. An empty page is the last one.
  kSyncResponse,
};

/// A message of the protocol. Each one fits into one datagram.
struct Message {
  MessageType type = MessageType::kPing;
  /// Of the ping that the message is part of; 0 for anti-entropy syncs.
  std::uint64_t sequence_number = 0;
  /// The member that a ping request is about, or the name after which a sync page starts.
  std::string subject;
  /// The sender's SwimNode::digest().
  std::uint64_t digest = 0;
  std::vector<MemberUpdate> updates;
};

/// Whether `update` still fits into `message`.
bool fits(const Message& message, const MemberUpdate& update);

/// A message to be sent.
struct Outgoing {
  /// The destination's address.
  std::string to;
  Message message;
};

}  // namespace beechhill::membership
