// I/O helpers shared by the fake servers and the fault proxies.
#pragma once

#include <chrono>
#include <string>

#include "http/message.h"
#include "net/socket.h"
#include "runtime/scheduler.h"

namespace beechhill::testbed {

/// Time-out of the fake servers' socket operations. It is longer than any run, so that a fake
/// server never closes the connection of a slow client.
inline constexpr std::chrono::hours kNoTimeout{1};
/// Interval at which a server that is held back by a fault checks whether the fault has ended.
inline constexpr std::chrono::milliseconds kFaultPollInterval{5};

/// Parses an address that this program generated, of the form "host:port". Throws
/// std::invalid_argument if the text is not such an address.
sockaddr_in parse_own_address(const std::string& text);

/// Returns the address 127.0.0.1 with port 0, for which the system chooses a free port.
sockaddr_in any_loopback_port();

/// Reads one complete request into `request`; bytes that follow it remain in `buffer`. Returns
/// false if the connection ended or the bytes are not a valid request. All arguments must outlive
/// the task.
runtime::Task<bool> read_request(net::Stream& stream, std::string& buffer, http::Message& request);

}  // namespace beechhill::testbed
