// Listening TCP sockets on the event loop.
#pragma once

#include <netinet/in.h>

#include "net/file_descriptor.h"
#include "net/stream.h"
#include "runtime/scheduler.h"

namespace beechhill::net {

/// Accepts connections on one address. Must be used on the event loop thread.
class Listener {
 public:
  /// Throws std::system_error if listening on `address` fails.
  Listener(runtime::Scheduler& scheduler, const sockaddr_in& address);
  /// Takes ownership of a socket that already listens and may be shared with other processes. Makes
  /// it non-blocking, which affects these processes too because they share the flag, and never
  /// calls shutdown() on it. Throws std::invalid_argument if it is not a listening IPv4 TCP
  /// socket.
  Listener(runtime::Scheduler& scheduler, FileDescriptor listening);

  /// Waits for the next connection until `deadline` or until `notifier`, if given, is notified. On
  /// kOk, `accepted` is the non-blocking connection and `from` the peer's address. kError: a
  /// connection is pending but cannot be accepted, for example because no descriptor is free.
  runtime::Task<IoResult> accept(runtime::TimePoint deadline, FileDescriptor& accepted,
                                 sockaddr_in& from, runtime::Notifier* notifier = nullptr);
  /// Like accept(), but does not wait: returns kTimeout if no connection is pending.
  IoResult accept_now(FileDescriptor& accepted, sockaddr_in& from);
  /// Returns the listening address, with the port that the kernel chose if port 0 was requested.
  sockaddr_in address() const;

 private:
  runtime::Scheduler& scheduler_;
  FileDescriptor fd_;
  runtime::IoSource io_;
};

}  // namespace beechhill::net
