#include "testbed/server_io.h"

#include <optional>
#include <stdexcept>

#include "http/parser.h"
#include "http/progress.h"

namespace beechhill::testbed {

using net::IoResult;
using runtime::Clock;
using runtime::Task;

sockaddr_in parse_own_address(const std::string& text) {
  const std::optional<sockaddr_in> address = net::parse_address(text);
  if (!address) {
    throw std::invalid_argument(text + ": not an address of the form host:port");
  }
  return *address;
}

sockaddr_in any_loopback_port() {
  return parse_own_address("127.0.0.1:0");
}

Task<bool> read_request(net::Stream& stream, std::string& buffer, http::Message& request) {
  http::Parser parser(http::Parser::Kind::kRequest);
  http::Progress progress = parser.feed(buffer);
  while (progress == http::Progress::kNeedsMore) {
    const IoResult io = co_await stream.read(buffer, Clock::now() + kNoTimeout);
    if (io != IoResult::kOk) {
      co_return false;
    }
    progress = parser.feed(buffer);
  }
  request = std::move(parser.message());
  co_return progress == http::Progress::kComplete;
}

}  // namespace beechhill::testbed
