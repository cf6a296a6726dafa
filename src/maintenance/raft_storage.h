// What a voter must not forget: its term, its vote, the log and the last snapshot. As an image that
// records change one by one, a storage that keeps these records, and one of memory for the
// emulator.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace beechhill::maintenance {

struct RaftServer {     // of the voters' configuration
  std::string address;  // "name#generation"
  int role = 0;         // as the library's
  bool operator==(const RaftServer&) const = default;
};

struct LogEntry {
  std::uint64_t term = 0;
  std::uint16_t type = 0;
  std::string data;
};

struct RaftSnapshot {  // a snapshot
  std::uint64_t index = 0, term = 0, configuration_index = 0;
  std::vector<RaftServer> servers;
  std::string data;
};

struct LogRecord {
  enum class RecordType : std::uint8_t {
    kTerm,
    kVote,
    kAppend,
    kTruncate,
    kSnapshot
  } type = RecordType::kTerm;
  // The term, the vote, the index of the first entry (0: it follows), the one to truncate from, or
  // how many entries trail a snapshot.
  std::uint64_t value = 0;
  std::vector<LogEntry> entries;
  std::optional<RaftSnapshot> snapshot;
};
std::string encode(const LogRecord& record);
std::optional<LogRecord> decode_record(std::string_view bytes);

struct DurableState {
  std::uint64_t term = 0, vote = 0, first_index = 1;  // `first`: the index of the first entry
  std::vector<LogEntry> entries;
  std::optional<RaftSnapshot> snapshot;
  void apply(const LogRecord& record);
  std::vector<LogRecord> records() const;  // that make it anew
};

class RaftStorage {
 public:
  virtual ~RaftStorage() = default;
  // As loaded, and then with all that was written, durable or not.
  virtual const DurableState& state() const = 0;
  // Takes it, and returns at once. The number of records written so far, over all lives of this
  // storage.
  virtual std::uint64_t append(LogRecord record) = 0;
  virtual std::uint64_t appended_records() const = 0;
  // So many of them are on the disk.
  virtual std::uint64_t durable_records() = 0;
  // It could not write: nothing that was not durable may be relied on, and nothing more will be.
  virtual bool failed() = 0;
};

class MemoryRaftStorage : public RaftStorage {
 public:
  const DurableState& state() const override { return image_; }
  std::uint64_t append(LogRecord record) override;
  std::uint64_t appended_records() const override { return written_; }
  std::uint64_t durable_records() override { return durable_; }
  bool failed() override { return failed_; }

  // The emulator's: a disk that syncs when it is told to, forgets what it has not, fails, or goes
  // back.
  bool lazy = false;
  void sync() { synced_ = image_, durable_ = written_; }
  void crash() { image_ = synced_, written_ = durable_; }
  void fail() { failed_ = true; }

 private:
  DurableState image_, synced_;
  std::uint64_t written_ = 0, durable_ = 0;
  bool failed_ = false;
};

}  // namespace beechhill::maintenance
