// One process's file in the shared directory. The process holds a lock on it for as long as it
// lives, so that the kernel tells the others whether it is alive, however it ended; the file's
// content is what it publishes about itself.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <type_traits>

#include "net/socket.h"

namespace beechhill::hot_restart {

class ProcessLivenessLock {
 public:
  /// The file's content, in the machine's own byte order: all its readers are on this machine.
  struct Status {
    /// 1 where the process accepts clients, else 0.
    std::uint32_t ready = 0;
    /// File descriptors that its connections hold.
    std::uint32_t descriptors = 0;
  };
  static_assert(sizeof(Status) == 8 && std::is_trivially_copyable_v<Status>);

  /// Holds no lock.
  ProcessLivenessLock() = default;
  /// Creates or empties the file and locks it. Throws std::system_error where either fails.
  explicit ProcessLivenessLock(const std::string& path);

  /// Returns false, with errno set, where the status could not be written.
  bool publish(Status status);

  /// Returns the status of the process whose file is at `path`, or nothing where there is none or
  /// it is not alive. A process that has published nothing yet has Status's defaults.
  static std::optional<Status> read_if_alive(const std::string& path);

 private:
  net::FileDescriptor file_;
};

}  // namespace beechhill::hot_restart
