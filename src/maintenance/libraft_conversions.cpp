#include "maintenance/libraft_conversions.h"

#include <algorithm>
#include <cstring>
#include <new>
#include <type_traits>

namespace beechhill::maintenance {
namespace {

static_assert(static_cast<int>(RaftMessageType::kAppendEntries) == RAFT_IO_APPEND_ENTRIES);
static_assert(static_cast<int>(RaftMessageType::kAppendEntriesResult) ==
              RAFT_IO_APPEND_ENTRIES_RESULT);
static_assert(static_cast<int>(RaftMessageType::kRequestVote) == RAFT_IO_REQUEST_VOTE);
static_assert(static_cast<int>(RaftMessageType::kRequestVoteResult) == RAFT_IO_REQUEST_VOTE_RESULT);
static_assert(static_cast<int>(RaftMessageType::kInstallSnapshot) == RAFT_IO_INSTALL_SNAPSHOT);
static_assert(static_cast<int>(RaftMessageType::kTimeoutNow) == RAFT_IO_TIMEOUT_NOW);
static_assert(static_cast<int>(RequestVoteResult::PreVote::kTrue) == raft_tribool_true);
static_assert(static_cast<int>(RequestVoteResult::PreVote::kFalse) == raft_tribool_false);

template <typename T>
T* allocate(std::size_t count) {
  auto* const memory = static_cast<T*>(raft_calloc(count, sizeof(T)));
  if (memory == nullptr) {
    throw std::bad_alloc();
  }
  return memory;
}

AppendEntries from_libraft(const raft_append_entries& arguments) {
  const unsigned count = std::min<unsigned>(arguments.n_entries, kMaxEntriesPerMessage);
  return {arguments.term, arguments.prev_log_index, arguments.prev_log_term,
          arguments.leader_commit, entries_of(arguments.entries, count)};
}

AppendEntriesResult from_libraft(const raft_append_entries_result& arguments) {
  return {arguments.term, arguments.rejected, arguments.last_log_index};
}

RequestVote from_libraft(const raft_request_vote& arguments) {
  return {arguments.term,          arguments.candidate_id,   arguments.last_log_index,
          arguments.last_log_term, arguments.disrupt_leader, arguments.pre_vote};
}

RequestVoteResult from_libraft(const raft_request_vote_result& arguments) {
  return {arguments.term, arguments.vote_granted,
          static_cast<RequestVoteResult::PreVote>(arguments.pre_vote)};
}

InstallSnapshot from_libraft(const raft_install_snapshot& arguments) {
  return {
      arguments.term,       arguments.last_index,       arguments.last_term,
      arguments.conf_index, servers_of(arguments.conf), std::string(content_of(arguments.data))};
}

TimeoutNow from_libraft(const raft_timeout_now& arguments) {
  return {arguments.term, arguments.last_log_index, arguments.last_log_term};
}

void to_libraft(const AppendEntries& body, raft_message& message) {
  raft_append_entries& arguments = message.append_entries;
  arguments.term = body.term;
  arguments.prev_log_index = body.prev_log_index;
  arguments.prev_log_term = body.prev_log_term;
  arguments.leader_commit = body.leader_commit;
  arguments.entries = make_entries(body.entries);
  arguments.n_entries = static_cast<unsigned>(body.entries.size());
}

void to_libraft(const AppendEntriesResult& body, raft_message& message) {
  raft_append_entries_result& arguments = message.append_entries_result;
  arguments.term = body.term;
  arguments.rejected = body.rejected;
  arguments.last_log_index = body.last_log_index;
}

void to_libraft(const RequestVote& body, raft_message& message) {
  raft_request_vote& arguments = message.request_vote;
  arguments.term = body.term;
  arguments.candidate_id = body.candidate_id;
  arguments.last_log_index = body.last_log_index;
  arguments.last_log_term = body.last_log_term;
  arguments.disrupt_leader = body.disrupt_leader;
  arguments.pre_vote = body.pre_vote;
}

void to_libraft(const RequestVoteResult& body, raft_message& message) {
  raft_request_vote_result& arguments = message.request_vote_result;
  arguments.term = body.term;
  arguments.vote_granted = body.vote_granted;
  arguments.pre_vote = static_cast<raft_tribool>(body.pre_vote);
}

void to_libraft(const InstallSnapshot& body, raft_message& message) {
  raft_install_snapshot& arguments = message.install_snapshot;
  arguments.term = body.term;
  arguments.last_index = body.last_index;
  arguments.last_term = body.last_term;
  arguments.conf_index = body.configuration_index;
  make_configuration(arguments.conf, body.servers);
  arguments.data = make_buffer(body.data);
}

void to_libraft(const TimeoutNow& body, raft_message& message) {
  raft_timeout_now& arguments = message.timeout_now;
  arguments.term = body.term;
  arguments.last_log_index = body.last_log_index;
  arguments.last_log_term = body.last_log_term;
}

// Needed by std::visit, but never called, because StorageRolledBack is not a message of libraft.
void to_libraft(const StorageRolledBack&, raft_message&) {
}

}  // namespace

raft_id server_id(const std::string& address) {
  return raft_digest(address.c_str(), 0) >> 1 | 1;
}

raft_buffer make_buffer(std::string_view content) {
  const raft_buffer buffer{raft_malloc(std::max<std::size_t>(1, content.size())), content.size()};
  if (buffer.base == nullptr) {
    throw std::bad_alloc();
  }
  std::memcpy(buffer.base, content.data(), content.size());
  return buffer;
}

std::string_view content_of(const raft_buffer& buffer) {
  return {static_cast<const char*>(buffer.base), buffer.len};
}

void make_configuration(raft_configuration& configuration, const std::vector<RaftServer>& servers) {
  raft_configuration_init(&configuration);
  for (const RaftServer& server : servers) {
    raft_configuration_add(&configuration, server_id(server.address), server.address.c_str(),
                           server.role);
  }
}

std::vector<RaftServer> servers_of(const raft_configuration& configuration) {
  std::vector<RaftServer> servers;
  servers.reserve(configuration.n);
  for (unsigned i = 0; i < configuration.n; ++i) {
    servers.push_back({configuration.servers[i].address, configuration.servers[i].role});
  }
  return servers;
}

raft_entry* make_entries(const std::vector<LogEntry>& entries) {
  if (entries.empty()) {
    return nullptr;
  }
  std::size_t batch_bytes = 1;
  for (const LogEntry& entry : entries) {
    batch_bytes += entry.data.size();
  }
  auto* const made = allocate<raft_entry>(entries.size());
  char* const batch = allocate<char>(batch_bytes);
  char* position = batch;
  for (std::size_t i = 0; i < entries.size(); ++i) {
    const LogEntry& entry = entries[i];
    std::copy(entry.data.begin(), entry.data.end(), position);
    made[i] = {entry.term, entry.type, {position, entry.data.size()}, batch};
    position += entry.data.size();
  }
  return made;
}

std::vector<LogEntry> entries_of(const raft_entry* entries, unsigned count) {
  std::vector<LogEntry> copies;
  copies.reserve(count);
  for (unsigned i = 0; i < count; ++i) {
    copies.push_back({entries[i].term, entries[i].type, std::string(content_of(entries[i].buf))});
  }
  return copies;
}

raft_snapshot* make_snapshot(const RaftSnapshot& snapshot) {
  auto* const made = allocate<raft_snapshot>(1);
  made->index = snapshot.index;
  made->term = snapshot.term;
  made->configuration_index = snapshot.configuration_index;
  make_configuration(made->configuration, snapshot.servers);
  made->bufs = allocate<raft_buffer>(1);
  made->bufs[0] = make_buffer(snapshot.data);
  made->n_bufs = 1;
  return made;
}

RaftSnapshot snapshot_of(const raft_snapshot& snapshot) {
  RaftSnapshot copy{snapshot.index,
                    snapshot.term,
                    snapshot.configuration_index,
                    servers_of(snapshot.configuration),
                    {}};
  for (unsigned i = 0; i < snapshot.n_bufs; ++i) {
    copy.data += content_of(snapshot.bufs[i]);
  }
  return copy;
}

std::optional<RaftMessageBody> body_of(const raft_message& message) {
  switch (message.type) {
    case RAFT_IO_APPEND_ENTRIES:
      return from_libraft(message.append_entries);
    case RAFT_IO_APPEND_ENTRIES_RESULT:
      return from_libraft(message.append_entries_result);
    case RAFT_IO_REQUEST_VOTE:
      return from_libraft(message.request_vote);
    case RAFT_IO_REQUEST_VOTE_RESULT:
      return from_libraft(message.request_vote_result);
    case RAFT_IO_INSTALL_SNAPSHOT:
      return from_libraft(message.install_snapshot);
    case RAFT_IO_TIMEOUT_NOW:
      return from_libraft(message.timeout_now);
    default:
      return std::nullopt;
  }
}

void make_message(raft_message& message, const RaftMessageBody& body) {
  message.type = static_cast<unsigned short>(type_of(body));
  std::visit([&message](const auto& arguments) { to_libraft(arguments, message); }, body);
}

}  // namespace beechhill::maintenance
