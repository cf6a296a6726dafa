#include "net/stream.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <utility>

#include "net/socket_internal.h"

namespace beechhill::net {

using runtime::Clock;
using runtime::Task;
using runtime::TimePoint;
using runtime::Wait;
using runtime::Wake;

namespace {

// Maximum number of bytes that one call discards.
constexpr std::size_t kDiscardChunkBytes = 1'048'576;
// Maximum number of bytes that one stream reads before it yields to other coroutines.
constexpr std::size_t kMaxBytesPerTurn = 65'536;

}  // namespace

Stream::Stream(runtime::Scheduler& scheduler, FileDescriptor fd)
    : scheduler_(scheduler), fd_(std::move(fd)), io_(scheduler, fd_.get()) {
  const int enabled = 1;
  ::setsockopt(fd_.get(), IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
}

Task<std::unique_ptr<Stream>> Stream::connect(runtime::Scheduler& scheduler, sockaddr_in to,
                                              TimePoint deadline) {
  FileDescriptor fd = new_tcp_socket();
  if (!fd) {
    co_return nullptr;
  }
  const int raw_fd = fd.get();
  const int connect_result = ::connect(raw_fd, reinterpret_cast<const sockaddr*>(&to), sizeof to);
  if (connect_result < 0 && errno != EINPROGRESS) {
    co_return nullptr;
  }
  auto stream = std::make_unique<Stream>(scheduler, std::move(fd));
  if (connect_result < 0) {
    Wait wait(scheduler);
    wait.writable(stream->io_).until(deadline);
    if (co_await wait != Wake::kWritable) {
      co_return nullptr;
    }
    int error = 0;
    socklen_t size = sizeof error;
    if (::getsockopt(raw_fd, SOL_SOCKET, SO_ERROR, &error, &size) < 0 || error != 0) {
      co_return nullptr;
    }
  }
  co_return stream;
}

// Reads the available bytes. Returns nullopt if the caller has to wait. Separate from read() to
// keep the read buffer out of the coroutine frame.
std::optional<IoResult> Stream::read_now(std::string& buffer) {
  std::array<char, kMaxReadBytes> chunk;
  const std::size_t limit =
      max_read_bytes_ ? std::min(*max_read_bytes_, chunk.size()) : chunk.size();
  for (;;) {
    const ssize_t size = ::recv(fd_.get(), chunk.data(), limit, 0);
    if (size > 0) {
      buffer.append(chunk.data(), static_cast<std::size_t>(size));
      bytes_this_turn_ += static_cast<std::size_t>(size);
      return IoResult::kOk;
    }
    if (size == 0) {
      return IoResult::kEof;
    }
    if (errno == EINTR) {
      continue;
    }
    return would_block() ? std::nullopt : std::optional(IoResult::kError);
  }
}

std::optional<IoResult> Stream::discard_now() {
  for (;;) {
    // With MSG_TRUNC, TCP discards the bytes without copying them.
    const ssize_t size = ::recv(fd_.get(), nullptr, kDiscardChunkBytes, MSG_TRUNC);
    if (size >= 0) {
      return size > 0 ? IoResult::kOk : IoResult::kEof;
    }
    if (errno == EINTR) {
      continue;
    }
    return would_block() ? std::nullopt : std::optional(IoResult::kError);
  }
}

Task<IoResult> Stream::read(std::string& buffer, TimePoint deadline, runtime::Notifier* notifier) {
  if (bytes_this_turn_ >= kMaxBytesPerTurn) {
    bytes_this_turn_ = 0;
    Wait yield(scheduler_);
    yield.until(Clock::now());
    co_await yield;
  }
  bool timed_out = false;
  for (;;) {
    if (const auto result = read_now(buffer)) {
      co_return *result;
    }
    if (timed_out) {
      co_return IoResult::kTimeout;
    }
    bytes_this_turn_ = 0;
    Wait wait(scheduler_);
    wait.readable(io_).until(deadline);
    if (notifier) {
      wait.notified(*notifier);
    }
    const Wake wake = co_await wait;
    if (wake == Wake::kNotified) {
      co_return IoResult::kNotified;
    }
    // After a time-out, reads once more, as bytes may have arrived before the deadline while this
    // process was delayed.
    timed_out = wake == Wake::kTime;
  }
}

Task<IoResult> Stream::wait_for_peer_close(TimePoint deadline, runtime::Notifier& notifier) {
  while (!io_.ended()) {
    Wait wait(scheduler_);
    wait.readable(io_).until(deadline).notified(notifier);
    const Wake wake = co_await wait;
    if (wake == Wake::kNotified) {
      co_return IoResult::kNotified;
    }
    if (wake == Wake::kTime && !io_.ended()) {
      co_return IoResult::kTimeout;
    }
  }
  co_return IoResult::kEof;
}

Task<IoResult> Stream::write(std::string_view bytes, TimePoint deadline) {
  while (!bytes.empty()) {
    const ssize_t size = ::send(fd_.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (size >= 0) {
      bytes.remove_prefix(static_cast<std::size_t>(size));
      continue;
    }
    if (errno == EINTR) {
      continue;
    }
    if (!would_block()) {
      co_return IoResult::kError;
    }
    Wait wait(scheduler_);
    wait.writable(io_).until(deadline);
    if (co_await wait == Wake::kTime) {
      co_return IoResult::kTimeout;
    }
  }
  co_return IoResult::kOk;
}

UnsolicitedInput Stream::unsolicited_input() {
  char byte = 0;
  const ssize_t size = ::recv(fd_.get(), &byte, 1, MSG_PEEK);
  if (size > 0) {
    return UnsolicitedInput::kBytes;
  }
  return size < 0 && would_block() ? UnsolicitedInput::kNone : UnsolicitedInput::kEnd;
}

void Stream::shutdown_write() {
  ::shutdown(fd_.get(), SHUT_WR);
}

Task<> Stream::lingering_close(TimePoint deadline, runtime::Notifier& notifier) {
  shutdown_write();
  for (;;) {
    const auto result = discard_now();
    if (result && *result != IoResult::kOk) {
      co_return;
    }
    Wait wait(scheduler_);
    wait.notified(notifier);
    if (result) {
      // Yields to other coroutines before reading again, as more bytes may be available at once.
      wait.until(Clock::now());
    } else {
      wait.until(deadline).readable(io_);
    }
    const Wake wake = co_await wait;
    if (wake == Wake::kNotified || Clock::now() >= deadline) {
      co_return;
    }
  }
}

Task<> Stream::lingering_close_unread(TimePoint deadline, runtime::Notifier& notifier) {
  shutdown_write();
  co_await wait_for_peer_close(deadline, notifier);
}

}  // namespace beechhill::net
