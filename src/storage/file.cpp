#include "storage/file.h"

#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstdio>
#include <filesystem>

namespace beechhill::storage {
namespace {

constexpr mode_t kOwnerOnly = 0600;
constexpr std::size_t kReadChunkBytes = std::size_t{16} * 1024;

std::error_code write_all(const net::FileDescriptor& file, std::string_view text) {
  while (!text.empty()) {
    const ssize_t written = ::write(file.get(), text.data(), text.size());
    if (written < 0 && errno == EINTR) {
      continue;
    }
    if (written < 0) {
      return last_error();
    }
    if (written == 0) {  // write(2) made no progress and does not set errno
      return std::make_error_code(std::errc::io_error);
    }
    text.remove_prefix(static_cast<std::size_t>(written));
  }
  return {};
}

std::error_code flush(const net::FileDescriptor& file) {
  return ::fsync(file.get()) < 0 ? last_error() : std::error_code();
}

std::error_code write_new_file(const std::string& path, std::string_view text,
                               Durability durability) {
  const net::FileDescriptor file = open_file(path, O_WRONLY | O_CREAT | O_TRUNC);
  if (!file) {
    return last_error();
  }
  return durability == Durability::kMachineCrash ? write_durably(file, text)
                                                 : write_all(file, text);
}

// Flushes the directory of `path`, which makes a rename in it durable.
std::error_code flush_directory_of(const std::string& path) {
  const net::FileDescriptor directory =
      open_file(std::filesystem::path(path).parent_path().string(), O_RDONLY | O_DIRECTORY);
  return directory ? flush(directory) : last_error();
}

}  // namespace

std::error_code last_error() {
  return {errno, std::generic_category()};
}

net::FileDescriptor open_file(const std::string& path, int flags) {
  return net::FileDescriptor(::open(path.c_str(), flags | O_CLOEXEC, kOwnerOnly));
}

bool try_lock(const net::FileDescriptor& file) {
  return ::flock(file.get(), LOCK_EX | LOCK_NB) == 0;
}

std::optional<std::string> read_file(const std::string& path, std::size_t max_bytes) {
  const net::FileDescriptor file = open_file(path, O_RDONLY);
  if (!file) {
    return std::nullopt;
  }
  std::string text;
  std::array<char, kReadChunkBytes> chunk;
  while (text.size() < max_bytes) {
    const std::size_t wanted = std::min(chunk.size(), max_bytes - text.size());
    const ssize_t received = ::read(file.get(), chunk.data(), wanted);
    if (received < 0 && errno == EINTR) {
      continue;
    }
    if (received <= 0) {
      break;
    }
    text.append(chunk.data(), static_cast<std::size_t>(received));
  }
  return text;
}

std::error_code write_durably(const net::FileDescriptor& file, std::string_view text) {
  if (const std::error_code error = write_all(file, text)) {
    return error;
  }
  return flush(file);
}

std::error_code replace_file(const std::string& path, std::string_view text,
                             Durability durability) {
  const std::string new_path = path + ".new";
  if (const std::error_code error = write_new_file(new_path, text, durability)) {
    return error;
  }
  if (std::rename(new_path.c_str(), path.c_str()) < 0) {
    return last_error();
  }
  return durability == Durability::kMachineCrash ? flush_directory_of(path) : std::error_code();
}

}  // namespace beechhill::storage
