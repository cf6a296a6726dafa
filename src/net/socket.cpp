#include "net/socket.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <charconv>
#include <stdexcept>
#include <system_error>

namespace beechhill::net {

using runtime::Clock;
using runtime::Task;
using runtime::TimePoint;
using runtime::Wait;
using runtime::Wake;

namespace {

constexpr std::size_t kReadSize = 16 * 1024;
constexpr std::size_t kDiscardSize = 1024 * 1024;
constexpr std::size_t kTurn =
    64 * 1024;  // bytes that one stream may read before the others have theirs

bool would_block() {
  return errno == EAGAIN || errno == EWOULDBLOCK;
}

Fd new_socket() {
  return Fd(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
}

Fd listening(const sockaddr_in& address) {
  Fd fd = new_socket();
  const int on = 1;
  if (!fd || ::setsockopt(fd.get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on) < 0 ||
      ::bind(fd.get(), reinterpret_cast<const sockaddr*>(&address), sizeof address) < 0 ||
      ::listen(fd.get(), SOMAXCONN) < 0) {
    throw std::system_error(errno, std::generic_category(), "listen on " + to_string(address));
  }
  return fd;
}

}  // namespace

Fd::~Fd() {
  if (fd_ >= 0) {
    ::close(fd_);
  }
}

std::optional<sockaddr_in> parse_address(std::string_view text) {
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  const std::string host(text.substr(0, colon));
  const std::string_view digits = text.substr(colon + 1);
  std::uint16_t port = 0;
  const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  if (error != std::errc{} || end != digits.data() + digits.size() ||
      ::inet_pton(AF_INET, host.c_str(), &address.sin_addr) != 1) {
    return std::nullopt;
  }
  return address;
}
std::string to_string(const sockaddr_in& address) {
  std::array<char, INET_ADDRSTRLEN> host{};
  ::inet_ntop(AF_INET, &address.sin_addr, host.data(), host.size());
  return std::string(host.data()) + ":" + std::to_string(ntohs(address.sin_port));
}

bool same(const sockaddr_in& a, const sockaddr_in& b) {
  return a.sin_addr.s_addr == b.sin_addr.s_addr && a.sin_port == b.sin_port;
}

Stream::Stream(runtime::Scheduler& scheduler, Fd fd)
    : scheduler_(scheduler), fd_(std::move(fd)), io_(scheduler, fd_.get()) {
  const int on = 1;
  ::setsockopt(fd_.get(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

Task<std::unique_ptr<Stream>> Stream::connect(runtime::Scheduler& scheduler, sockaddr_in to,
                                              TimePoint deadline) {
  Fd fd = new_socket();
  if (!fd) {
    co_return nullptr;
  }
  const int raw = fd.get();
  const int started = ::connect(raw, reinterpret_cast<const sockaddr*>(&to), sizeof to);
  if (started < 0 && errno != EINPROGRESS) {
    co_return nullptr;
  }
  auto stream = std::make_unique<Stream>(scheduler, std::move(fd));
  if (started < 0) {
    Wait wait(scheduler);
    wait.writable(stream->io_).until(deadline);
    if (co_await wait != Wake::kWritable) {
      co_return nullptr;
    }
    int error = 0;
    socklen_t size = sizeof error;
    if (::getsockopt(raw, SOL_SOCKET, SO_ERROR, &error, &size) < 0 || error != 0) {
      co_return nullptr;
    }
  }
  co_return stream;
}

// What is there now; nothing where one must wait. Apart from read(), whose every frame would hold
// the array.
std::optional<Io> Stream::read_now(std::string& buffer) {
  std::array<char, kReadSize> chunk;
  for (;;) {
    const ssize_t n = ::recv(fd_.get(), chunk.data(), chunk.size(), 0);
    if (n > 0) {
      buffer.append(chunk.data(), static_cast<std::size_t>(n));
    }
    if (n > 0) {
      turn_ += static_cast<std::size_t>(n);
    }
    if (n >= 0) {
      return n > 0 ? Io::kOk : Io::kEof;
    }
    if (errno == EINTR) {
      continue;
    }
    return would_block() ? std::nullopt : std::optional(Io::kError);
  }
}

std::optional<Io> Stream::discard_now() {
  for (;;) {
    const ssize_t n =
        ::recv(fd_.get(), nullptr, kDiscardSize, MSG_TRUNC);  // TCP drops them uncopied
    if (n >= 0) {
      return n > 0 ? Io::kOk : Io::kEof;
    }
    if (errno == EINTR) {
      continue;
    }
    return would_block() ? std::nullopt : std::optional(Io::kError);
  }
}

Task<Io> Stream::read(std::string& buffer, TimePoint deadline, runtime::Notifier* notifier) {
  if (std::exchange(turn_, turn_ < kTurn ? turn_ : 0) >= kTurn) {
    Wait others(scheduler_);
    others.until(Clock::now());
    co_await others;
  }
  for (bool late = false;;) {
    if (const auto io = read_now(buffer)) {
      co_return *io;
    }
    if (late) {
      co_return Io::kTimeout;
    }
    turn_ = 0;
    Wait wait(scheduler_);
    wait.readable(io_).until(deadline);
    if (notifier) {
      wait.notified(*notifier);
    }
    const Wake wake = co_await wait;
    if (wake == Wake::kNotified) {
      co_return Io::kNotified;
    }
    late = wake ==
           Wake::kTime;  // guards against a time-out with bytes there, the program having been slow
  }
}

Task<Io> Stream::await_end(TimePoint deadline, runtime::Notifier& notifier) {
  while (!io_.ended()) {
    Wait wait(scheduler_);
    wait.readable(io_).until(deadline).notified(notifier);
    const Wake wake = co_await wait;
    if (wake == Wake::kNotified) {
      co_return Io::kNotified;
    }
    if (wake == Wake::kTime && !io_.ended()) {
      co_return Io::kTimeout;
    }
  }
  co_return Io::kEof;
}

Task<Io> Stream::write(std::string_view bytes, TimePoint deadline) {
  while (!bytes.empty()) {
    const ssize_t n = ::send(fd_.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (n >= 0) {
      bytes.remove_prefix(static_cast<std::size_t>(n));
      continue;
    }
    if (errno == EINTR) {
      continue;
    }
    if (!would_block()) {
      co_return Io::kError;
    }
    Wait wait(scheduler_);
    wait.writable(io_).until(deadline);
    if (co_await wait == Wake::kTime) {
      co_return Io::kTimeout;
    }
  }
  co_return Io::kOk;
}

bool Stream::stale() {
  char byte = 0;
  return ::recv(fd_.get(), &byte, 1, MSG_PEEK) >= 0 || !would_block();
}

void Stream::end_sending() {
  ::shutdown(fd_.get(), SHUT_WR);
}

Task<> Stream::linger(TimePoint deadline, runtime::Notifier& notifier) {
  end_sending();
  for (;;) {
    const auto io = discard_now();
    if (io && *io != Io::kOk) {
      co_return;
    }
    Wait wait(scheduler_);
    wait.until(io ? Clock::now() : deadline)
        .notified(notifier);  // others have a turn after each part
    if (!io) {
      wait.readable(io_);
    }
    const Wake wake = co_await wait;
    if (wake == Wake::kNotified || Clock::now() >= deadline) {
      co_return;
    }
  }
}

Task<> Stream::linger_unread(TimePoint deadline, runtime::Notifier& notifier) {
  end_sending();
  co_await await_end(deadline, notifier);
}

Listener::Listener(runtime::Scheduler& scheduler, const sockaddr_in& address)
    : scheduler_(scheduler), fd_(listening(address)), io_(scheduler, fd_.get()) {
}

namespace {

Fd checked(Fd fd) {
  int listens = 0, protocol = 0;
  sockaddr_in address{};
  socklen_t size = sizeof listens, protocol_size = sizeof protocol, address_size = sizeof address;
  const bool tcp =
      ::getsockopt(fd.get(), SOL_SOCKET, SO_ACCEPTCONN, &listens, &size) == 0 && listens != 0 &&
      ::getsockopt(fd.get(), SOL_SOCKET, SO_PROTOCOL, &protocol, &protocol_size) == 0 &&
      protocol == IPPROTO_TCP &&
      ::getsockname(fd.get(), reinterpret_cast<sockaddr*>(&address), &address_size) == 0 &&
      address.sin_family == AF_INET;
  const int flags = tcp ? ::fcntl(fd.get(), F_GETFL) : -1;
  if (flags < 0 || ::fcntl(fd.get(), F_SETFL, flags | O_NONBLOCK) < 0) {
    throw std::invalid_argument("GW_FD: not a listening IPv4 TCP socket");
  }
  return fd;
}

}  // namespace

Listener::Listener(runtime::Scheduler& scheduler, Fd listening)
    : scheduler_(scheduler), fd_(checked(std::move(listening))), io_(scheduler, fd_.get()) {
}

Io Listener::accept_now(Fd& taken, sockaddr_in& from) {
  for (;;) {
    socklen_t size = sizeof from;
    taken = Fd(::accept4(fd_.get(), reinterpret_cast<sockaddr*>(&from), &size,
                         SOCK_NONBLOCK | SOCK_CLOEXEC));
    if (taken) {
      return Io::kOk;
    }
    // Guards against dying of a connection that was reset in the backlog.
    if (errno == EINTR || errno == ECONNABORTED) {
      continue;
    }
    return would_block() ? Io::kTimeout : Io::kError;
  }
}

Task<Io> Listener::accept(TimePoint deadline, Fd& taken, sockaddr_in& from,
                          runtime::Notifier* notifier) {
  for (;;) {
    if (const Io io = accept_now(taken, from); io != Io::kTimeout) {
      co_return io;
    }
    Wait wait(scheduler_);
    wait.readable(io_).until(deadline);
    if (notifier) {
      wait.notified(*notifier);
    }
    const Wake wake = co_await wait;
    if (wake == Wake::kTime) {
      co_return Io::kTimeout;
    }
    if (wake == Wake::kNotified) {
      co_return Io::kNotified;
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
