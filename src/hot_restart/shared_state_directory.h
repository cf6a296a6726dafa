// The directory that the processes of one proxy share. It contains the shared state, which is
// replaced by rename under a lock, one liveness file per process, and the trace ids of the
// processes' requests.
//
// Errors: the constructor and try_apply() throw std::system_error if the disk fails. A damaged
// state is not an error: its file is renamed and a warning is logged.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "hot_restart/process_liveness_lock.h"
#include "hot_restart/shared_state.h"
#include "net/socket.h"
#include "proxy/trace_id_table.h"

namespace beechhill::hot_restart {

/// Gives one process access to the directory. Must be used by one thread. Calls block on the local
/// disk.
class SharedStateDirectory {
 public:
  /// The combined published status of the other processes.
  struct ProcessGroupStatus {
    /// Number of other processes that are alive.
    int alive = 0;
    /// Whether a process of a later generation is alive and accepts clients.
    bool successor = false;
    /// Whether a process of an earlier generation is alive.
    bool predecessor = false;
    /// Total number of file descriptors held by the other processes, as last published.
    std::uint32_t descriptors = 0;
  };

  /// Joins the processes that share the directory `path` under `process_name`, as the next
  /// generation. Waits up to 1 s for the lock. Throws std::system_error if the lock is not acquired
  /// in time or a file cannot be written or locked.
  SharedStateDirectory(const std::string& path, const std::string& process_name);

  /// Returns the state as last read or written by this process.
  const SharedState& state() const { return state_; }

  /// Reads the state if its file was replaced or removed since the last access. Returns whether it
  /// was, in which case state() may have changed.
  bool refresh();

  /// Applies one change under the lock. Returns false if another process holds the lock, in which
  /// case the caller should retry. Throws std::system_error if the lock file cannot be opened or
  /// the state cannot be written.
  bool try_apply(StateChange change, const std::string& backend_id);

  /// Publishes to the other processes whether this one accepts clients, and the number of file
  /// descriptors that it holds. A failure is logged.
  void publish(bool ready, std::uint32_t descriptors);

  /// Returns the memory in which the processes reserve the trace ids of their requests. `hash_seed`
  /// is used if no process has determined one yet. Must be called once at most. Throws
  /// std::system_error if the file cannot be created or mapped.
  proxy::TraceIdMemory map_trace_ids(std::uint64_t hash_seed) const;

  /// Returns the combined status of the other processes, from the liveness files of the latest
  /// eight generations.
  ProcessGroupStatus process_group_status() const;

 private:
  /// Identifies one version of the state file. Each replacement creates a new file.
  struct FileVersion {
    std::uint64_t inode = 0;
    std::int64_t modified_s = 0;
    std::int64_t modified_ns = 0;
    bool operator==(const FileVersion&) const = default;
  };

  std::string state_path() const;
  std::string liveness_path(std::uint64_t generation) const;
  std::string trace_id_path() const;
  net::FileDescriptor wait_for_lock() const;
  std::optional<net::FileDescriptor> try_lock() const;
  std::optional<FileVersion> stored_version() const;
  void join();
  void read_state();
  void write_state();

  /// The common prefix of the paths of all files in the directory.
  const std::string path_prefix_;
  SharedState state_;
  /// Version of the state file that `state_` was last read from or written to.
  std::optional<FileVersion> version_;
  /// Generation of this process.
  std::uint64_t generation_ = 0;
  ProcessLivenessLock liveness_lock_;
};

}  // namespace beechhill::hot_restart
