#include "testbed/reserved_port.h"

#include <sys/socket.h>

#include <stdexcept>

#include "testbed/server_io.h"

namespace beechhill::testbed {

// The socket is bound with SO_REUSEADDR and never listens. Listeners with the same option can bind
// the port too, and the system does not choose it for a socket that binds to port 0.
ReservedPort::ReservedPort()
    : fd_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)), address_(any_loopback_port()) {
  const int on = 1;
  socklen_t size = sizeof address_;
  sockaddr* const address = reinterpret_cast<sockaddr*>(&address_);
  if (!fd_ || ::setsockopt(fd_.get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on) < 0 ||
      ::bind(fd_.get(), address, size) < 0 || ::getsockname(fd_.get(), address, &size) < 0) {
    throw std::runtime_error("no port on loopback is free");
  }
}

}  // namespace beechhill::testbed
