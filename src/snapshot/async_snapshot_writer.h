// Writes snapshots on a separate thread, so that a slow or full disk never delays a request.
// Snapshots may be lost instead.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <system_error>

#include "snapshot/snapshot.h"

namespace beechhill::snapshot {

/// Replaces the file at `path` with `text` so that either the old or the new content is complete
/// after a crash. Called on the writer thread and may block.
using DurableWrite =
    std::function<std::error_code(const std::string& path, const std::string& text)>;

/// A DurableWrite that uses storage::replace_file with Durability::kMachineCrash.
std::error_code write_durably(const std::string& path, const std::string& text);

/// Writes the latest snapshot passed to write(). Logs `snapshot_lost` when writes start to fail and
/// `snapshot_kept` when they succeed again. Must be used by one thread.
class AsyncSnapshotWriter {
 public:
  /// Starts the thread, which calls `write` to replace the file at `path`.
  AsyncSnapshotWriter(std::string path, DurableWrite write);
  /// Waits at most 300 ms for pending and running writes. The thread finishes a longer write and
  /// then ends.
  ~AsyncSnapshotWriter();
  AsyncSnapshotWriter(const AsyncSnapshotWriter&) = delete;
  AsyncSnapshotWriter& operator=(const AsyncSnapshotWriter&) = delete;

  /// Queues `snapshot` and returns immediately. Replaces a queued snapshot that is not being
  /// written yet.
  void write(Snapshot snapshot);

 private:
  struct Queue;

  /// The state shared with the thread, which may outlive this object by one write if the disk
  /// hangs.
  std::shared_ptr<Queue> queue_;
};

}  // namespace beechhill::snapshot
