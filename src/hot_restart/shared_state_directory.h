// The directory that the processes of one proxy share: the state, replaced by rename under a lock,
// and a liveness file for each process.
//
// Errors: the constructor and try_apply() throw std::system_error where the disk fails; a state
// that is damaged is no error but set aside, with a line in the log.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "hot_restart/process_liveness_lock.h"
#include "hot_restart/shared_state.h"
#include "net/socket.h"

namespace beechhill::hot_restart {

/// One process's view of the directory. Used by one thread; calls block on the local disk.
class SharedStateDirectory {
 public:
  /// What the other processes have published.
  struct ProcessGroupStatus {
    /// Number of the other processes that are alive.
    int alive = 0;
    /// A process of a later generation is alive and accepts clients.
    bool successor = false;
    /// A process of an earlier generation is alive.
    bool predecessor = false;
    /// Descriptors that all of them hold, as last published.
    std::uint32_t descriptors = 0;
  };

  /// Joins the processes that share `path` under `process_name`, as the next generation. Waits up
  /// to a second for the lock. Throws std::system_error where files cannot be written or locked.
  SharedStateDirectory(const std::string& path, const std::string& process_name);

  /// As last read or written.
  const SharedState& state() const { return state_; }

  /// Reads the state again where it has been replaced since. Returns true where it was replaced:
  /// state() may have changed.
  bool refresh();

  /// Applies one change under the lock. Returns false where another process holds the lock: to be
  /// tried again. Throws std::system_error where the state cannot be written.
  bool try_apply(StateChange change, const std::string& backend_id);

  /// Publishes to the other processes whether this one accepts clients, and how many descriptors
  /// it holds. A failure is logged.
  void publish(bool ready, std::uint32_t descriptors);

  /// O(1): looks at the last few generations only.
  ProcessGroupStatus process_group_status() const;

 private:
  /// Identifies one version of the state's file: each replacement is a new file.
  struct FileVersion {
    std::uint64_t inode = 0;
    std::int64_t modified_s = 0;
    std::int64_t modified_ns = 0;
    bool operator==(const FileVersion&) const = default;
  };

  std::string state_path() const;
  std::string liveness_path(std::uint64_t generation) const;
  net::FileDescriptor wait_for_lock() const;
  std::optional<net::FileDescriptor> try_lock() const;
  std::optional<FileVersion> stored_version() const;
  void join();
  void read_state();
  void write_state();

  /// What all the files' paths begin with.
  const std::string path_prefix_;
  SharedState state_;
  /// Of the stored state that `state_` was read from or written to.
  std::optional<FileVersion> version_;
  /// This process's.
  std::uint64_t generation_ = 0;
  ProcessLivenessLock liveness_lock_;
};

}  // namespace beechhill::hot_restart
