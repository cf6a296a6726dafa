// Ports on loopback that stay the same while the process that listens on them comes and goes.
#pragma once

#include "net/socket.h"

namespace beechhill::testbed {

/// Reserves a free port on loopback for as long as it lives. Whoever gets its number may listen on
/// it, again and again; the system gives it to nobody else meanwhile.
class ReservedPort {
 public:
  /// Throws std::runtime_error where no port is free.
  ReservedPort();
  const sockaddr_in& address() const { return address_; }

 private:
  net::FileDescriptor fd_;
  sockaddr_in address_{};
};

}  // namespace beechhill::testbed
