// The client side of HTTP/1.1 for the load generators and for calls to a proxy's own endpoints.
#pragma once

#include <string>

#include "http/message.h"
#include "net/socket.h"
#include "runtime/scheduler.h"

namespace beechhill::testbed {

/// How one request on one connection ended.
struct HttpExchange {
  bool complete = false;          // `response` is whole
  bool response_started = false;  // at least one byte of the response came
  net::IoResult last_io = net::IoResult::kOk;
  http::Message response;
};

/// Sends `request` and reads its response. `buffer` holds bytes read on the connection and not used
/// yet; both references must outlive the task.
runtime::Task<HttpExchange> exchange(net::Stream& stream, const std::string& request,
                                     std::string& buffer, runtime::TimePoint write_deadline,
                                     runtime::TimePoint read_deadline);

/// Status 0: no response came in time.
struct HttpResponse {
  int status = 0;
  std::string body;
};

/// One request on a connection of its own, with an empty body.
runtime::Task<HttpResponse> call_http(runtime::Scheduler& scheduler, sockaddr_in to,
                                      std::string method, std::string target,
                                      runtime::Clock::duration timeout);

}  // namespace beechhill::testbed
