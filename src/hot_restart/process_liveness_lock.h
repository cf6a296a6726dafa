// A file in the shared directory that shows whether its process is alive. The process holds a lock
// on the file, which the kernel releases however the process ends. The content of the file is the
// status that the process publishes.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <type_traits>

#include "net/socket.h"

namespace beechhill::hot_restart {

/// Holds the lock on the liveness file of this process, and publishes its status in the file.
class ProcessLivenessLock {
 public:
  /// The content of the file, in native byte order, since all readers are on the same machine.
  struct Status {
    /// 1 if the process accepts clients, otherwise 0.
    std::uint32_t ready = 0;
    /// Number of file descriptors used by connections, plus those that the process reserves for
    /// other uses.
    std::uint32_t descriptors = 0;
  };
  static_assert(sizeof(Status) == 8 && std::is_trivially_copyable_v<Status>);

  /// Creates an object that holds no lock.
  ProcessLivenessLock() = default;
  /// Creates or truncates the file at `path` and locks it. Throws std::system_error on failure.
  explicit ProcessLivenessLock(const std::string& path);

  /// Returns false and sets errno if the status could not be written.
  bool publish(Status status);

  /// Returns the status of the process whose file is at `path`, or nothing if the file cannot be
  /// opened or is not locked. Returns a default Status if the process has not published one yet.
  static std::optional<Status> read_if_alive(const std::string& path);

 private:
  net::FileDescriptor file_;
};

}  // namespace beechhill::hot_restart
