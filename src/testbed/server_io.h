// What the fake servers and the fault proxies share.
#pragma once

#include <chrono>
#include <string>

#include "http/message.h"
#include "net/socket.h"
#include "runtime/scheduler.h"

namespace beechhill::testbed {

/// Longer than any run: a fake server never closes a connection because its client is slow.
inline constexpr std::chrono::hours kNoTimeout{1};
/// How often a server that a fault holds back looks whether the fault is over.
inline constexpr std::chrono::milliseconds kFaultPollInterval{5};

/// The address in a text of this program's own, "host:port". Throws std::invalid_argument where it
/// is none.
sockaddr_in parse_own_address(const std::string& text);

/// 127.0.0.1 with a port that the system picks.
sockaddr_in any_loopback_port();

/// Reads one complete request into `request`; `buffer` keeps the bytes after it. Returns false
/// where the connection has ended or the bytes are no request. All arguments must outlive the task.
runtime::Task<bool> read_request(net::Stream& stream, std::string& buffer, http::Message& request);

}  // namespace beechhill::testbed
