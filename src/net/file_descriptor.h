// Ownership of a file descriptor.
#pragma once

#include <utility>

namespace beechhill::net {

/// Owns a file descriptor, or none, and closes it at its end. Move-only.
class Fd {
 public:
  Fd() = default;
  /// Takes over `fd`; a negative one is none.
  explicit Fd(int fd) : fd_(fd) {}
  Fd(Fd&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
  Fd& operator=(Fd&& other) noexcept {
    std::swap(fd_, other.fd_);
    return *this;
  }
  ~Fd();

  int get() const { return fd_; }
  explicit operator bool() const { return fd_ >= 0; }

 private:
  int fd_ = -1;
};

}  // namespace beechhill::net
