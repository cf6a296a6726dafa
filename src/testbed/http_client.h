// The client side of HTTP/1.1 for the load generators and for calls to a proxy's own endpoints.
#pragma once

#include <string>

#include "http/message.h"
#include "net/socket.h"
#include "runtime/scheduler.h"

namespace beechhill::testbed {

/// The outcome of one request on one connection.
struct HttpExchange {
  bool complete = false;          // `response` was received completely
  bool response_started = false;  // at least one byte of the response was received
  net::IoResult last_io = net::IoResult::kOk;
  http::Message response;
};

/// Sends `request` and reads its response. `buffer` holds bytes that were read from the connection
/// but not parsed yet. `stream`, `request` and `buffer` must outlive the task.
runtime::Task<HttpExchange> exchange(net::Stream& stream, const std::string& request,
                                     std::string& buffer, runtime::TimePoint write_deadline,
                                     runtime::TimePoint read_deadline);

/// The result of call_http(). The status is 0 if no response was received in time.
struct HttpResponse {
  int status = 0;
  std::string body;
};

/// Sends one request with an empty body on a new connection.
runtime::Task<HttpResponse> call_http(runtime::Scheduler& scheduler, sockaddr_in to,
                                      std::string method, std::string target,
                                      runtime::Clock::duration timeout);

}  // namespace beechhill::testbed
