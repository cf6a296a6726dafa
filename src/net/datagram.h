// A UDP socket on one address, for talk among proxies.
#pragma once

#include <netinet/in.h>

#include <optional>
#include <string>
#include <string_view>

#include "net/socket.h"
#include "runtime/scheduler.h"

namespace beechhill::net {

class DatagramSocket {
 public:
  // Throws std::system_error where the address cannot be bound.
  DatagramSocket(runtime::Scheduler& scheduler, const sockaddr_in& address);
  // The next that has come, of 2 KB at the most; nothing where none has. Does not wait.
  std::optional<std::string> take(sockaddr_in& from);
  // Lost where the system has no room: it is a datagram.
  void send(const sockaddr_in& to, std::string_view bytes);
  sockaddr_in address() const;
  runtime::IoSource& io() { return io_; }

 private:
  Fd fd_;
  runtime::IoSource io_;
};

}  // namespace beechhill::net
