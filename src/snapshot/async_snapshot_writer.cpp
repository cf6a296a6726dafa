#include "snapshot/async_snapshot_writer.h"

#include <chrono>
#include <condition_variable>
#include <mutex>
#include <optional>
#include <string_view>
#include <thread>
#include <utility>

#include "log/log.h"
#include "storage/file.h"

namespace beechhill::snapshot {
namespace {

constexpr std::chrono::milliseconds kShutdownTimeout{300};

}  // namespace

std::error_code write_durably(const std::string& path, const std::string& text) {
  return storage::replace_file(path, text, storage::Durability::kMachineCrash);
}

// The state that AsyncSnapshotWriter shares with its thread.
struct AsyncSnapshotWriter::Queue {
  Queue(std::string file_path, DurableWrite durable_write)
      : path(std::move(file_path)), write(std::move(durable_write)) {}

  // Writes each pending snapshot. Runs on the writer thread until `stopping` is set and no snapshot
  // is pending.
  void run();
  // Logs the first failure of a series, and the first success after it.
  void log_outcome(std::error_code error);

  const std::string path;
  const DurableWrite write;

  std::mutex mutex;
  std::condition_variable changed;
  // The members below are guarded by `mutex`.
  std::optional<Snapshot> pending;
  bool stopping = false;
  bool idle = true;
  bool failing = false;
};

void AsyncSnapshotWriter::Queue::run() {
  std::unique_lock lock(mutex);
  for (;;) {
    changed.wait(lock, [this] { return pending || stopping; });
    if (!pending) {
      break;
    }
    const Snapshot snapshot = std::move(*pending);
    pending.reset();
    idle = false;
    lock.unlock();
    const std::error_code error = write(path, encode(snapshot));
    lock.lock();
    log_outcome(error);
    idle = true;
    changed.notify_all();
  }
}

void AsyncSnapshotWriter::Queue::log_outcome(std::error_code error) {
  const bool failed = static_cast<bool>(error);
  // While stopping, nothing is logged, because this thread may outlive the log.
  if (!stopping && failed && !failing) {
    log::warning("snapshot_lost", {{"error", std::string_view(error.message())}});
  }
  if (!stopping && !failed && failing) {
    log::info("snapshot_kept", {});
  }
  failing = failed;
}

AsyncSnapshotWriter::AsyncSnapshotWriter(std::string path, DurableWrite write)
    : queue_(std::make_shared<Queue>(std::move(path), std::move(write))) {
  std::thread([queue = queue_] { queue->run(); }).detach();
}

AsyncSnapshotWriter::~AsyncSnapshotWriter() {
  std::unique_lock lock(queue_->mutex);
  queue_->stopping = true;
  queue_->changed.notify_all();
  queue_->changed.wait_for(lock, kShutdownTimeout,
                           [this] { return queue_->idle && !queue_->pending; });
}

void AsyncSnapshotWriter::write(Snapshot snapshot) {
  const std::lock_guard lock(queue_->mutex);
  queue_->pending = std::move(snapshot);
  queue_->changed.notify_all();
}

}  // namespace beechhill::snapshot
