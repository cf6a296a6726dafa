#include "maintenance/raft_codec.h"

namespace beechhill::maintenance {

using base::ByteReader;
using base::ByteWriter;

void write_entries(ByteWriter& writer, const std::vector<LogEntry>& entries) {
  for (const LogEntry& entry : entries) {
    writer.number(entry.term).number(entry.type).blob(entry.data);
  }
}

std::vector<LogEntry> read_entries(ByteReader& reader, std::size_t count) {
  std::vector<LogEntry> entries;
  for (; count > 0 && reader.ok(); --count) {
    LogEntry& entry = entries.emplace_back();
    entry.term = reader.number<std::uint64_t>();
    entry.type = reader.number<std::uint16_t>();
    entry.data = reader.blob();
  }
  return entries;
}

void write_servers(ByteWriter& writer, const std::vector<RaftServer>& servers) {
  writer.number(static_cast<std::uint8_t>(servers.size()));
  for (const RaftServer& server : servers) {
    writer.text(server.address).number(static_cast<std::uint8_t>(server.role));
  }
}

std::vector<RaftServer> read_servers(ByteReader& reader) {
  std::vector<RaftServer> servers;
  for (auto left = reader.number<std::uint8_t>(); left > 0 && reader.ok(); --left) {
    RaftServer& server = servers.emplace_back();
    server.address = reader.text(kMaxVoterAddressBytes);
    server.role = reader.number<std::uint8_t>();
  }
  return servers;
}

}  // namespace beechhill::maintenance
