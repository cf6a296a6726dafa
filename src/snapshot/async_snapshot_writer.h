// Writes snapshots on a thread of its own, so that a disk that is slow or full costs snapshots and
// never a request.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <system_error>

#include "snapshot/snapshot.h"

namespace beechhill::snapshot {

/// Replaces the file at `path` by `text`, so that after a crash either the old or the new content
/// is there, complete. Called on the writer's thread; may block.
using DurableWrite =
    std::function<std::error_code(const std::string& path, const std::string& text)>;

/// The DurableWrite for a disk: storage::replace_file with Durability::kMachineCrash.
std::error_code write_durably(const std::string& path, const std::string& text);

/// Writes the newest of the snapshots that it is given. Logs `snapshot_lost` when writes begin to
/// fail and `snapshot_kept` when they succeed again. Used by one thread.
class AsyncSnapshotWriter {
 public:
  /// Starts the thread, which writes to `path` by `write`.
  AsyncSnapshotWriter(std::string path, DurableWrite write);
  /// Waits 300 ms at most for pending and running writes. A write that takes longer is abandoned
  /// to its thread, which ends by itself.
  ~AsyncSnapshotWriter();
  AsyncSnapshotWriter(const AsyncSnapshotWriter&) = delete;
  AsyncSnapshotWriter& operator=(const AsyncSnapshotWriter&) = delete;

  /// Hands `snapshot` to the thread and returns at once. Replaces one that is still pending.
  void write(Snapshot snapshot);

 private:
  struct Queue;

  /// Shared with the thread, which may outlive this object by one write to a disk that hangs.
  std::shared_ptr<Queue> queue_;
};

}  // namespace beechhill::snapshot
