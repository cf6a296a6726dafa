#include "testbed/state_directory_faults.h"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <fstream>
#include <iterator>
#include <vector>

#include "snapshot/snapshot.h"

namespace beechhill::testbed {

using emulator::FaultKind;
namespace fs = std::filesystem;

namespace {

// Selects a random stream distinct from those for backends, proxies, faults and fault plans.
constexpr std::uint64_t kStateStream = 1ULL << 38;

std::string read_file(const fs::path& file) {
  std::ifstream in(file, std::ios::binary);
  return {std::istreambuf_iterator<char>(in), {}};
}

void write_file(const fs::path& file, const std::string& text) {
  std::ofstream(file, std::ios::binary | std::ios::trunc) << text;
}

// Returns the regular files in the directory. The list is complete when the caller gets it, so that
// files can be changed while it is iterated.
std::vector<fs::path> regular_files(const fs::path& directory) {
  std::vector<fs::path> files;
  for (const auto& entry : fs::directory_iterator(directory)) {
    if (entry.is_regular_file()) {
      files.push_back(entry.path());
    }
  }
  return files;
}

}  // namespace

StateDirectoryFaults::StateDirectoryFaults(fs::path directory, const std::string& temporary_file,
                                           std::uint64_t seed)
    : directory_(std::move(directory)),
      temporary_file_(directory_ / temporary_file),
      random_(seed, emulator::Actor::kFaults, kStateStream) {
  fs::create_directories(directory_);
}

StateDirectoryFaults::~StateDirectoryFaults() {
  unblock_writes();
}

void StateDirectoryFaults::apply(FaultKind kind, FaultPhase phase, std::chrono::milliseconds age) {
  const bool begins = phase == FaultPhase::kBegins;
  switch (kind) {
    case FaultKind::kStateOld:
      begins ? save_copy() : restore_copy();
      return;
    case FaultKind::kDiskFull:
    case FaultKind::kDiskHangs:
    case FaultKind::kDiskGone:
      unblock_writes();
      if (begins) {
        block_writes(kind);
      }
      return;
    default:
      break;
  }
  if (!begins) {
    return;  // the damage of the other faults is permanent
  }
  switch (kind) {
    case FaultKind::kStateLost:
      remove_all();
      break;
    case FaultKind::kStateTorn:
      damage_files(Damage::kTruncate);
      break;
    case FaultKind::kStateFlipped:
      damage_files(Damage::kFlipBit);
      break;
    case FaultKind::kStateAged:
      age_snapshots(age);
      break;
    default:
      break;
  }
}

void StateDirectoryFaults::remove_all() {
  for (const auto& entry : fs::directory_iterator(directory_)) {
    fs::remove_all(entry.path());
  }
}

void StateDirectoryFaults::save_copy() {
  saved_files_.clear();
  for (const fs::path& file : regular_files(directory_)) {
    saved_files_[file.filename().string()] = read_file(file);
  }
}

void StateDirectoryFaults::restore_copy() {
  for (const fs::path& file : regular_files(directory_)) {
    if (!saved_files_.contains(file.filename().string())) {
      fs::remove(file);
    }
  }
  for (const auto& [name, text] : saved_files_) {
    write_file(directory_ / name, text);
  }
}

void StateDirectoryFaults::damage_files(Damage damage) {
  for (const fs::path& file : regular_files(directory_)) {
    std::string text = read_file(file);
    if (text.empty()) {
      continue;
    }
    if (damage == Damage::kTruncate) {
      text.resize(text.size() / 2);
    } else {
      char& byte = text[random_.below(text.size())];
      byte = static_cast<char>(byte ^ (1 << random_.below(8)));
    }
    write_file(file, text);
  }
}

void StateDirectoryFaults::age_snapshots(std::chrono::milliseconds age) {
  for (const fs::path& file : regular_files(directory_)) {
    auto snapshot = snapshot::decode(read_file(file));
    if (!snapshot) {
      continue;
    }
    snapshot->written_at -= age;
    for (snapshot::EndpointRecord& record : snapshot->records) {
      record.recorded_at -= age;
    }
    write_file(file, snapshot::encode(*snapshot));
  }
}

void StateDirectoryFaults::block_writes(FaultKind kind) {
  std::error_code ignored;
  fs::remove_all(temporary_file_, ignored);
  if (kind == FaultKind::kDiskFull) {
    fs::create_symlink("/dev/full", temporary_file_, ignored);
  }
  if (kind == FaultKind::kDiskGone) {
    fs::create_directory(temporary_file_, ignored);
  }
  if (kind == FaultKind::kDiskHangs) {
    ::mkfifo(temporary_file_.c_str(), 0600);  // blocks a writer's open() until there is a reader
  }
}

void StateDirectoryFaults::unblock_writes() {
  std::error_code ignored;
  if (fs::is_fifo(temporary_file_, ignored)) {
    pipe_reader_ =
        net::FileDescriptor(::open(temporary_file_.c_str(), O_RDONLY | O_NONBLOCK | O_CLOEXEC));
  }
  fs::remove_all(temporary_file_, ignored);
}

}  // namespace beechhill::testbed
