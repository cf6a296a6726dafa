#include "hot_restart/shared_state_directory.h"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <memory>
#include <system_error>
#include <thread>
#include <type_traits>
#include <utility>

#include "log/log.h"
#include "storage/file.h"
#include "storage/shared_memory_file.h"

namespace beechhill::hot_restart {
namespace {

// Number of latest generations whose processes are examined. Processes of older generations are
// assumed to have ended.
constexpr std::uint64_t kMaxLiveGenerations = 8;
constexpr std::size_t kMaxStateBytes = std::size_t{4} * 1024 * 1024;
// Maximum number of attempts to acquire the lock at startup, 5 ms apart. A process holds the lock
// only for one read and one write.
constexpr int kMaxLockAttempts = 200;
constexpr std::chrono::milliseconds kLockRetryInterval{5};

// Version of SharedTraceIds. Part of the name of the file, as processes of different versions of
// the program may run at the same time.
constexpr int kTraceIdLayoutVersion = 1;

// The content of the file of trace ids, in native byte order, since all processes are on the same
// machine. It consists of zero bytes at first.
struct SharedTraceIds {
  // Seed of the hashes of the ids; 0 until the first process has determined it.
  std::atomic<std::uint64_t> hash_seed;
  // A process uses the region of its generation modulo the number of regions.
  std::array<proxy::TraceIdRegion, kMaxLiveGenerations> regions;
};
static_assert(std::is_standard_layout_v<SharedTraceIds>);

// Returns the common prefix of the paths of all files. Replaces '/', which is valid in a process
// name but not in a file name.
std::string make_path_prefix(const std::string& path, std::string process_name) {
  std::replace(process_name.begin(), process_name.end(), '/', '_');
  return path + "/beechhill-" + process_name;
}

}  // namespace

SharedStateDirectory::SharedStateDirectory(const std::string& path, const std::string& process_name)
    : path_prefix_(make_path_prefix(path, process_name)) {
  const net::FileDescriptor lock = wait_for_lock();
  join();
}

void SharedStateDirectory::join() {
  read_state();
  ++state_.generation;
  generation_ = state_.generation;
  liveness_lock_ = ProcessLivenessLock(liveness_path(generation_));
  if (generation_ > kMaxLiveGenerations) {
    ::unlink(liveness_path(generation_ - kMaxLiveGenerations).c_str());
  }
  publish(false, 0);
  write_state();
}

std::string SharedStateDirectory::state_path() const {
  return path_prefix_ + ".state";
}

std::string SharedStateDirectory::liveness_path(std::uint64_t generation) const {
  return path_prefix_ + ".process-" + std::to_string(generation);
}

net::FileDescriptor SharedStateDirectory::wait_for_lock() const {
  for (int attempt = 0; attempt < kMaxLockAttempts; ++attempt) {
    if (std::optional<net::FileDescriptor> lock = try_lock()) {
      return std::move(*lock);
    }
    std::this_thread::sleep_for(kLockRetryInterval);
  }
  throw std::system_error(std::make_error_code(std::errc::resource_unavailable_try_again),
                          "cannot lock " + path_prefix_ + ".lock");
}

std::optional<net::FileDescriptor> SharedStateDirectory::try_lock() const {
  const std::string path = path_prefix_ + ".lock";
  net::FileDescriptor file = storage::open_file(path, O_RDWR | O_CREAT);
  if (!file) {
    throw std::system_error(storage::last_error(), "cannot open " + path);
  }
  if (!storage::try_lock(file)) {
    return std::nullopt;
  }
  return file;
}

std::optional<SharedStateDirectory::FileVersion> SharedStateDirectory::stored_version() const {
  struct stat status{};
  if (::stat(state_path().c_str(), &status) < 0) {
    return std::nullopt;
  }
  return FileVersion{status.st_ino, status.st_mtim.tv_sec, status.st_mtim.tv_nsec};
}

void SharedStateDirectory::read_state() {
  const std::string path = state_path();
  // The version is determined before the text is read. If the file is replaced in between, the next
  // refresh() detects a different version and reads the file again.
  version_ = stored_version();
  const std::optional<std::string> text = storage::read_file(path, kMaxStateBytes);
  if (!text) {
    return;  // no process has stored a state yet
  }
  std::optional<SharedState> stored = decode(*text);
  if (!stored) {
    // The damaged file is renamed so that no process reads it again. This process keeps the state
    // that it last read or wrote.
    (void)std::rename(path.c_str(), (path + ".faulty").c_str());
    log::warning("handover_set_aside", {{"file", std::string_view(path)}});
    return;
  }
  stored->generation = std::max(stored->generation, state_.generation);
  state_ = std::move(*stored);
}

void SharedStateDirectory::write_state() {
  const std::string path = state_path();
  // The state is shared only by running processes, so it need not survive a crash of the machine.
  const std::error_code error =
      storage::replace_file(path, encode(state_), storage::Durability::kProcessCrash);
  if (error) {
    throw std::system_error(error, "cannot replace " + path);
  }
  version_ = stored_version();
}

bool SharedStateDirectory::refresh() {
  if (stored_version() == version_) {
    return false;
  }
  read_state();
  return true;
}

bool SharedStateDirectory::try_apply(StateChange change, const std::string& backend_id) {
  const std::optional<net::FileDescriptor> lock = try_lock();
  if (!lock) {
    return false;
  }
  refresh();
  apply(state_, change, backend_id);
  write_state();
  return true;
}

void SharedStateDirectory::publish(bool ready, std::uint32_t descriptors) {
  if (!liveness_lock_.publish({ready ? 1U : 0U, descriptors})) {
    log::warning("handover_unpublished", {});
  }
}

std::string SharedStateDirectory::trace_id_path() const {
  return path_prefix_ + ".trace-ids-" + std::to_string(kTraceIdLayoutVersion);
}

proxy::TraceIdMemory SharedStateDirectory::map_trace_ids(std::uint64_t hash_seed) const {
  const auto file =
      std::make_shared<storage::SharedMemoryFile>(trace_id_path(), sizeof(SharedTraceIds));
  auto* const shared = static_cast<SharedTraceIds*>(file->data());
  std::uint64_t not_determined = 0;
  shared->hash_seed.compare_exchange_strong(not_determined, hash_seed);
  proxy::TraceIdMemory memory;
  memory.hash_seed = shared->hash_seed;
  for (std::uint64_t index = 0; index < kMaxLiveGenerations; ++index) {
    proxy::TraceIdRegion& region = shared->regions[index];
    // The pointers share the ownership of the mapping.
    if (index == generation_ % kMaxLiveGenerations) {
      region.clear();
      memory.own = std::shared_ptr<proxy::TraceIdRegion>(file, &region);
    } else {
      memory.others.push_back(std::shared_ptr<const proxy::TraceIdRegion>(file, &region));
    }
  }
  return memory;
}

SharedStateDirectory::ProcessGroupStatus SharedStateDirectory::process_group_status() const {
  ProcessGroupStatus group;
  const std::uint64_t last = state_.generation;
  const std::uint64_t first = last > kMaxLiveGenerations ? last - kMaxLiveGenerations + 1 : 1;
  for (std::uint64_t generation = first; generation <= last; ++generation) {
    if (generation == generation_) {
      continue;
    }
    const auto status = ProcessLivenessLock::read_if_alive(liveness_path(generation));
    if (!status) {
      continue;
    }
    ++group.alive;
    group.descriptors += status->descriptors;
    group.successor = group.successor || (generation > generation_ && status->ready != 0);
    group.predecessor = group.predecessor || generation < generation_;
  }
  return group;
}

}  // namespace beechhill::hot_restart
