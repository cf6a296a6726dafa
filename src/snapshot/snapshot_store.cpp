#include "snapshot/snapshot_store.h"

#include <fcntl.h>

#include <algorithm>
#include <cstdio>
#include <stdexcept>
#include <string_view>
#include <utility>

#include "log/log.h"
#include "storage/file.h"

namespace beechhill::snapshot {
namespace {

// Returns the path of the snapshot file. Replaces '/', which is valid in a process name but not in
// a file name.
std::string file_path(const std::string& directory, std::string process_name) {
  std::replace(process_name.begin(), process_name.end(), '/', '_');
  return directory + "/beechhill-" + process_name + ".snapshot";
}

net::FileDescriptor lock_exclusively(const std::string& path) {
  net::FileDescriptor file = storage::open_file(path + ".lock", O_RDWR | O_CREAT);
  if (!file) {
    throw std::runtime_error(path + ": " + storage::last_error().message());
  }
  if (!storage::try_lock(file)) {
    throw std::runtime_error(path + ".lock: locked by another process");
  }
  return file;
}

void set_aside(const std::string& path, RejectionReason reason) {
  // If the rename fails, the next process reads the file and rejects it again.
  (void)std::rename(path.c_str(), (path + ".aside").c_str());
  log::warning("snapshot_set_aside", {{"reason", std::string_view(name(reason))}});
}

}  // namespace

SnapshotStore::SnapshotStore(const std::string& directory, std::string process_name,
                             std::string settings_fingerprint, DurableWrite write)
    : path_(file_path(directory, process_name)),
      process_name_(std::move(process_name)),
      settings_fingerprint_(std::move(settings_fingerprint)),
      lock_(lock_exclusively(path_)),
      writer_(path_, std::move(write)) {
}

std::optional<Snapshot> SnapshotStore::load(std::chrono::milliseconds now) {
  // Reads one byte more than the maximum size, so that decode() detects a file that is too long.
  const std::optional<std::string> text = storage::read_file(path_, kMaxSnapshotBytes + 1);
  if (!text) {
    return std::nullopt;  // no process of this name has written a snapshot yet
  }
  std::optional<Snapshot> snapshot = decode(*text);
  if (!snapshot) {
    set_aside(path_, RejectionReason::kDamaged);
    return std::nullopt;
  }
  incarnation_ = snapshot->incarnation + 1;
  const auto reason = rejection_reason(*snapshot, process_name_, settings_fingerprint_, now);
  if (!reason) {
    return snapshot;
  }
  set_aside(path_, *reason);
  if (*reason == RejectionReason::kOtherProcess) {
    return std::nullopt;
  }
  snapshot->records.clear();
  return snapshot;
}

void SnapshotStore::save_async(std::vector<EndpointRecord> records,
                               std::set<std::string> excluded_backends,
                               std::chrono::milliseconds now) {
  Snapshot snapshot;
  snapshot.name = process_name_;
  snapshot.settings_fingerprint = settings_fingerprint_;
  snapshot.incarnation = incarnation_;
  snapshot.written_at = now;
  snapshot.records = std::move(records);
  snapshot.excluded_backends = std::move(excluded_backends);
  writer_.write(std::move(snapshot));
}

}  // namespace beechhill::snapshot
