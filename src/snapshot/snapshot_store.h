// Stores the snapshots of one process name in a directory on a disk that outlives the process.
// There is one file, which is read once at the start and rewritten on a separate thread.
//
// Errors: the constructor throws std::runtime_error. Damaged or unusable data is not an error: its
// file is renamed and the RejectionReason is logged.
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

/// Loads and saves the snapshots of one process name. Holds an exclusive lock on the process name
/// in the directory until it is destroyed. Must be used by one thread.
class SnapshotStore {
 public:
  /// Throws std::runtime_error if the directory cannot be used, or if another process stores
  /// snapshots in it under `process_name`. `settings_fingerprint` is described at Snapshot.
  SnapshotStore(const std::string& directory, std::string process_name,
                std::string settings_fingerprint, DurableWrite write = write_durably);

  /// Returns the snapshot of the last process; blocks on the disk. If the records may not be used
  /// at the Unix time `now`, the file is renamed to "*.aside" and the reason is logged. In that
  /// case only the excluded backends are returned, provided that the snapshot is complete and of
  /// this process name.
  std::optional<Snapshot> load(std::chrono::milliseconds now);

  /// Writes a snapshot taken at the Unix time `now`. Returns immediately. Replaces a queued
  /// snapshot that is not being written yet.
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
