// The test's side of an HTTP connection over TCP.
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

// A connected socket. Reads block for up to kTestTimeout and then throw.
class TestConnection {
 public:
  explicit TestConnection(net::FileDescriptor fd) : fd_(std::move(fd)) {}
  static TestConnection to(const sockaddr_in& address) {
    // Close-on-exec prevents proxies that the test starts later from holding the connection open.
    net::FileDescriptor fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    require(::connect(fd.get(), reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0);
    return TestConnection(std::move(fd));
  }
  void send(const std::string& bytes) const {
    require(::send(fd_.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL) ==
            static_cast<ssize_t>(bytes.size()));
  }
  // Returns whether data or the end of the stream arrives within `timeout`.
  bool readable(std::chrono::milliseconds timeout) const {
    pollfd polled{fd_.get(), POLLIN, 0};
    return ::poll(&polled, 1, static_cast<int>(timeout.count())) > 0;
  }
  // Waits for data and appends it to `buffer`. Returns false if the remote side has closed or reset
  // the connection.
  bool receive() {
    require(readable(kTestTimeout));
    char chunk[4096];
    const ssize_t received = ::recv(fd_.get(), chunk, sizeof chunk, 0);
    if (received > 0) {
      buffer.append(chunk, static_cast<std::size_t>(received));
    }
    return received > 0;
  }
  // Receives one complete HTTP message; bytes after it stay in `buffer`.
  http::Message message(http::Parser::Kind kind) {
    http::Parser parser(kind);
    http::Progress progress = parser.feed(buffer);
    while (progress == http::Progress::kNeedsMore) {
      progress = receive() ? parser.feed(buffer) : parser.end();
    }
    require(progress == http::Progress::kComplete);
    return parser.message();
  }
  http::Message request() { return message(http::Parser::Kind::kRequest); }
  http::Message response() { return message(http::Parser::Kind::kResponse); }
  // Sends a response. `extra` contains complete header lines or is empty.
  void reply(int status, const std::string& extra, const std::string& body) const {
    send(http::write_response(status, extra, body, false));
  }
  int fd() const { return fd_.get(); }
  std::string buffer;  // received bytes that no message has consumed yet

 private:
  net::FileDescriptor fd_;
};

// Receives a response and requires that it has `status`.
inline void expect_status(TestConnection& client, int status) {
  require(client.response().status == status);
}

}  // namespace beechhill::test
