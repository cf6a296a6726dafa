// The snapshots of one process name, in a directory on a disk that outlasts the process: one file,
// read once at the start and rewritten by a thread of its own.
//
// Errors: the constructor throws std::runtime_error; damaged or unusable data is no error but set
// aside, with its RejectionReason in the log.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "net/socket.h"
#include "snapshot/async_snapshot_writer.h"
#include "snapshot/snapshot.h"

namespace beechhill::snapshot {

/// Holds a lock on its name in the directory for as long as it exists. Used by one thread.
class SnapshotStore {
 public:
  /// Throws std::runtime_error where the directory cannot be used, or another process keeps
  /// snapshots there under `process_name`. `settings_fingerprint`: see Snapshot.
  SnapshotStore(const std::string& directory, std::string process_name,
                std::string settings_fingerprint, DurableWrite write = write_durably);

  /// Returns what the last process left; blocks on the disk. Where the records may not be used at
  /// the Unix time `now`, the file is renamed to "*.aside" and the reason logged; then only the
  /// excluded backends of a complete snapshot of this name are returned.
  std::optional<Snapshot> load(std::chrono::milliseconds now);

  /// Writes a snapshot that was taken at the Unix time `now`. Returns at once; replaces one that is
  /// not being written yet.
  void save_async(std::vector<EndpointRecord> records, std::set<std::string> excluded_backends,
                  std::chrono::milliseconds now);

 private:
  const std::string path_;
  const std::string process_name_;
  const std::string settings_fingerprint_;
  std::uint64_t incarnation_ = 1;
  net::FileDescriptor lock_;
  AsyncSnapshotWriter writer_;
};

}  // namespace beechhill::snapshot
