// Messages between voters and their encoding: those of the raft paper with the extensions of
// libraft (pre-vote, leadership transfer), and StorageRolledBack. Proxies of different versions
// exchange these messages: no field may change its position or size.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "base/byte_codec.h"
#include "maintenance/raft_storage.h"

namespace beechhill::maintenance {

/// Maximum number of entries in one message. Further entries are sent in later messages.
inline constexpr std::size_t kMaxEntriesPerMessage = 64;

/// Message types as encoded on the wire; values up to kTimeoutNow are those of libraft.
enum class RaftMessageType : std::uint8_t {
  /// Not used by any message.
  kNone = 0,
  kAppendEntries = 1,
  kAppendEntriesResult = 2,
  kRequestVote = 3,
  kRequestVoteResult = 4,
  kInstallSnapshot = 5,
  kTimeoutNow = 6,
  kStorageRolledBack = 200,
};

struct AppendEntries {
  std::uint64_t term = 0;
  std::uint64_t prev_log_index = 0;
  std::uint64_t prev_log_term = 0;
  std::uint64_t leader_commit = 0;
  /// At most kMaxEntriesPerMessage entries.
  std::vector<LogEntry> entries;
};

struct AppendEntriesResult {
  std::uint64_t term = 0;
  /// Index of the rejected entry; 0 if none was rejected.
  std::uint64_t rejected = 0;
  std::uint64_t last_log_index = 0;
};

struct RequestVote {
  std::uint64_t term = 0;
  std::uint64_t candidate_id = 0;
  std::uint64_t last_log_index = 0;
  std::uint64_t last_log_term = 0;
  bool disrupt_leader = false;
  bool pre_vote = false;
};

struct RequestVoteResult {
  /// Whether this is the answer to a pre-vote; values are those of libraft.
  enum class PreVote : std::uint8_t { kUnknown, kTrue, kFalse };

  std::uint64_t term = 0;
  bool vote_granted = false;
  PreVote pre_vote = PreVote::kUnknown;
};

struct InstallSnapshot {
  std::uint64_t term = 0;
  std::uint64_t last_index = 0;
  std::uint64_t last_term = 0;
  std::uint64_t configuration_index = 0;
  std::vector<RaftServer> servers;
  std::string data;
};

struct TimeoutNow {
  std::uint64_t term = 0;
  std::uint64_t last_log_index = 0;
  std::uint64_t last_log_term = 0;
};

/// Notifies the receiver that the sender has seen more records of the receiver's storage than that
/// storage has now. The message's header holds the number of records seen.
struct StorageRolledBack {};

using RaftMessageBody =
    std::variant<AppendEntries, AppendEntriesResult, RequestVote, RequestVoteResult,
                 InstallSnapshot, TimeoutNow, StorageRolledBack>;

struct RaftMessageHeader {
  /// Addresses of the form "name#generation".
  std::string from;
  std::string to;
  /// Number of records ever appended to the sender's storage. In StorageRolledBack, the number of
  /// records that the sender has seen of the receiver's storage.
  std::uint64_t appended_records = 0;
  /// May be a type that this version does not know.
  RaftMessageType type = RaftMessageType::kAppendEntries;
};

RaftMessageType type_of(const RaftMessageBody& body);

/// Takes the message type from the body, not from the header.
std::string encode(const RaftMessageHeader& header, const RaftMessageBody& body);

/// Reads the header and leaves `reader` at the start of the body. Returns nullopt if the header is
/// incomplete.
std::optional<RaftMessageHeader> decode_raft_header(base::ByteReader& reader);
/// Reads the rest of the message. Returns nullopt if that is not exactly one body of the given
/// type.
std::optional<RaftMessageBody> decode_raft_body(RaftMessageType type, base::ByteReader& reader);

}  // namespace beechhill::maintenance
