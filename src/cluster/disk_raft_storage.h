// Stores a voter's Raft state in one file on a durable disk.
#pragma once

#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

#include "cluster/raft_log_writer.h"
#include "maintenance/raft_node.h"
#include "maintenance/raft_storage.h"
#include "net/socket.h"

namespace beechhill::maintenance {

/// Thrown if the storage cannot be used: its directory is not accessible, another process has
/// locked it, or the file to be created exists already.
class RaftStorageError : public std::runtime_error {
 public:
  RaftStorageError(const std::string& path, const std::string& reason)
      : std::runtime_error(path + ": " + reason) {}
};

/// A voter's Raft storage in a file. The object holds an exclusive lock on the storage until it is
/// destroyed. append() returns before a record is durable; records become durable in the order in
/// which they were appended.
class DiskRaftStorage : public RaftStorage {
 public:
  /// Opens the storage of the voter `name` in `directory`. Returns null if there is no file, or if
  /// the file is damaged, belongs to another voter or exceeds kMaxRaftLogFileBytes; such a file is
  /// renamed and logged. Throws RaftStorageError.
  static std::unique_ptr<DiskRaftStorage> open(const std::string& directory,
                                               const std::string& name);
  /// Creates the storage of `voter` with `records` as its content. Throws RaftStorageError, also if
  /// the voter has a storage already.
  static std::unique_ptr<DiskRaftStorage> create(const std::string& directory, const Voter& voter,
                                                 const std::vector<LogRecord>& records);
  /// Waits up to 500 ms for records that are not durable yet.
  ~DiskRaftStorage() override;
  DiskRaftStorage(const DiskRaftStorage&) = delete;
  DiskRaftStorage& operator=(const DiskRaftStorage&) = delete;

  /// Renames the file, because it was restored from an older copy. Afterwards no further record is
  /// written.
  void set_aside();

  const Voter& voter() const { return voter_; }
  const DurableState& state() const override { return state_; }
  std::uint64_t append(LogRecord record) override;
  std::uint64_t appended_records() const override { return appended_records_; }
  std::uint64_t durable_records() override { return writer_->durable_records(); }
  bool failed() override { return writer_->failed(); }

 private:
  DiskRaftStorage(std::string path, net::FileDescriptor lock, Voter voter, DurableState state,
                  std::uint64_t appended_records);

  const std::string path_;
  const net::FileDescriptor lock_;
  const Voter voter_;
  DurableState state_;
  std::uint64_t appended_records_ = 0;
  const std::shared_ptr<RaftLogWriter> writer_;
};

}  // namespace beechhill::maintenance
