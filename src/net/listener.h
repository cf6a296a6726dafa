// Listening TCP sockets.
#pragma once

#include <netinet/in.h>

#include "net/file_descriptor.h"
#include "net/stream.h"
#include "runtime/scheduler.h"

namespace beechhill::net {

/// Accepts connections on one address. Used on the event loop thread.
class Listener {
 public:
  /// Throws std::system_error where it cannot listen on `address`.
  Listener(runtime::Scheduler& scheduler, const sockaddr_in& address);
  /// Takes over a socket that listens already and may be shared with other processes: it is made
  /// non-blocking, for all of them as there is one flag, and never shut down. Throws
  /// std::invalid_argument where it is not a listening IPv4 TCP socket.
  Listener(runtime::Scheduler& scheduler, FileDescriptor listening);

  /// Waits for the next connection; `accepted` is non-blocking, `from` the peer's address. kError:
  /// one is pending but could not be accepted, as where descriptors run out. kNotified: by
  /// `notifier`, if given.
  runtime::Task<IoResult> accept(runtime::TimePoint deadline, FileDescriptor& accepted,
                                 sockaddr_in& from, runtime::Notifier* notifier = nullptr);
  /// The same without waiting; kTimeout where no connection is pending.
  IoResult accept_now(FileDescriptor& accepted, sockaddr_in& from);
  /// The address it listens on, with the port that the system has chosen where 0 was asked for.
  sockaddr_in address() const;

 private:
  runtime::Scheduler& scheduler_;
  FileDescriptor fd_;
  runtime::IoSource io_;
};

}  // namespace beechhill::net
