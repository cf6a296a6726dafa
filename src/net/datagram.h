// UDP sockets.
#pragma once

#include <netinet/in.h>

#include <optional>
#include <string>
#include <string_view>

#include "net/address.h"
#include "net/file_descriptor.h"
#include "runtime/scheduler.h"

namespace beechhill::net {

/// A non-blocking UDP socket that is bound to one address. Used on the event loop thread.
class DatagramSocket {
 public:
  /// Throws std::system_error where the address cannot be bound.
  DatagramSocket(runtime::Scheduler& scheduler, const sockaddr_in& address);

  /// The next datagram, cut off after 2,048 bytes, and its sender. Empty where none is pending;
  /// io() reports the next one.
  std::optional<std::string> take(sockaddr_in& from);
  /// Sends a datagram. Best effort: where the system does not take it, it is lost.
  void send(const sockaddr_in& to, std::string_view bytes);
  /// The bound address, with the port that the system has chosen where 0 was asked for.
  sockaddr_in address() const;
  runtime::IoSource& io() { return io_; }

 private:
  FileDescriptor fd_;
  runtime::IoSource io_;
};

}  // namespace beechhill::net
