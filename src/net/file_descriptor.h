// An owning wrapper of a file descriptor.
#pragma once

#include <utility>

namespace beechhill::net {

/// Owns at most one file descriptor and closes it on destruction. Move-only.
class FileDescriptor {
 public:
  FileDescriptor() = default;
  /// Takes ownership of `fd`. A negative value leaves the object empty.
  explicit FileDescriptor(int fd) : fd_(fd) {}
  FileDescriptor(FileDescriptor&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
  FileDescriptor& operator=(FileDescriptor&& other) noexcept {
    std::swap(fd_, other.fd_);
    return *this;
  }
  ~FileDescriptor();

  int get() const { return fd_; }
  explicit operator bool() const { return fd_ >= 0; }

 private:
  int fd_ = -1;
};

}  // namespace beechhill::net
