#include "net/listener.h"

#include <fcntl.h>
#include <sys/socket.h>

#include <cerrno>
#include <stdexcept>
#include <system_error>
#include <utility>

#include "net/address.h"
#include "net/socket_internal.h"

namespace beechhill::net {

using runtime::Task;
using runtime::TimePoint;
using runtime::Wait;
using runtime::Wake;

namespace {

FileDescriptor listen_on(const sockaddr_in& address) {
  FileDescriptor fd = new_tcp_socket();
  const int enabled = 1;
  if (!fd || ::setsockopt(fd.get(), SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled) < 0 ||
      ::bind(fd.get(), reinterpret_cast<const sockaddr*>(&address), sizeof address) < 0 ||
      ::listen(fd.get(), SOMAXCONN) < 0) {
    throw std::system_error(errno, std::generic_category(),
                            "cannot listen on TCP address " + to_string(address));
  }
  return fd;
}

bool has_socket_option(const FileDescriptor& fd, int option, int expected) {
  int value = 0;
  socklen_t size = sizeof value;
  return ::getsockopt(fd.get(), SOL_SOCKET, option, &value, &size) == 0 && value == expected;
}

bool is_ipv4(const FileDescriptor& fd) {
  sockaddr_in address{};
  socklen_t size = sizeof address;
  return ::getsockname(fd.get(), reinterpret_cast<sockaddr*>(&address), &size) == 0 &&
         address.sin_family == AF_INET;
}

// Makes `fd` non-blocking and returns it. Throws std::invalid_argument if it is not a listening
// IPv4 TCP socket.
FileDescriptor check_listening(FileDescriptor fd) {
  const bool listening_tcp = has_socket_option(fd, SO_ACCEPTCONN, 1) &&
                             has_socket_option(fd, SO_PROTOCOL, IPPROTO_TCP) && is_ipv4(fd);
  const int flags = listening_tcp ? ::fcntl(fd.get(), F_GETFL) : -1;
  if (flags < 0 || ::fcntl(fd.get(), F_SETFL, flags | O_NONBLOCK) < 0) {
    throw std::invalid_argument("GW_FD: not a listening IPv4 TCP socket");
  }
  return fd;
}

}  // namespace

Listener::Listener(runtime::Scheduler& scheduler, const sockaddr_in& address)
    : scheduler_(scheduler), fd_(listen_on(address)), io_(scheduler, fd_.get()) {
}

Listener::Listener(runtime::Scheduler& scheduler, FileDescriptor listening)
    : scheduler_(scheduler), fd_(check_listening(std::move(listening))), io_(scheduler, fd_.get()) {
}

IoResult Listener::accept_now(FileDescriptor& accepted, sockaddr_in& from) {
  for (;;) {
    socklen_t size = sizeof from;
    accepted = FileDescriptor(::accept4(fd_.get(), reinterpret_cast<sockaddr*>(&from), &size,
                                        SOCK_NONBLOCK | SOCK_CLOEXEC));
    if (accepted) {
      return IoResult::kOk;
    }
    // ECONNABORTED reports that a pending connection was reset. Another one may be pending.
    if (errno == EINTR || errno == ECONNABORTED) {
      continue;
    }
    return would_block() ? IoResult::kTimeout : IoResult::kError;
  }
}

Task<IoResult> Listener::accept(TimePoint deadline, FileDescriptor& accepted, sockaddr_in& from,
                                runtime::Notifier* notifier) {
  for (;;) {
    if (const IoResult result = accept_now(accepted, from); result != IoResult::kTimeout) {
      co_return result;
    }
    Wait wait(scheduler_);
    wait.readable(io_).until(deadline);
    if (notifier) {
      wait.notified(*notifier);
    }
    const Wake wake = co_await wait;
    if (wake == Wake::kTime) {
      co_return IoResult::kTimeout;
    }
    if (wake == Wake::kNotified) {
      co_return IoResult::kNotified;
    }
  }
}

sockaddr_in Listener::address() const {
  sockaddr_in address{};
  socklen_t size = sizeof address;
  ::getsockname(fd_.get(), reinterpret_cast<sockaddr*>(&address), &size);
  return address;
}

}  // namespace beechhill::net
