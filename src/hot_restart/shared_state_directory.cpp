#include "hot_restart/shared_state_directory.h"

#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <system_error>

#include "log/log.h"

namespace beechhill::hot_restart {
namespace {

constexpr std::uint64_t kLookBack = 8;  // generations that may still be ending
constexpr std::size_t kMostBytes = 4 * 1024 * 1024;
constexpr int kLockTries = 200;  // of 5 ms, while starting

[[noreturn]] void fail(const std::string& what) {
  throw std::system_error(errno, std::generic_category(), what);
}

net::Fd opened(const std::string& path, int flags) {
  return net::Fd(::open(path.c_str(), flags | O_CLOEXEC, 0600));
}

}  // namespace

SharedStateDirectory::SharedStateDirectory(std::string path, std::string name) {
  std::replace(name.begin(), name.end(), '/', '_');
  base_ = std::move(path) + "/beechhill-" + name;
  std::optional<net::Fd> held;
  for (int n = 0; !(held = lock()); ++n) {
    if (n >= kLockTries) {
      fail("lock in " + base_);
    }
    ::usleep(5000);  // before anything is served
  }
  read();
  generation_ = ++state_.generation;
  own_ = opened(of(generation_), O_RDWR | O_CREAT | O_TRUNC);
  if (!own_ || ::flock(own_.get(), LOCK_EX | LOCK_NB) < 0) {
    fail("presence in " + base_);
  }
  if (generation_ > kLookBack) {
    ::unlink(of(generation_ - kLookBack).c_str());
  }
  publish(false, 0);
  write();
}

std::string SharedStateDirectory::of(std::uint64_t generation) const {
  return base_ + ".process-" + std::to_string(generation);
}

std::optional<net::Fd> SharedStateDirectory::lock() const {
  net::Fd fd = opened(base_ + ".lock", O_RDWR | O_CREAT);
  if (!fd) {
    fail("open " + base_ + ".lock");
  }
  if (::flock(fd.get(), LOCK_EX | LOCK_NB) < 0) {
    return std::nullopt;
  }
  return fd;
}

std::optional<SharedStateDirectory::Version> SharedStateDirectory::version_now() const {
  struct stat about{};
  if (::stat((base_ + ".state").c_str(), &about) < 0) {
    return std::nullopt;
  }
  return Version{about.st_ino, about.st_mtim.tv_sec, about.st_mtim.tv_nsec};
}

void SharedStateDirectory::read() {
  const std::string path = base_ + ".state";
  seen_ = version_now();  // first: what is replaced meanwhile is read again
  const net::Fd fd = opened(path, O_RDONLY);
  struct stat about{};
  if (!fd || ::fstat(fd.get(), &about) < 0) {
    return;  // the first process: there is none
  }
  std::string text(std::min<std::size_t>(static_cast<std::size_t>(about.st_size), kMostBytes),
                   '\0');
  const ssize_t n = ::read(fd.get(), text.data(), text.size());
  text.resize(n > 0 ? static_cast<std::size_t>(n) : 0);
  if (auto state = decode(text)) {
    state->generation = std::max(state->generation, state_.generation);
    state_ = std::move(*state);
    return;
  }
  // What this process holds goes on to count; nobody reads the faulty one again.
  std::rename(path.c_str(), (path + ".faulty").c_str());
  log::warning("handover_set_aside", {{"file", std::string_view(path)}});
}

void SharedStateDirectory::write() {
  const std::string path = base_ + ".state", fresh = path + ".new", text = encode(state_);
  const net::Fd fd = opened(fresh, O_WRONLY | O_CREAT | O_TRUNC);
  if (!fd || ::write(fd.get(), text.data(), text.size()) != static_cast<ssize_t>(text.size())) {
    fail("write " + fresh);
  }
  if (std::rename(fresh.c_str(), path.c_str()) < 0) {
    fail("replace " + path);
  }
  seen_ = version_now();
}

bool SharedStateDirectory::refresh() {
  if (version_now() == seen_) {
    return false;
  }
  read();
  return true;
}

bool SharedStateDirectory::change(StateChange change, const std::string& host) {
  const auto held = lock();
  if (!held) {
    return false;
  }
  refresh();
  apply(state_, change, host);
  write();
  return true;
}

void SharedStateDirectory::publish(bool ready, std::uint32_t descriptors) {
  const Presence now{ready ? 1U : 0U, descriptors};
  if (::pwrite(own_.get(), &now, sizeof now, 0) != sizeof now) {
    log::warning("handover_unpublished", {});
  }
}

SharedStateDirectory::ProcessGroupStatus SharedStateDirectory::process_group_status() const {
  ProcessGroupStatus others;
  const std::uint64_t last = state_.generation;
  for (std::uint64_t g = last > kLookBack ? last - kLookBack + 1 : 1; g <= last; ++g) {
    if (g == generation_) {
      continue;
    }
    const net::Fd fd = opened(of(g), O_RDWR);
    if (!fd || ::flock(fd.get(), LOCK_EX | LOCK_NB) == 0) {
      continue;  // it never was, or is gone
    }
    Presence it;
    if (::pread(fd.get(), &it, sizeof it, 0) != sizeof it) {
      it = {};
    }
    ++others.alive;
    others.descriptors += it.descriptors;
    others.successor = others.successor || (g > generation_ && it.ready != 0);
    others.predecessor = others.predecessor || g < generation_;
  }
  return others;
}

}  // namespace beechhill::hot_restart
