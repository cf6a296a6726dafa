// What a voter must not forget: its term, its vote, the log and the last snapshot. As records of
// each change with their binary form, the state that they add up to, the interface of a storage for
// them, and a storage in memory for simulations.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace beechhill::maintenance {

/// Longest "name#generation", in bytes.
inline constexpr std::size_t kMaxVoterAddressBytes = 80;

/// A member of the raft configuration.
struct RaftServer {
  /// "name#generation".
  std::string address;
  /// As libraft numbers it: RAFT_STANDBY, RAFT_VOTER or RAFT_SPARE.
  int role = 0;
  bool operator==(const RaftServer&) const = default;
};

struct LogEntry {
  std::uint64_t term = 0;
  /// As libraft numbers it.
  std::uint16_t type = 0;
  std::string data;
  bool operator==(const LogEntry&) const = default;
};

struct RaftSnapshot {
  /// Of the last entry that it replaces.
  std::uint64_t index = 0;
  std::uint64_t term = 0;
  /// Of the entry that made the configuration.
  std::uint64_t configuration_index = 0;
  std::vector<RaftServer> servers;
  std::string data;
};

/// One change of the durable state.
struct LogRecord {
  /// Stored as a number.
  enum class RecordType : std::uint8_t { kTerm, kVote, kAppend, kTruncate, kSnapshot };

  RecordType type = RecordType::kTerm;
  /// kTerm: the term. kVote: id of the candidate. kAppend: index of the first entry, 0 for the next
  /// one. kTruncate: index of the first entry to remove. kSnapshot: how many entries before its
  /// index to keep; 0 removes the whole log.
  std::uint64_t value = 0;
  std::vector<LogEntry> entries;
  std::optional<RaftSnapshot> snapshot;

  static LogRecord set_term(std::uint64_t term) { return {RecordType::kTerm, term, {}, {}}; }
  static LogRecord set_vote(std::uint64_t candidate) {
    return {RecordType::kVote, candidate, {}, {}};
  }
  static LogRecord append(std::uint64_t first_index, std::vector<LogEntry> entries) {
    return {RecordType::kAppend, first_index, std::move(entries), {}};
  }
  static LogRecord truncate(std::uint64_t from_index) {
    return {RecordType::kTruncate, from_index, {}, {}};
  }
  static LogRecord take_snapshot(std::uint64_t trailing_entries, RaftSnapshot snapshot) {
    return {RecordType::kSnapshot, trailing_entries, {}, std::move(snapshot)};
  }
};

std::string encode(const LogRecord& record);
/// Nothing where the bytes are not one whole record.
std::optional<LogRecord> decode_record(std::string_view bytes);

/// The state that the records so far add up to.
struct DurableState {
  std::uint64_t term = 0;
  /// Id of the candidate that it voted for in this term; 0: none.
  std::uint64_t vote = 0;
  /// Of entries.front(), or of the entry that will be the first.
  std::uint64_t first_index = 1;
  std::vector<LogEntry> entries;
  std::optional<RaftSnapshot> snapshot;

  void apply(const LogRecord& record);
  /// The shortest sequence of records that adds up to this state.
  std::vector<LogRecord> records() const;

 private:
  void apply_snapshot(const RaftSnapshot& taken, std::uint64_t trailing_entries);
};

/// Where a voter's records go. Its user calls it from one thread.
class RaftStorage {
 public:
  virtual ~RaftStorage() = default;
  /// As loaded, with everything that was appended since, durable or not.
  virtual const DurableState& state() const = 0;
  /// Accepts the record without waiting for the disk. Returns appended_records().
  virtual std::uint64_t append(LogRecord record) = 0;
  /// Records appended since this storage was created, by all processes that had it.
  virtual std::uint64_t appended_records() const = 0;
  /// How many of these would survive a crash now.
  virtual std::uint64_t durable_records() = 0;
  /// Whether it could not write. It never becomes more durable after that.
  virtual bool failed() = 0;
};

/// A storage in memory whose crashes and failures a simulation decides.
class MemoryRaftStorage : public RaftStorage {
 public:
  const DurableState& state() const override { return state_; }
  std::uint64_t append(LogRecord record) override;
  std::uint64_t appended_records() const override { return appended_; }
  std::uint64_t durable_records() override { return durable_; }
  bool failed() override { return failed_; }

  /// Whether records become durable only by sync().
  bool lazy = false;
  void sync();
  /// Forgets what is not durable.
  void crash();
  void fail() { failed_ = true; }

 private:
  DurableState state_;
  DurableState synced_;
  std::uint64_t appended_ = 0;
  std::uint64_t durable_ = 0;
  bool failed_ = false;
};

}  // namespace beechhill::maintenance
