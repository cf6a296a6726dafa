#include "testbed/http_client.h"

#include <memory>

#include "http/parser.h"
#include "http/progress.h"
#include "http/writer.h"

namespace beechhill::testbed {

using net::IoResult;
using runtime::Clock;
using runtime::Task;

Task<HttpExchange> exchange(net::Stream& stream, const std::string& request, std::string& buffer,
                            runtime::TimePoint write_deadline, runtime::TimePoint read_deadline) {
  HttpExchange result;
  http::Parser parser(http::Parser::Kind::kResponse);
  http::Progress progress = http::Progress::kNeedsMore;
  result.last_io = co_await stream.write(request, write_deadline);
  while (result.last_io == IoResult::kOk && progress == http::Progress::kNeedsMore) {
    result.last_io = co_await stream.read(buffer, read_deadline);
    result.response_started = result.response_started || !buffer.empty();
    if (result.last_io == IoResult::kOk) {
      progress = parser.feed(buffer);
    }
  }
  if (result.last_io == IoResult::kEof && result.response_started) {
    progress = parser.end();
  }
  result.complete = progress == http::Progress::kComplete;
  if (result.complete) {
    result.response = std::move(parser.message());
  }
  co_return result;
}

Task<HttpResponse> call_http(runtime::Scheduler& scheduler, sockaddr_in to, std::string method,
                             std::string target, Clock::duration timeout) {
  const runtime::TimePoint deadline = Clock::now() + timeout;
  HttpResponse response;
  std::unique_ptr<net::Stream> stream = co_await net::Stream::connect(scheduler, to, deadline);
  if (!stream) {
    co_return response;
  }
  const std::string request =
      http::write_request(method, target, "proxy", "Connection: close\r\n", "");
  std::string buffer;
  const HttpExchange result = co_await exchange(*stream, request, buffer, deadline, deadline);
  if (result.complete) {
    response = {result.response.status, result.response.body};
  }
  co_return response;
}

}  // namespace beechhill::testbed
