// A listening socket on loopback, where a test plays a backend or discovery.
#pragma once

#include <poll.h>
#include <sys/socket.h>

#include <string>

#include "net/socket.h"
#include "support/deployment_json.h"
#include "support/require.h"
#include "support/test_connection.h"

namespace beechhill::test {

class FakeListener {  // where a backend or discovery listens
 public:
  FakeListener() : fd_(::socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in any = *net::parse_address("127.0.0.1:0");
    require(::bind(fd_.get(), reinterpret_cast<const sockaddr*>(&any), sizeof any) == 0);
    require(::listen(fd_.get(), 64) == 0);
  }
  std::string address() const {
    sockaddr_in at{};
    socklen_t size = sizeof at;
    ::getsockname(fd_.get(), reinterpret_cast<sockaddr*>(&at), &size);
    return net::to_string(at);
  }
  bool pending(std::chrono::milliseconds within) const {
    pollfd p{fd_.get(), POLLIN, 0};
    return ::poll(&p, 1, static_cast<int>(within.count())) > 0;
  }
  int fd() const { return fd_.get(); }
  TestConnection accept() const {
    require(pending(kTestTimeout));
    return TestConnection(
        net::FileDescriptor(::accept4(fd_.get(), nullptr, nullptr, SOCK_CLOEXEC)));
  }

 private:
  net::FileDescriptor fd_;
};

inline std::string single_backend_list(const FakeListener& backend) {
  return "[" + host_json("s-1", backend.address()) + "]";
}

}  // namespace beechhill::test
