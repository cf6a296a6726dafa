// Non-blocking UDP sockets on the event loop.
#pragma once

#include <netinet/in.h>

#include <optional>
#include <string>
#include <string_view>

#include "net/address.h"
#include "net/file_descriptor.h"
#include "runtime/scheduler.h"

namespace beechhill::net {

/// A non-blocking IPv4 UDP socket bound to one address. Must be used on the event loop thread.
class DatagramSocket {
 public:
  /// Throws std::system_error if the socket cannot be created or bound to `address`.
  DatagramSocket(runtime::Scheduler& scheduler, const sockaddr_in& address);

  /// Returns the next datagram, truncated to 2,048 bytes, and sets `from` to its sender. Returns
  /// nullopt if none is pending; io() then becomes readable when the next one arrives.
  std::optional<std::string> take(sockaddr_in& from);
  /// Sends a datagram. Delivery is best effort: errors are ignored, and a datagram that the kernel
  /// does not accept is lost.
  void send(const sockaddr_in& to, std::string_view bytes);
  /// Returns the bound address, with the port that the kernel chose if port 0 was requested.
  sockaddr_in address() const;
  runtime::IoSource& io() { return io_; }

 private:
  FileDescriptor fd_;
  runtime::IoSource io_;
};

}  // namespace beechhill::net
