// Loopback ports that stay reserved while the processes that listen on them restart.
#pragma once

#include "net/socket.h"

namespace beechhill::testbed {

/// Reserves a free loopback port for the lifetime of the object. Any process may listen on the
/// port, repeatedly; the system does not assign it to other sockets in the meantime.
class ReservedPort {
 public:
  /// Throws std::runtime_error if no port is free.
  ReservedPort();
  const sockaddr_in& address() const { return address_; }

 private:
  net::FileDescriptor fd_;
  sockaddr_in address_{};
};

}  // namespace beechhill::testbed
