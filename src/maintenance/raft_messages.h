// The messages between voters, as types and as bytes. All but the last are those of the raft paper
// with the extensions of libraft (pre-vote, leadership transfer). Proxies of different versions
// exchange them: no field may change its place or size.
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

/// More entries do not go into one message; the receiver asks for what follows.
inline constexpr std::size_t kMaxEntriesPerMessage = 64;

/// On the wire; up to kTimeoutNow as libraft numbers them.
enum class RaftMessageType : std::uint8_t {
  /// Of no message.
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
  /// At most kMaxEntriesPerMessage.
  std::vector<LogEntry> entries;
};

struct AppendEntriesResult {
  std::uint64_t term = 0;
  /// Index that was rejected; 0: none.
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
  /// Whether the vote that this answers was a pre-vote, as libraft numbers it.
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

/// The sender has seen more records of the receiver's storage than it has now: the header's count
/// says how many.
struct StorageRolledBack {};

using RaftMessageBody =
    std::variant<AppendEntries, AppendEntriesResult, RequestVote, RequestVoteResult,
                 InstallSnapshot, TimeoutNow, StorageRolledBack>;

struct RaftMessageHeader {
  /// "name#generation" of each.
  std::string from;
  std::string to;
  /// Records that the sender's storage has had so far; in StorageRolledBack, the receiver's.
  std::uint64_t appended_records = 0;
  /// May be unknown here.
  RaftMessageType type = RaftMessageType::kAppendEntries;
};

RaftMessageType type_of(const RaftMessageBody& body);

/// The header's type is taken from the body.
std::string encode(const RaftMessageHeader& header, const RaftMessageBody& body);

/// Reads the header and leaves `reader` at the body. Nothing where there is no whole header.
std::optional<RaftMessageHeader> decode_raft_header(base::ByteReader& reader);
/// Reads the rest. Nothing where it is not one whole body of that type.
std::optional<RaftMessageBody> decode_raft_body(RaftMessageType type, base::ByteReader& reader);

}  // namespace beechhill::maintenance
