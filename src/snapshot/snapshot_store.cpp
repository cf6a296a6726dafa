#include "snapshot/snapshot_store.h"

#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <condition_variable>
#include <cstdio>
#include <cstring>
#include <filesystem>
#include <mutex>
#include <stdexcept>
#include <thread>

#include "log/log.h"

namespace beechhill::snapshot {
namespace {

constexpr std::chrono::milliseconds kLastWait{300};

net::Fd opened(const std::string& path, int flags) {
  return net::Fd(::open(path.c_str(), flags | O_CLOEXEC, 0600));
}

bool write_all(int fd, std::string_view text) {
  while (!text.empty()) {
    const ssize_t n = ::write(fd, text.data(), text.size());
    if (n < 0 && errno == EINTR) {
      continue;
    }
    if (n <= 0) {
      return false;
    }
    text.remove_prefix(static_cast<std::size_t>(n));
  }
  return true;
}

std::optional<std::string> contents(const std::string& path) {
  const net::Fd fd = opened(path, O_RDONLY);
  if (!fd) {
    return std::nullopt;
  }
  std::string text(kMaxSnapshotBytes + 1, '\0');
  std::size_t size = 0;
  while (size < text.size()) {
    const ssize_t n = ::read(fd.get(), text.data() + size, text.size() - size);
    if (n <= 0) {
      break;
    }
    size += static_cast<std::size_t>(n);
  }
  text.resize(size);
  return text;
}

}  // namespace

bool write_durably(const std::string& path, const std::string& text) {
  const std::string fresh = path + ".new";
  {
    const net::Fd fd = opened(fresh, O_WRONLY | O_CREAT | O_TRUNC);
    if (!fd || !write_all(fd.get(), text) || ::fsync(fd.get()) < 0) {
      return false;
    }
  }
  if (std::rename(fresh.c_str(), path.c_str()) < 0) {
    return false;
  }
  const net::Fd folder =
      opened(std::filesystem::path(path).parent_path().string(), O_RDONLY | O_DIRECTORY);
  return folder && ::fsync(folder.get()) == 0;
}

// Shared with its thread, which may outlive the keeper by one write to a disk that hangs.
struct SnapshotStore::Writer {
  std::mutex mutex;
  std::condition_variable changed;
  std::optional<Snapshot> waiting;
  bool ending = false, idle = true;
  DurableWrite store;
  std::string path;

  void run() {
    bool failing = false;
    std::unique_lock lock(mutex);
    for (;;) {
      changed.wait(lock, [this] { return waiting || ending; });
      if (!waiting) {
        break;
      }
      const Snapshot next = std::move(*waiting);
      waiting.reset();
      idle = false;
      lock.unlock();
      const bool stored = store(path, encode(next));
      const int error = errno;
      lock.lock();
      // Not at the end: this thread may then outlive the log.
      if (!ending && !stored && !failing) {
        log::warning("snapshot_lost", {{"error", std::string_view(std::strerror(error))}});
      }
      if (!ending && stored && failing) {
        log::info("snapshot_kept", {});
      }
      failing = !stored;
      idle = true;
      changed.notify_all();
    }
    idle = true;
    changed.notify_all();
  }
};

SnapshotStore::SnapshotStore(const std::string& folder, std::string name, std::string fleet,
                             DurableWrite store)
    : path_([&] {
        std::string file = name;
        std::replace(file.begin(), file.end(), '/', '_');
        return folder + "/beechhill-" + file + ".snapshot";
      }()),
      name_(std::move(name)),
      fleet_(std::move(fleet)),
      lock_(opened(path_ + ".lock", O_RDWR | O_CREAT)),
      writer_(std::make_shared<Writer>()) {
  if (!lock_) {
    throw std::runtime_error(path_ + ": " + std::strerror(errno));
  }
  if (::flock(lock_.get(), LOCK_EX | LOCK_NB) < 0) {
    throw std::runtime_error(path_ + ": another process keeps it");
  }
  writer_->store = std::move(store);
  writer_->path = path_;
  std::thread([writer = writer_] { writer->run(); }).detach();
}

SnapshotStore::~SnapshotStore() {
  std::unique_lock lock(writer_->mutex);
  writer_->ending = true;
  writer_->changed.notify_all();
  writer_->changed.wait_for(lock, kLastWait, [this] { return writer_->idle && !writer_->waiting; });
}

std::optional<Snapshot> SnapshotStore::load(std::chrono::milliseconds now) {
  const auto text = contents(path_);
  if (!text) {
    return std::nullopt;  // the first process
  }
  std::optional<Snapshot> snapshot = decode(*text);
  const char* reason = snapshot ? rejection_reason(*snapshot, name_, fleet_, now) : "not_whole";
  if (snapshot) {
    life_ = snapshot->incarnation + 1;
  }
  if (!reason) {
    return snapshot;
  }
  std::rename(path_.c_str(), (path_ + ".aside").c_str());
  log::warning("snapshot_set_aside", {{"reason", std::string_view(reason)}});
  if (!snapshot || snapshot->name != name_) {
    return std::nullopt;
  }
  snapshot->records.clear();
  return snapshot;
}

void SnapshotStore::save_async(std::vector<EndpointRecord> rows, std::set<std::string> barred,
                               std::chrono::milliseconds now) {
  const std::lock_guard lock(writer_->mutex);
  writer_->waiting = Snapshot{name_, fleet_, life_, now, std::move(rows), std::move(barred)};
  writer_->changed.notify_all();
}

}  // namespace beechhill::snapshot
