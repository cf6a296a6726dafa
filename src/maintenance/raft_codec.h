// Binary encoding of log entries and of raft configurations, used in records on disk and in
// messages. No field may change its position or size.
#pragma once

#include <cstddef>
#include <vector>

#include "base/byte_codec.h"
#include "maintenance/raft_storage.h"

namespace beechhill::maintenance {

/// Writes the entries without their number, which records and messages encode in different sizes.
void write_entries(base::ByteWriter& writer, const std::vector<LogEntry>& entries);
/// Reads `count` entries, or fewer if the input ends earlier.
std::vector<LogEntry> read_entries(base::ByteReader& reader, std::size_t count);

/// Writes the number of servers, at most 255, and then the servers.
void write_servers(base::ByteWriter& writer, const std::vector<RaftServer>& servers);
std::vector<RaftServer> read_servers(base::ByteReader& reader);

}  // namespace beechhill::maintenance
