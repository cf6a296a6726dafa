#include "testbed/state_directory_faults.h"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <fstream>
#include <iterator>

#include "snapshot/snapshot.h"

namespace beechhill::testbed {

using emulator::FaultKind;
namespace fs = std::filesystem;

namespace {

constexpr std::uint64_t kStateStream = 1ULL << 38;  // apart from nodes, proxies, faults and plans

std::string contents(const fs::path& file) {
  std::ifstream in(file, std::ios::binary);
  return {std::istreambuf_iterator<char>(in), {}};
}

void put(const fs::path& file, const std::string& text) {
  std::ofstream(file, std::ios::binary | std::ios::trunc) << text;
}

}  // namespace

StateDirectoryFaults::StateDirectoryFaults(fs::path folder, std::string aside, std::uint64_t seed)
    : folder_(std::move(folder)),
      aside_(folder_ / aside),
      random_(seed, emulator::Actor::kFaults, kStateStream) {
  fs::create_directories(folder_);
}

StateDirectoryFaults::~StateDirectoryFaults() {
  unblock();
}

void StateDirectoryFaults::strike(FaultKind kind, bool begins, std::chrono::milliseconds by) {
  switch (kind) {
    case FaultKind::kStateLost:
      if (begins) {
        for (const auto& entry : fs::directory_iterator(folder_)) {
          fs::remove_all(entry.path());
        }
      }
      break;
    case FaultKind::kStateOld:
      begins ? remember() : put_back();
      break;
    case FaultKind::kStateTorn:
    case FaultKind::kStateFlipped:
      if (begins) {
        damage(kind == FaultKind::kStateTorn);
      }
      break;
    case FaultKind::kStateAged:
      if (begins) {
        age(by);
      }
      break;
    case FaultKind::kDiskFull:
    case FaultKind::kDiskHangs:
    case FaultKind::kDiskGone:
      unblock();
      if (begins) {
        block(kind);
      }
      break;
    default:
      break;
  }
}

void StateDirectoryFaults::remember() {
  copy_.clear();
  for (const auto& entry : fs::directory_iterator(folder_)) {
    if (entry.is_regular_file()) {
      copy_[entry.path().filename().string()] = contents(entry.path());
    }
  }
}

void StateDirectoryFaults::put_back() {
  for (const auto& entry : fs::directory_iterator(folder_)) {
    if (entry.is_regular_file() && !copy_.contains(entry.path().filename().string())) {
      fs::remove(entry.path());
    }
  }
  for (const auto& [name, text] : copy_) {
    put(folder_ / name, text);
  }
}

void StateDirectoryFaults::damage(bool cut) {
  for (const auto& entry : fs::directory_iterator(folder_)) {
    if (!entry.is_regular_file()) {
      continue;
    }
    std::string text = contents(entry.path());
    if (text.empty()) {
      continue;
    }
    if (cut) {
      text.resize(text.size() / 2);
    } else {
      char& byte = text[random_.below(text.size())];
      byte = static_cast<char>(byte ^ (1 << random_.below(8)));
    }
    put(entry.path(), text);
  }
}

void StateDirectoryFaults::age(std::chrono::milliseconds by) {
  for (const auto& entry : fs::directory_iterator(folder_)) {
    auto snapshot =
        entry.is_regular_file() ? snapshot::decode(contents(entry.path())) : std::nullopt;
    if (!snapshot) {
      continue;
    }
    snapshot->written_at -= by;
    for (snapshot::EndpointRecord& row : snapshot->records) {
      row.recorded_at -= by;
    }
    put(entry.path(), snapshot::encode(*snapshot));
  }
}

void StateDirectoryFaults::block(FaultKind kind) {
  std::error_code none;
  fs::remove_all(aside_, none);
  if (kind == FaultKind::kDiskFull) {
    fs::create_symlink("/dev/full", aside_, none);
  }
  if (kind == FaultKind::kDiskGone) {
    fs::create_directory(aside_, none);
  }
  if (kind == FaultKind::kDiskHangs) {
    ::mkfifo(aside_.c_str(), 0600);  // whoever opens it to write waits for a reader
  }
}

void StateDirectoryFaults::unblock() {
  std::error_code none;
  if (fs::is_fifo(aside_, none)) {
    drain_ = net::Fd(::open(aside_.c_str(), O_RDONLY | O_NONBLOCK | O_CLOEXEC));
  }
  fs::remove_all(aside_, none);
}

}  // namespace beechhill::testbed
