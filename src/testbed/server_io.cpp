#include "testbed/server_io.h"

#include "http/parser.h"
#include "http/progress.h"

namespace beechhill::testbed {

using net::Io;
using runtime::Clock;
using runtime::Task;

sockaddr_in any_loopback_port() {
  return *net::parse_address("127.0.0.1:0");
}

Task<bool> read_request(net::Stream& stream, std::string& buffer, http::Message& request) {
  http::Parser parser(http::Parser::Kind::kRequest);
  http::Progress progress = parser.feed(buffer);
  while (progress == http::Progress::kMore) {
    const Io io = co_await stream.read(buffer, Clock::now() + kNoTimeout);
    if (io != Io::kOk) {
      co_return false;
    }
    progress = parser.feed(buffer);
  }
  request = std::move(parser.message());
  co_return progress == http::Progress::kDone;
}

}  // namespace beechhill::testbed
