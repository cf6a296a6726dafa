// Keeps snapshots in a folder of a lasting disk: read once at the start, written by a thread of its
// own, so that a disk that is slow or full costs snapshots and never a request.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "net/socket.h"
#include "snapshot/snapshot.h"

namespace beechhill::snapshot {

// Puts `text` at `path`, so that after a crash either the old or the new is there, whole. False,
// and errno, where it could not.
using DurableWrite = std::function<bool(const std::string& path, const std::string& text)>;
bool write_durably(const std::string& path,
                   const std::string& text);  // written aside, fsynced, renamed

class SnapshotStore {
 public:
  // Throws std::runtime_error where the folder cannot be used, or another process keeps snapshots
  // there under that name.
  SnapshotStore(const std::string& folder, std::string name, std::string fleet,
                DurableWrite store = write_durably);
  // Waits 300 ms at the most for what is being written; a disk that takes longer is left to itself.
  ~SnapshotStore();
  SnapshotStore(const SnapshotStore&) = delete;
  SnapshotStore& operator=(const SnapshotStore&) = delete;

  // What the last process left. What may not be used now (Unix time) is set aside, with a line in
  // the log; of one that is whole and of this name the bans are left even then.
  std::optional<Snapshot> load(std::chrono::milliseconds now);
  // Hands on to the thread. What still waits there is replaced.
  void save_async(std::vector<EndpointRecord> rows, std::set<std::string> barred,
                  std::chrono::milliseconds now);

 private:
  struct Writer;

  const std::string path_, name_, fleet_;
  std::uint64_t life_ = 1;
  net::Fd lock_;
  std::shared_ptr<Writer> writer_;
};

}  // namespace beechhill::snapshot
