// A listening socket on which a test acts as a backend or as the discovery service.
#pragma once

#include <poll.h>
#include <sys/socket.h>

#include <string>

#include "net/socket.h"
#include "support/deployment_json.h"
#include "support/require.h"
#include "support/test_connection.h"

namespace beechhill::test {

// Listens on a free loopback port. The test accepts each connection and answers its requests.
class FakeListener {
 public:
  FakeListener() : fd_(::socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in bind_address = *net::parse_address("127.0.0.1:0");
    require(::bind(fd_.get(), reinterpret_cast<const sockaddr*>(&bind_address),
                   sizeof bind_address) == 0);
    require(::listen(fd_.get(), 64) == 0);
  }
  std::string address() const {
    sockaddr_in bound{};
    socklen_t size = sizeof bound;
    ::getsockname(fd_.get(), reinterpret_cast<sockaddr*>(&bound), &size);
    return net::to_string(bound);
  }
  // Returns whether a connection to accept arrives within `timeout`.
  bool pending(std::chrono::milliseconds timeout) const {
    pollfd polled{fd_.get(), POLLIN, 0};
    return ::poll(&polled, 1, static_cast<int>(timeout.count())) > 0;
  }
  int fd() const { return fd_.get(); }
  // Waits up to kTestTimeout for a connection and accepts it.
  TestConnection accept() const {
    require(pending(kTestTimeout));
    return TestConnection(
        net::FileDescriptor(::accept4(fd_.get(), nullptr, nullptr, SOCK_CLOEXEC)));
  }

 private:
  net::FileDescriptor fd_;
};

// Returns an endpoint list with the one endpoint "s-1" at the listener's address.
inline std::string single_backend_list(const FakeListener& backend) {
  return "[" + host_json("s-1", backend.address()) + "]";
}

}  // namespace beechhill::test
