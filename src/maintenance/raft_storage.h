// Durable state of a voter: its term, its vote, the log and the last snapshot. Defines the records
// of changes and their encoding, the state that results from them, the storage interface, and a
// storage in memory for simulations.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace beechhill::maintenance {

/// Maximum size of an address "name#generation", in bytes.
inline constexpr std::size_t kMaxVoterAddressBytes = 80;

/// A member of the raft configuration.
struct RaftServer {
  /// Address of the form "name#generation".
  std::string address;
  /// Role as numbered by libraft: RAFT_STANDBY, RAFT_VOTER or RAFT_SPARE.
  int role = 0;
  bool operator==(const RaftServer&) const = default;
};

struct LogEntry {
  std::uint64_t term = 0;
  /// Entry type as numbered by libraft.
  std::uint16_t type = 0;
  std::string data;
  bool operator==(const LogEntry&) const = default;
};

struct RaftSnapshot {
  /// Index of the last entry that the snapshot replaces.
  std::uint64_t index = 0;
  std::uint64_t term = 0;
  /// Index of the log entry that holds the configuration `servers`.
  std::uint64_t configuration_index = 0;
  std::vector<RaftServer> servers;
  std::string data;
};

/// One change of the durable state, as it is stored.
struct LogRecord {
  /// Stored as a number: values must not change.
  enum class RecordType : std::uint8_t { kTerm, kVote, kAppend, kTruncate, kSnapshot };

  RecordType type = RecordType::kTerm;
  /// kTerm: the term. kVote: id of the candidate. kAppend: index of the first entry; 0 appends
  /// after the last one. kTruncate: index of the first entry to remove. kSnapshot: number of
  /// entries to keep up to the snapshot's index; 0 removes the whole log.
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
/// Returns nullopt if the bytes are not exactly one record.
std::optional<LogRecord> decode_record(std::string_view bytes);

/// The state that results from applying all records.
struct DurableState {
  std::uint64_t term = 0;
  /// Id of the candidate voted for in this term; 0 if none.
  std::uint64_t vote = 0;
  /// Index of entries.front(), or of the next entry if there are none.
  std::uint64_t first_index = 1;
  std::vector<LogEntry> entries;
  std::optional<RaftSnapshot> snapshot;

  void apply(const LogRecord& record);
  /// Returns the shortest sequence of records that produces this state.
  std::vector<LogRecord> records() const;

 private:
  void apply_snapshot(const RaftSnapshot& taken, std::uint64_t trailing_entries);
};

/// Stores a voter's records. All functions must be called from the same thread.
class RaftStorage {
 public:
  virtual ~RaftStorage() = default;
  /// State that results from all appended records, whether durable or not.
  virtual const DurableState& state() const = 0;
  /// Appends the record without waiting for the disk. Returns appended_records().
  virtual std::uint64_t append(LogRecord record) = 0;
  /// Number of records ever appended to this storage, by all processes that have used it.
  virtual std::uint64_t appended_records() const = 0;
  /// Number of records that would survive a crash now.
  virtual std::uint64_t durable_records() = 0;
  /// Whether a write has failed. No further records become durable after that.
  virtual bool failed() = 0;
};

/// Storage in memory whose crashes and failures are triggered by a simulation.
class MemoryRaftStorage : public RaftStorage {
 public:
  const DurableState& state() const override { return state_; }
  std::uint64_t append(LogRecord record) override;
  std::uint64_t appended_records() const override { return appended_; }
  std::uint64_t durable_records() override { return durable_; }
  bool failed() override { return failed_; }

  /// If set, records become durable only when sync() is called.
  bool lazy = false;
  void sync();
  /// Discards all records that are not durable.
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
