// Owned descriptors, TCP addresses, the listener and a byte stream with deadlines.
#pragma once

#include <netinet/in.h>

#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "runtime/scheduler.h"

namespace beechhill::net {

class Fd {
 public:
  Fd() = default;
  explicit Fd(int fd) : fd_(fd) {}
  Fd(Fd&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
  Fd& operator=(Fd&& other) noexcept {
    std::swap(fd_, other.fd_);
    return *this;
  }
  ~Fd();
  int get() const { return fd_; }
  explicit operator bool() const { return fd_ >= 0; }

 private:
  int fd_ = -1;
};

// "127.0.0.1:9000"; nothing where that is not an IPv4 address and a port.
std::optional<sockaddr_in> parse_address(std::string_view text);
std::string to_string(const sockaddr_in& address);
bool same(const sockaddr_in& a, const sockaddr_in& b);  // address and port

enum class Io { kOk, kEof, kTimeout, kNotified, kError };

class Stream {
 public:
  Stream(runtime::Scheduler& scheduler, Fd fd);

  // Starts a connection and waits until it stands. Null where it does not by the deadline.
  static runtime::Task<std::unique_ptr<Stream>> connect(runtime::Scheduler& scheduler,
                                                        sockaddr_in to,
                                                        runtime::TimePoint deadline);

  // Appends what there is to `buffer`, waiting for it until the deadline or, if given, the
  // notifier.
  runtime::Task<Io> read(std::string& buffer, runtime::TimePoint deadline,
                         runtime::Notifier* notifier = nullptr);
  // Waits, without reading, until the peer has ended (kEof), though bytes may still stand before
  // its end; or until the deadline or the notifier.
  runtime::Task<Io> await_end(runtime::TimePoint deadline, runtime::Notifier& notifier);
  // Writes all of `bytes`, which must outlive the call. kOk: the system has taken the last byte.
  runtime::Task<Io> write(std::string_view bytes, runtime::TimePoint deadline);
  // Reads without waiting: true when the peer has ended, or sent what nobody asked for.
  bool stale();
  // While nobody reads: `watcher` is told when stale() may have become true. Null ends it.
  void watch(runtime::IoWatcher* watcher) { io_.watch(watcher); }
  // Tells the peer that no more comes, then reads until it ends too, or the notifier calls: a reset
  // must not destroy an answer.
  runtime::Task<> linger(runtime::TimePoint deadline, runtime::Notifier& notifier);
  // The same, but what comes meanwhile stays unread: whoever sent it can tell that it was not
  // taken.
  runtime::Task<> linger_unread(runtime::TimePoint deadline, runtime::Notifier& notifier);
  void end_sending();

 private:
  std::optional<Io> read_now(std::string& buffer);
  std::optional<Io> discard_now();

  runtime::Scheduler& scheduler_;
  Fd fd_;
  runtime::IoSource io_;
  std::size_t turn_ = 0;  // bytes read since it last waited
};

// Listens on one address.
class Listener {
 public:
  Listener(runtime::Scheduler& scheduler, const sockaddr_in& address);  // throws std::system_error
  // On a socket that listens already and that other processes hold too: it is made non-blocking,
  // for all of them as there is one flag, and never shut down. Throws std::invalid_argument where
  // it is no listening TCP socket.
  Listener(runtime::Scheduler& scheduler, Fd listening);
  // The next connection. kError: one is there and could not be taken now, descriptors being short.
  // kNotified: by `notifier`, if given.
  runtime::Task<Io> accept(runtime::TimePoint deadline, Fd& taken, sockaddr_in& from,
                           runtime::Notifier* notifier = nullptr);
  // The same without waiting. kTimeout: none is there.
  Io accept_now(Fd& taken, sockaddr_in& from);
  sockaddr_in address() const;

 private:
  runtime::Scheduler& scheduler_;
  Fd fd_;
  runtime::IoSource io_;
};

}  // namespace beechhill::net
