// The file that a voter's storage keeps: its format, and writing it so that it survives a crash.
//
// A file is a sequence of frames: a size (4 bytes), an XXH64 checksum (8 bytes) and the payload.
// The first payload tells whose file it is and how many records came before those that follow; each
// of the others is one LogRecord. Later versions read the files of earlier ones.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "maintenance/raft_node.h"
#include "maintenance/raft_storage.h"

namespace beechhill::maintenance {

/// Larger files are not read.
inline constexpr std::size_t kMaxRaftLogFileBytes = std::size_t{64} * 1024 * 1024;

/// A record as it is appended to the file.
std::string encode_frame(const LogRecord& record);
/// A whole file that holds `state` in as few records as possible.
std::string encode_file(const Voter& voter, const DurableState& state,
                        std::uint64_t appended_records);

struct RaftLogFile {
  Voter voter;
  DurableState state;
  /// Since the storage was created, those that snapshots replaced included.
  std::uint64_t appended_records = 0;
  /// What follows them was being written at a crash.
  std::size_t valid_bytes = 0;
};

/// Nothing where the file is not that of the voter `name`, or is damaged before its end: what the
/// damaged record held may have been relied on. A torn last record is no damage.
std::optional<RaftLogFile> decode_file(std::string_view bytes, const std::string& name);

}  // namespace beechhill::maintenance
