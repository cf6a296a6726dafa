#include "maintenance/raft_storage.h"

#include <algorithm>

#include "maintenance/raft_codec.h"

namespace beechhill::maintenance {

using base::ByteReader;
using base::ByteWriter;
using RecordType = LogRecord::RecordType;

namespace {

void write_snapshot(ByteWriter& writer, const RaftSnapshot& snapshot) {
  writer.number(snapshot.index).number(snapshot.term).number(snapshot.configuration_index);
  write_servers(writer, snapshot.servers);
  writer.blob(snapshot.data);
}

RaftSnapshot read_snapshot(ByteReader& reader) {
  RaftSnapshot snapshot;
  snapshot.index = reader.number<std::uint64_t>();
  snapshot.term = reader.number<std::uint64_t>();
  snapshot.configuration_index = reader.number<std::uint64_t>();
  snapshot.servers = read_servers(reader);
  snapshot.data = reader.blob();
  return snapshot;
}

}  // namespace

std::string encode(const LogRecord& record) {
  ByteWriter writer;
  writer.number(record.type).number(record.value);
  writer.number(static_cast<std::uint32_t>(record.entries.size()));
  write_entries(writer, record.entries);
  writer.number(record.snapshot.has_value());
  if (record.snapshot) {
    write_snapshot(writer, *record.snapshot);
  }
  return writer.bytes();
}

std::optional<LogRecord> decode_record(std::string_view bytes) {
  ByteReader reader(bytes);
  LogRecord record;
  record.type = reader.number<RecordType>();
  record.value = reader.number<std::uint64_t>();
  record.entries = read_entries(reader, reader.number<std::uint32_t>());
  if (reader.number<bool>()) {
    record.snapshot = read_snapshot(reader);
  }
  const bool is_snapshot = record.type == RecordType::kSnapshot;
  if (!reader.done() || record.type > RecordType::kSnapshot ||
      is_snapshot != record.snapshot.has_value()) {
    return std::nullopt;
  }
  return record;
}

void DurableState::apply(const LogRecord& record) {
  switch (record.type) {
    case RecordType::kTerm:
      term = record.value;
      vote = 0;
      break;
    case RecordType::kVote:
      vote = record.value;
      break;
    case RecordType::kAppend:
      if (entries.empty() && record.value > 0) {
        first_index = record.value;
      }
      entries.insert(entries.end(), record.entries.begin(), record.entries.end());
      break;
    case RecordType::kTruncate:
      if (record.value >= first_index && record.value - first_index < entries.size()) {
        entries.resize(record.value - first_index);
      }
      break;
    case RecordType::kSnapshot:
      if (record.snapshot) {
        apply_snapshot(*record.snapshot, record.value);
      }
      break;
  }
}

void DurableState::apply_snapshot(const RaftSnapshot& taken, std::uint64_t trailing_entries) {
  snapshot = taken;
  const bool replaces_log = trailing_entries == 0;
  const std::uint64_t end_index = first_index + entries.size();
  std::uint64_t keep_from = 1;
  if (replaces_log) {
    keep_from = end_index;
  } else if (taken.index >= trailing_entries) {
    keep_from = taken.index - trailing_entries + 1;
  }
  if (keep_from > first_index) {
    const auto removed = std::min<std::uint64_t>(keep_from - first_index, entries.size());
    entries.erase(entries.begin(), entries.begin() + static_cast<std::ptrdiff_t>(removed));
    first_index = replaces_log ? taken.index + 1 : keep_from;
  } else if (entries.empty()) {
    first_index = taken.index + 1;
  }
}

std::vector<LogRecord> DurableState::records() const {
  std::vector<LogRecord> all;
  all.push_back(LogRecord::set_term(term));
  if (vote != 0) {
    all.push_back(LogRecord::set_vote(vote));
  }
  if (snapshot) {
    all.push_back(LogRecord::take_snapshot(0, *snapshot));
  }
  if (!entries.empty()) {
    all.push_back(LogRecord::append(first_index, entries));
  }
  return all;
}

std::uint64_t MemoryRaftStorage::append(LogRecord record) {
  state_.apply(record);
  ++appended_;
  if (!lazy) {
    sync();
  }
  return appended_;
}

void MemoryRaftStorage::sync() {
  synced_ = state_;
  durable_ = appended_;
}

void MemoryRaftStorage::crash() {
  state_ = synced_;
  appended_ = durable_;
}

}  // namespace beechhill::maintenance
