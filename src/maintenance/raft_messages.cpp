#include "maintenance/raft_messages.h"

#include <algorithm>

#include "maintenance/raft_codec.h"

namespace beechhill::maintenance {

using base::ByteReader;
using base::ByteWriter;

namespace {

template <typename>
struct MessageTypeOf;
template <>
struct MessageTypeOf<AppendEntries> {
  static constexpr auto kType = RaftMessageType::kAppendEntries;
};
template <>
struct MessageTypeOf<AppendEntriesResult> {
  static constexpr auto kType = RaftMessageType::kAppendEntriesResult;
};
template <>
struct MessageTypeOf<RequestVote> {
  static constexpr auto kType = RaftMessageType::kRequestVote;
};
template <>
struct MessageTypeOf<RequestVoteResult> {
  static constexpr auto kType = RaftMessageType::kRequestVoteResult;
};
template <>
struct MessageTypeOf<InstallSnapshot> {
  static constexpr auto kType = RaftMessageType::kInstallSnapshot;
};
template <>
struct MessageTypeOf<TimeoutNow> {
  static constexpr auto kType = RaftMessageType::kTimeoutNow;
};
template <>
struct MessageTypeOf<StorageRolledBack> {
  static constexpr auto kType = RaftMessageType::kStorageRolledBack;
};

void write(ByteWriter& writer, const AppendEntries& message) {
  writer.number(message.term)
      .number(message.prev_log_index)
      .number(message.prev_log_term)
      .number(message.leader_commit)
      .number(static_cast<std::uint16_t>(message.entries.size()));
  write_entries(writer, message.entries);
}

void read(ByteReader& reader, AppendEntries& message) {
  message.term = reader.number<std::uint64_t>();
  message.prev_log_index = reader.number<std::uint64_t>();
  message.prev_log_term = reader.number<std::uint64_t>();
  message.leader_commit = reader.number<std::uint64_t>();
  message.entries = read_entries(reader, reader.number<std::uint16_t>());
}

void write(ByteWriter& writer, const AppendEntriesResult& message) {
  writer.number(message.term).number(message.rejected).number(message.last_log_index);
}

void read(ByteReader& reader, AppendEntriesResult& message) {
  message.term = reader.number<std::uint64_t>();
  message.rejected = reader.number<std::uint64_t>();
  message.last_log_index = reader.number<std::uint64_t>();
}

void write(ByteWriter& writer, const RequestVote& message) {
  writer.number(message.term)
      .number(message.candidate_id)
      .number(message.last_log_index)
      .number(message.last_log_term)
      .number(message.disrupt_leader)
      .number(message.pre_vote);
}

void read(ByteReader& reader, RequestVote& message) {
  message.term = reader.number<std::uint64_t>();
  message.candidate_id = reader.number<std::uint64_t>();
  message.last_log_index = reader.number<std::uint64_t>();
  message.last_log_term = reader.number<std::uint64_t>();
  message.disrupt_leader = reader.number<bool>();
  message.pre_vote = reader.number<bool>();
}

void write(ByteWriter& writer, const RequestVoteResult& message) {
  writer.number(message.term).number(message.vote_granted).number(message.pre_vote);
}

void read(ByteReader& reader, RequestVoteResult& message) {
  message.term = reader.number<std::uint64_t>();
  message.vote_granted = reader.number<bool>();
  message.pre_vote =
      std::min(reader.number<RequestVoteResult::PreVote>(), RequestVoteResult::PreVote::kFalse);
}

void write(ByteWriter& writer, const InstallSnapshot& message) {
  writer.number(message.term)
      .number(message.last_index)
      .number(message.last_term)
      .number(message.configuration_index);
  write_servers(writer, message.servers);
  writer.blob(message.data);
}

void read(ByteReader& reader, InstallSnapshot& message) {
  message.term = reader.number<std::uint64_t>();
  message.last_index = reader.number<std::uint64_t>();
  message.last_term = reader.number<std::uint64_t>();
  message.configuration_index = reader.number<std::uint64_t>();
  message.servers = read_servers(reader);
  message.data = reader.blob();
}

void write(ByteWriter& writer, const TimeoutNow& message) {
  writer.number(message.term).number(message.last_log_index).number(message.last_log_term);
}

void read(ByteReader& reader, TimeoutNow& message) {
  message.term = reader.number<std::uint64_t>();
  message.last_log_index = reader.number<std::uint64_t>();
  message.last_log_term = reader.number<std::uint64_t>();
}

void write(ByteWriter&, const StorageRolledBack&) {
}

void read(ByteReader& reader, StorageRolledBack&) {
  // Ignores fields that a later version may append.
  reader.rest();
}

template <typename Message>
std::optional<RaftMessageBody> decode_as(ByteReader& reader) {
  Message message;
  read(reader, message);
  return reader.done() ? std::optional<RaftMessageBody>(std::move(message)) : std::nullopt;
}

std::optional<RaftMessageBody> decode_append_entries(ByteReader& reader) {
  auto body = decode_as<AppendEntries>(reader);
  if (body && std::get<AppendEntries>(*body).entries.size() > kMaxEntriesPerMessage) {
    return std::nullopt;
  }
  return body;
}

}  // namespace

RaftMessageType type_of(const RaftMessageBody& body) {
  return std::visit(
      [](const auto& message) { return MessageTypeOf<std::decay_t<decltype(message)>>::kType; },
      body);
}

std::string encode(const RaftMessageHeader& header, const RaftMessageBody& body) {
  ByteWriter writer;
  writer.text(header.from).text(header.to).number(header.appended_records).number(type_of(body));
  std::visit([&writer](const auto& message) { write(writer, message); }, body);
  return writer.bytes();
}

std::optional<RaftMessageHeader> decode_raft_header(ByteReader& reader) {
  RaftMessageHeader header;
  header.from = reader.text(kMaxVoterAddressBytes);
  header.to = reader.text(kMaxVoterAddressBytes);
  header.appended_records = reader.number<std::uint64_t>();
  header.type = reader.number<RaftMessageType>();
  return reader.ok() ? std::optional(std::move(header)) : std::nullopt;
}

std::optional<RaftMessageBody> decode_raft_body(RaftMessageType type, ByteReader& reader) {
  switch (type) {
    case RaftMessageType::kNone:
      break;
    case RaftMessageType::kAppendEntries:
      return decode_append_entries(reader);
    case RaftMessageType::kAppendEntriesResult:
      return decode_as<AppendEntriesResult>(reader);
    case RaftMessageType::kRequestVote:
      return decode_as<RequestVote>(reader);
    case RaftMessageType::kRequestVoteResult:
      return decode_as<RequestVoteResult>(reader);
    case RaftMessageType::kInstallSnapshot:
      return decode_as<InstallSnapshot>(reader);
    case RaftMessageType::kTimeoutNow:
      return decode_as<TimeoutNow>(reader);
    case RaftMessageType::kStorageRolledBack:
      return decode_as<StorageRolledBack>(reader);
  }
  return std::nullopt;
}

}  // namespace beechhill::maintenance
