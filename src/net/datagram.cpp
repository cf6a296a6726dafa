#include "net/datagram.h"

#include <sys/socket.h>

#include <cerrno>
#include <system_error>

namespace beechhill::net {
namespace {

Fd bound(const sockaddr_in& address) {
  Fd fd(::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  if (!fd || ::bind(fd.get(), reinterpret_cast<const sockaddr*>(&address), sizeof address) < 0) {
    throw std::system_error(errno, std::generic_category(),
                            "cannot listen on " + to_string(address));
  }
  return fd;
}

}  // namespace

DatagramSocket::DatagramSocket(runtime::Scheduler& scheduler, const sockaddr_in& address)
    : fd_(bound(address)), io_(scheduler, fd_.get()) {
}

std::optional<std::string> DatagramSocket::take(sockaddr_in& from) {
  char chunk[2048];
  for (;;) {
    socklen_t size = sizeof from;
    const ssize_t n =
        ::recvfrom(fd_.get(), chunk, sizeof chunk, 0, reinterpret_cast<sockaddr*>(&from), &size);
    if (n >= 0) {
      return std::string(chunk, static_cast<std::size_t>(n));
    }
    if (errno == EAGAIN || errno == EWOULDBLOCK) {
      return std::nullopt;
    }
    // Else a refusal that an earlier datagram met: it says nothing of the next.
    if (errno != EINTR && errno != ECONNREFUSED) {
      return std::nullopt;
    }
  }
}

void DatagramSocket::send(const sockaddr_in& to, std::string_view bytes) {
  (void)!::sendto(fd_.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL,
                  reinterpret_cast<const sockaddr*>(&to), sizeof to);
}

sockaddr_in DatagramSocket::address() const {
  sockaddr_in at{};
  socklen_t size = sizeof at;
  ::getsockname(fd_.get(), reinterpret_cast<sockaddr*>(&at), &size);
  return at;
}

}  // namespace beechhill::net
