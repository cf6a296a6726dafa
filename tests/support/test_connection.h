// A TCP connection of a test, with blocking, bounded reads.
#pragma once

#include <poll.h>
#include <sys/socket.h>

#include <string>

#include "http/message.h"
#include "http/parser.h"
#include "http/progress.h"
#include "http/writer.h"
#include "net/socket.h"
#include "support/require.h"

namespace beechhill::test {

// A connected socket with blocking, bounded reads.
class TestConnection {
 public:
  explicit TestConnection(net::FileDescriptor fd) : fd_(std::move(fd)) {}
  static TestConnection to(const sockaddr_in& address) {
    net::FileDescriptor fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC,
                                    0));  // a program started later must not hold it too
    require(::connect(fd.get(), reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0);
    return TestConnection(std::move(fd));
  }
  void send(const std::string& bytes) const {
    require(::send(fd_.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL) ==
            static_cast<ssize_t>(bytes.size()));
  }
  bool readable(std::chrono::milliseconds within) const {
    pollfd p{fd_.get(), POLLIN, 0};
    return ::poll(&p, 1, static_cast<int>(within.count())) > 0;
  }
  // False when the other side has ended.
  bool fill() {
    require(readable(kTestTimeout));
    char chunk[4096];
    const ssize_t n = ::recv(fd_.get(), chunk, sizeof chunk, 0);
    if (n > 0) {
      buffer.append(chunk, static_cast<std::size_t>(n));
    }
    return n > 0;
  }
  http::Message message(http::Parser::Kind kind) {
    http::Parser parser(kind);
    http::Progress progress = parser.feed(buffer);
    while (progress == http::Progress::kNeedsMore) {
      progress = fill() ? parser.feed(buffer) : parser.end();
    }
    require(progress == http::Progress::kComplete);
    return parser.message();
  }
  http::Message request() { return message(http::Parser::Kind::kRequest); }
  http::Message answer() { return message(http::Parser::Kind::kResponse); }
  void reply(int status, const std::string& extra, const std::string& body) const {
    send(http::write_response(status, extra, body, false));
  }
  int fd() const { return fd_.get(); }
  std::string buffer;

 private:
  net::FileDescriptor fd_;
};

inline void expect_status(TestConnection& client, int status) {
  require(client.answer().status == status);
}

}  // namespace beechhill::test
