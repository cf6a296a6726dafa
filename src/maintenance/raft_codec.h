// Binary form of log entries and of a raft configuration, in records on disk and in messages alike.
// No field may change its place or size.
#pragma once

#include <cstddef>
#include <vector>

#include "base/byte_codec.h"
#include "maintenance/raft_storage.h"

namespace beechhill::maintenance {

/// Without their count, whose size differs between records and messages.
void write_entries(base::ByteWriter& writer, const std::vector<LogEntry>& entries);
/// Reads `count` entries, or as many as there are.
std::vector<LogEntry> read_entries(base::ByteReader& reader, std::size_t count);

/// With their count; at most 255.
void write_servers(base::ByteWriter& writer, const std::vector<RaftServer>& servers);
std::vector<RaftServer> read_servers(base::ByteReader& reader);

}  // namespace beechhill::maintenance
