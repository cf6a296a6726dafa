#include "maintenance/raft_storage.h"

#include <algorithm>

#include "base/byte_codec.h"

namespace beechhill::maintenance {

using base::ByteReader;
using base::ByteWriter;

namespace {

constexpr std::size_t kLongestAddress = 80;

}  // namespace

std::string encode(const LogRecord& record) {
  ByteWriter w;
  w.number(record.type)
      .number(record.value)
      .number(static_cast<std::uint32_t>(record.entries.size()));
  for (const LogEntry& e : record.entries) {
    w.number(e.term).number(e.type).blob(e.data);
  }
  w.number(record.snapshot.has_value());
  if (record.snapshot) {
    const RaftSnapshot& k = *record.snapshot;
    w.number(k.index)
        .number(k.term)
        .number(k.configuration_index)
        .number(static_cast<std::uint8_t>(k.servers.size()));
    for (const RaftServer& s : k.servers) {
      w.text(s.address).number(static_cast<std::uint8_t>(s.role));
    }
    w.blob(k.data);
  }
  return w.bytes();
}

std::optional<LogRecord> decode_record(std::string_view bytes) {
  ByteReader r(bytes);
  LogRecord record;
  record.type = r.number<LogRecord::RecordType>();
  record.value = r.number<std::uint64_t>();
  for (auto n = r.number<std::uint32_t>(); n > 0 && r.ok(); --n) {
    LogEntry& e = record.entries.emplace_back();
    e.term = r.number<std::uint64_t>(), e.type = r.number<std::uint16_t>();
    e.data = r.blob();
  }
  if (r.number<bool>()) {
    RaftSnapshot& k = record.snapshot.emplace();
    k.index = r.number<std::uint64_t>(), k.term = r.number<std::uint64_t>(),
    k.configuration_index = r.number<std::uint64_t>();
    for (auto n = r.number<std::uint8_t>(); n > 0 && r.ok(); --n) {
      RaftServer& s = k.servers.emplace_back();
      s.address = r.text(kLongestAddress);
      s.role = r.number<std::uint8_t>();
    }
    k.data = r.blob();
  }
  if (!r.done() || record.type > LogRecord::RecordType::kSnapshot ||
      (record.type == LogRecord::RecordType::kSnapshot) != record.snapshot.has_value()) {
    return std::nullopt;
  }
  return record;
}

void DurableState::apply(const LogRecord& r) {
  switch (r.type) {
    case LogRecord::RecordType::kTerm:
      term = r.value, vote = 0;
      break;
    case LogRecord::RecordType::kVote:
      vote = r.value;
      break;
    case LogRecord::RecordType::kAppend:
      if (entries.empty() && r.value > 0) {
        first_index = r.value;
      }
      entries.insert(entries.end(), r.entries.begin(), r.entries.end());
      break;
    case LogRecord::RecordType::kTruncate:
      if (r.value >= first_index && r.value - first_index < entries.size()) {
        entries.resize(r.value - first_index);
      }
      break;
    case LogRecord::RecordType::kSnapshot: {
      snapshot = r.snapshot;
      const std::uint64_t last = first_index + entries.size() - 1;
      // With nothing to trail it replaces the log; else only what is older than so many entries
      // before it goes.
      const std::uint64_t keep_from = r.value == 0                 ? last + 1
                                      : snapshot->index >= r.value ? snapshot->index - r.value + 1
                                                                   : 1;
      if (keep_from > first_index) {
        entries.erase(entries.begin(),
                      entries.begin() + static_cast<std::ptrdiff_t>(std::min<std::uint64_t>(
                                            keep_from - first_index, entries.size())));
        first_index = r.value == 0 ? snapshot->index + 1 : keep_from;
      } else if (entries.empty()) {
        first_index = snapshot->index + 1;
      }
      break;
    }
  }
}

std::vector<LogRecord> DurableState::records() const {
  std::vector<LogRecord> all;
  all.push_back({LogRecord::RecordType::kTerm, term, {}, {}});
  if (vote != 0) {
    all.push_back({LogRecord::RecordType::kVote, vote, {}, {}});
  }
  if (snapshot) {
    all.push_back({LogRecord::RecordType::kSnapshot, 0, {}, snapshot});
  }
  if (!entries.empty()) {
    all.push_back({LogRecord::RecordType::kAppend, first_index, entries, {}});
  }
  return all;
}

std::uint64_t MemoryRaftStorage::append(LogRecord record) {
  image_.apply(record);
  ++written_;
  if (!lazy) {
    sync();
  }
  return written_;
}

}  // namespace beechhill::maintenance
