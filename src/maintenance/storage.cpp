#include "maintenance/storage.h"

#include <algorithm>

#include "membership/bytes.h"

namespace beechhill::maintenance {

using membership::Reader;
using membership::Writer;

namespace {

constexpr std::size_t kLongestAddress = 80;

}  // namespace

std::string encode(const Record& record) {
  Writer w;
  w.number(record.what)
      .number(record.number)
      .number(static_cast<std::uint32_t>(record.entries.size()));
  for (const Entry& e : record.entries) {
    w.number(e.term).number(e.type).blob(e.data);
  }
  w.number(record.kept.has_value());
  if (record.kept) {
    const Kept& k = *record.kept;
    w.number(k.index)
        .number(k.term)
        .number(k.servers_index)
        .number(static_cast<std::uint8_t>(k.servers.size()));
    for (const Server& s : k.servers) {
      w.text(s.address).number(static_cast<std::uint8_t>(s.role));
    }
    w.blob(k.data);
  }
  return w.bytes();
}

std::optional<Record> decode_record(std::string_view bytes) {
  Reader r(bytes);
  Record record;
  record.what = r.number<Record::What>();
  record.number = r.number<std::uint64_t>();
  for (auto n = r.number<std::uint32_t>(); n > 0 && r.ok(); --n) {
    Entry& e = record.entries.emplace_back();
    e.term = r.number<std::uint64_t>(), e.type = r.number<std::uint16_t>();
    e.data = r.blob();
  }
  if (r.number<bool>()) {
    Kept& k = record.kept.emplace();
    k.index = r.number<std::uint64_t>(), k.term = r.number<std::uint64_t>(),
    k.servers_index = r.number<std::uint64_t>();
    for (auto n = r.number<std::uint8_t>(); n > 0 && r.ok(); --n) {
      Server& s = k.servers.emplace_back();
      s.address = r.text(kLongestAddress);
      s.role = r.number<std::uint8_t>();
    }
    k.data = r.blob();
  }
  if (!r.done() || record.what > Record::What::kSnapshot ||
      (record.what == Record::What::kSnapshot) != record.kept.has_value()) {
    return std::nullopt;
  }
  return record;
}

void Image::apply(const Record& r) {
  switch (r.what) {
    case Record::What::kTerm:
      term = r.number, vote = 0;
      break;
    case Record::What::kVote:
      vote = r.number;
      break;
    case Record::What::kAppend:
      if (entries.empty() && r.number > 0) {
        first = r.number;
      }
      entries.insert(entries.end(), r.entries.begin(), r.entries.end());
      break;
    case Record::What::kTruncate:
      if (r.number >= first && r.number - first < entries.size()) {
        entries.resize(r.number - first);
      }
      break;
    case Record::What::kSnapshot: {
      kept = r.kept;
      const std::uint64_t last = first + entries.size() - 1;
      // With nothing to trail it replaces the log; else only what is older than so many entries
      // before it goes.
      const std::uint64_t keep_from = r.number == 0             ? last + 1
                                      : kept->index >= r.number ? kept->index - r.number + 1
                                                                : 1;
      if (keep_from > first) {
        entries.erase(entries.begin(),
                      entries.begin() + static_cast<std::ptrdiff_t>(std::min<std::uint64_t>(
                                            keep_from - first, entries.size())));
        first = r.number == 0 ? kept->index + 1 : keep_from;
      } else if (entries.empty()) {
        first = kept->index + 1;
      }
      break;
    }
  }
}

std::vector<Record> Image::records() const {
  std::vector<Record> all;
  all.push_back({Record::What::kTerm, term, {}, {}});
  if (vote != 0) {
    all.push_back({Record::What::kVote, vote, {}, {}});
  }
  if (kept) {
    all.push_back({Record::What::kSnapshot, 0, {}, kept});
  }
  if (!entries.empty()) {
    all.push_back({Record::What::kAppend, first, entries, {}});
  }
  return all;
}

std::uint64_t MemoryStorage::write(Record record) {
  image_.apply(record);
  ++written_;
  if (!lazy) {
    sync();
  }
  return written_;
}

}  // namespace beechhill::maintenance
