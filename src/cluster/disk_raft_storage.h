// A voter's storage in one file on a durable disk.
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

/// The storage cannot be used: its directory, another process that has it, or one that exists
/// already.
class RaftStorageError : public std::runtime_error {
 public:
  RaftStorageError(const std::string& path, const std::string& reason)
      : std::runtime_error(path + ": " + reason) {}
};

/// Locked against other processes as long as it exists. Its records are durable some time after
/// append(), in their order.
class DiskRaftStorage : public RaftStorage {
 public:
  /// The storage of the voter `name`. Null where there is none, or where its file is damaged: that
  /// is renamed and logged then. Throws RaftStorageError.
  static std::unique_ptr<DiskRaftStorage> open(const std::string& directory,
                                               const std::string& name);
  /// Creates the storage of a voter that has none, with the given records. Throws RaftStorageError.
  static std::unique_ptr<DiskRaftStorage> create(const std::string& directory, const Voter& voter,
                                                 const std::vector<LogRecord>& records);
  /// Waits a moment for what is not durable yet.
  ~DiskRaftStorage() override;
  DiskRaftStorage(const DiskRaftStorage&) = delete;
  DiskRaftStorage& operator=(const DiskRaftStorage&) = delete;

  /// Renames the file of a storage that is an older copy. Nothing is written after that.
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
