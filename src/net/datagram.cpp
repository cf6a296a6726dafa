#include "net/datagram.h"

#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <system_error>

namespace beechhill::net {
namespace {

constexpr std::size_t kReceiveBufferBytes = 2048;

FileDescriptor bind_to(const sockaddr_in& address) {
  FileDescriptor fd(::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  if (!fd || ::bind(fd.get(), reinterpret_cast<const sockaddr*>(&address), sizeof address) < 0) {
    throw std::system_error(errno, std::generic_category(),
                            "cannot bind UDP socket to " + to_string(address));
  }
  return fd;
}

}  // namespace

DatagramSocket::DatagramSocket(runtime::Scheduler& scheduler, const sockaddr_in& address)
    : fd_(bind_to(address)), io_(scheduler, fd_.get()) {
}

std::optional<std::string> DatagramSocket::take(sockaddr_in& from) {
  std::array<char, kReceiveBufferBytes> buffer;
  for (;;) {
    socklen_t from_size = sizeof from;
    const ssize_t size = ::recvfrom(fd_.get(), buffer.data(), buffer.size(), 0,
                                    reinterpret_cast<sockaddr*>(&from), &from_size);
    if (size >= 0) {
      return std::string(buffer.data(), static_cast<std::size_t>(size));
    }
    // ECONNREFUSED reports that a datagram sent earlier was not delivered. A received datagram may
    // still be pending.
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
  sockaddr_in address{};
  socklen_t size = sizeof address;
  ::getsockname(fd_.get(), reinterpret_cast<sockaddr*>(&address), &size);
  return address;
}

}  // namespace beechhill::net
