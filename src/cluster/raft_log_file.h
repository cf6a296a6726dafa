// The format of the file in which a voter stores its Raft state.
//
// A file is a sequence of frames, each consisting of the payload size (4 bytes), an XXH64 checksum
// (8 bytes) and the payload. The first payload is a header with the voter's address and the number
// of records that precede those in the file. Every other payload is one LogRecord. Later versions
// must read the files of earlier ones.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "maintenance/raft_node.h"
#include "maintenance/raft_storage.h"

namespace beechhill::maintenance {

/// Maximum size of a file in bytes; a larger file is treated as damaged.
inline constexpr std::size_t kMaxRaftLogFileBytes = std::size_t{64} * 1024 * 1024;

/// Returns the encoded frame of one record, to be appended to the file.
std::string encode_frame(const LogRecord& record);
/// Returns the content of a complete file that holds `state` in as few records as possible.
std::string encode_file(const Voter& voter, const DurableState& state,
                        std::uint64_t appended_records);

/// The decoded content of a file.
struct RaftLogFile {
  Voter voter;
  DurableState state;
  /// Number of records appended since the storage was created, including those replaced by
  /// snapshots.
  std::uint64_t appended_records = 0;
  /// Size of the valid prefix. The bytes after it belong to a write that a crash interrupted.
  std::size_t valid_bytes = 0;
};

/// Decodes a complete file. Returns nothing if the file does not belong to the voter `name`, or if
/// a record before the last is damaged, because the voter may already have acted on that record. A
/// torn last record is ignored.
std::optional<RaftLogFile> decode_file(std::string_view bytes, const std::string& name);

}  // namespace beechhill::maintenance
