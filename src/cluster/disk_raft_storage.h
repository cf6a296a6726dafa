// A voter's storage on a disk that lasts: one file of records, each with its checksum, written and
// synced by a thread of its own and made anew where a snapshot replaces what came before. A slow
// disk holds up the voter's word, never a request.
#pragma once

#include <memory>
#include <optional>
#include <string>

#include "maintenance/raft_node.h"
#include "maintenance/raft_storage.h"
#include "net/socket.h"

namespace beechhill::maintenance {

class DiskRaftStorage : public RaftStorage {
 public:
  // Null where none was founded there, or where it cannot be read: then it has been set aside, and
  // said so in the log. Throws std::runtime_error where the folder cannot be used or another
  // process has it.
  static std::unique_ptr<DiskRaftStorage> open(const std::string& folder, const std::string& name);
  // Makes one that begins with these records. Throws as open(), and where there is one already.
  static std::unique_ptr<DiskRaftStorage> found(const std::string& folder, const Voter& voter,
                                                const std::vector<LogRecord>& records);
  ~DiskRaftStorage() override;
  // For a voter that cannot rely on it any more. Nothing is written after it.
  void set_aside();

  const Voter& voter() const { return voter_; }
  const DurableState& state() const override { return image_; }
  std::uint64_t append(LogRecord record) override;
  std::uint64_t appended_records() const override { return written_; }
  std::uint64_t durable_records() override;
  bool failed() override;

 private:
  struct Writer;
  DiskRaftStorage(std::string path, net::Fd lock, Voter voter, DurableState image,
                  std::uint64_t written);
  static net::Fd lock(const std::string& folder, const std::string& name);

  const std::string path_;
  net::Fd lock_;
  const Voter voter_;
  DurableState image_;
  std::uint64_t written_ = 0;
  std::shared_ptr<Writer> writer_;  // its thread may outlive it by one write to a disk that hangs
};

}  // namespace beechhill::maintenance
