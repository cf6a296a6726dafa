// Conversions between libraft's C structures and the types of this package. Structures made for
// libraft are allocated on libraft's heap and are freed by libraft.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

extern "C" {
#include <raft.h>
}

#include "maintenance/raft_messages.h"
#include "maintenance/raft_storage.h"

namespace beechhill::maintenance {

/// Returns the id that a server with this address has in libraft; never 0, which stands for no
/// server.
raft_id server_id(const std::string& address);

/// Copies `content` to libraft's heap. Throws std::bad_alloc.
raft_buffer make_buffer(std::string_view content);
std::string_view content_of(const raft_buffer& buffer);

/// Initializes `configuration` with the given servers.
void make_configuration(raft_configuration& configuration, const std::vector<RaftServer>& servers);
std::vector<RaftServer> servers_of(const raft_configuration& configuration);

/// Returns null for an empty vector. All entries share one batch, as libraft requires. Throws
/// std::bad_alloc.
raft_entry* make_entries(const std::vector<LogEntry>& entries);
std::vector<LogEntry> entries_of(const raft_entry* entries, unsigned count);

raft_snapshot* make_snapshot(const RaftSnapshot& snapshot);
RaftSnapshot snapshot_of(const raft_snapshot& snapshot);

/// Returns nullopt for message types that this version of the protocol does not have.
std::optional<RaftMessageBody> body_of(const raft_message& message);
/// Sets the type and the arguments of `message`. `body` must not be StorageRolledBack.
void make_message(raft_message& message, const RaftMessageBody& body);

}  // namespace beechhill::maintenance
