// Tests the HTTP parser with tables of valid and malformed messages.
#include <gtest/gtest.h>

#include "http/parser.h"

namespace beechhill::http {
namespace {

struct MessageCase {
  const char* name;
  Parser::Kind kind;
  std::string bytes;
  Progress progress;
  int error_status = 0;   // Expected status code for a malformed request.
  std::string body = {};  // Expected body of a complete message.
  std::string rest = {};  // Bytes that must remain in the buffer after a complete message.
};

const auto kRequest = Parser::Kind::kRequest;
const auto kResponse = Parser::Kind::kResponse;

std::string repeat(int count, const std::string& text) {
  std::string all;
  for (int i = 0; i < count; ++i) {
    all += text;
  }
  return all;
}
std::string interim_responses(int count) {
  return repeat(count, "HTTP/1.1 102 Processing\r\n\r\n");
}
std::string empty_lines(int count) {
  return repeat(count, "\r\n");
}
std::string chunks(int count) {
  return repeat(count, "1\r\nx\r\n");
}

const MessageCase kMessageCases[] = {
    {"no body", kRequest, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n", Progress::kComplete},
    {"length", kRequest, "POST /a HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc", Progress::kComplete, 0,
     "abc"},
    {"pipelined", kRequest, "POST /a HTTP/1.1\r\nContent-Length: 1\r\n\r\naGET /b",
     Progress::kComplete, 0, "a", "GET /b"},
    {"chunked", kRequest,
     "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2;x=1\r\nab\r\n1\r\nc\r\n0\r\nT: "
     "v\r\n\r\n",
     Progress::kComplete, 0, "abc"},
    {"empty lines first", kRequest, "\r\n\r\nGET /a HTTP/1.1\r\n\r\n", Progress::kComplete},
    {"unfinished head", kRequest, "GET /a HTTP/1.1\r\nHost", Progress::kNeedsMore},
    {"unfinished body", kRequest, "POST /a HTTP/1.1\r\nContent-Length: 3\r\n\r\nab",
     Progress::kNeedsMore},
    {"both framings", kRequest,
     "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n",
     Progress::kMalformed, 400},
    {"other encoding", kRequest, "POST /a HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n",
     Progress::kMalformed, 400},
    {"too many empty lines", kRequest, empty_lines(33), Progress::kMalformed, 400},
    {"same length twice", kRequest,
     "POST /a HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\n", Progress::kMalformed,
     400},
    {"target not ASCII", kRequest, "GET /\xe9 HTTP/1.1\r\n\r\n", Progress::kMalformed, 400},
    {"tiny chunks", kRequest,
     "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks(20000) + "0\r\n\r\n",
     Progress::kComplete, 0, std::string(20000, 'x')},
    {"two lengths", kRequest, "POST /a HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
     Progress::kMalformed, 400},
    {"signed length", kRequest, "POST /a HTTP/1.1\r\nContent-Length: +1\r\n\r\n",
     Progress::kMalformed, 400},
    {"huge length", kRequest, "POST /a HTTP/1.1\r\nContent-Length: 65537\r\n\r\n",
     Progress::kMalformed, 413},
    {"length overflow", kRequest,
     "POST /a HTTP/1.1\r\nContent-Length: 99999999999999999999\r\n\r\n", Progress::kMalformed, 400},
    {"huge chunk", kRequest,
     "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n10001\r\n" + std::string(65537, 'x'),
     Progress::kMalformed, 413},
    {"invalid chunk size", kRequest, "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
     Progress::kMalformed, 400},
    {"no line end after chunk", kRequest,
     "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nabc\r\n", Progress::kMalformed,
     400},
    {"huge head", kRequest, "GET /a HTTP/1.1\r\nX: " + std::string(17000, 'x'),
     Progress::kMalformed, 431},
    {"folded header", kRequest, "GET /a HTTP/1.1\r\nX: a\r\n b\r\n\r\n", Progress::kMalformed, 400},
    {"space before colon", kRequest, "GET /a HTTP/1.1\r\nX : a\r\n\r\n", Progress::kMalformed, 400},
    {"line feed in value", kRequest, "GET /a HTTP/1.1\r\nX: a\nb\r\n\r\n", Progress::kMalformed,
     400},
    {"absolute form", kRequest, "GET http://h:80/a?b HTTP/1.1\r\n\r\n", Progress::kComplete},
    {"absolute form, no path", kRequest, "GET HTTP://h HTTP/1.1\r\n\r\n", Progress::kComplete},
    {"absolute form, no host", kRequest, "GET http:///a HTTP/1.1\r\n\r\n", Progress::kMalformed,
     400},
    {"other scheme", kRequest, "GET ftp://h/a HTTP/1.1\r\n\r\n", Progress::kMalformed, 400},
    {"mixed case, optional whitespace", kRequest,
     "POST /a HTTP/1.1\r\ntRANSFER-eNCODING:\t Chunked \t\r\n\r\n3 ; a=\"b\"\r\nabc\r\n000\r\nX: "
     "y\r\n\r\n",
     Progress::kComplete, 0, "abc"},
    {"bare CR", kRequest, "GET /a HTTP/1.1\r\nX: a\rb\r\n\r\n", Progress::kMalformed, 400},
    {"signed chunk", kRequest, "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n+1\r\na\r\n",
     Progress::kMalformed, 400},
    {"no target", kRequest, "GET HTTP/1.1\r\n\r\n", Progress::kMalformed, 400},
    {"no slash", kRequest, "GET a HTTP/1.1\r\n\r\n", Progress::kMalformed, 400},
    {"empty target", kRequest, "GET  HTTP/1.1\r\n\r\n", Progress::kMalformed, 400},
    {"unsupported version", kRequest, "GET /a HTTP/2.0\r\n\r\n", Progress::kMalformed, 505},
    {"no version", kRequest, "GET /a FTP/1.1\r\n\r\n", Progress::kMalformed, 400},
    {"response", kResponse, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", Progress::kComplete,
     0, "ok"},
    {"no reason phrase", kResponse, "HTTP/1.1 503\r\nContent-Length: 0\r\n\r\n",
     Progress::kComplete},
    {"one interim response", kResponse,
     "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx",
     Progress::kComplete, 0, "x"},
    {"no content", kResponse, "HTTP/1.1 204 No Content\r\n\r\n", Progress::kComplete},
    {"no body length, not closing", kResponse, "HTTP/1.1 200 OK\r\n\r\nabc", Progress::kMalformed},
    {"too many interim responses", kResponse,
     interim_responses(9) + "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", Progress::kMalformed},
    {"maximum interim responses", kResponse,
     interim_responses(8) + "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", Progress::kComplete},
    {"invalid field value", kResponse, "HTTP/1.1 200 OK\r\nX: \x01\r\nContent-Length: 1\r\n\r\nx",
     Progress::kComplete, 0, "x"},
    {"invalid length", kResponse, "HTTP/1.1 200 OK\r\nContent-Length: \x01\r\n\r\nx",
     Progress::kMalformed},
    {"stated length of 3 GB", kResponse, "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nx",
     Progress::kMalformed},
    {"no status", kResponse, "HTTP/1.1 OK\r\n\r\n", Progress::kMalformed, 400},
    {"not HTTP", kResponse, "SSH-2.0-OpenSSH\r\n\r\n", Progress::kMalformed, 400},
};

// Feeds `bytes`, `step` bytes at a time, until the parser completes or rejects the message.
Progress feed_in_steps(Parser& parser, const std::string& bytes, std::size_t step,
                       std::string& buffer) {
  Progress progress = Progress::kNeedsMore;
  for (std::size_t from = 0; from < bytes.size() && progress == Progress::kNeedsMore;
       from += step) {
    buffer.append(bytes, from, step);
    progress = parser.feed(buffer);
  }
  return progress;
}

TEST(HttpParser, ReadsEachMessageAtOnceAndByteByByte) {
  for (const MessageCase& message_case : kMessageCases) {
    for (const std::size_t step : {message_case.bytes.size(), std::size_t{1}}) {
      SCOPED_TRACE(std::string(message_case.name) + ", step " + std::to_string(step));
      Parser parser(message_case.kind);
      std::string buffer;
      const Progress progress = feed_in_steps(parser, message_case.bytes, step, buffer);
      EXPECT_EQ(progress, message_case.progress);
      if (progress == Progress::kMalformed && message_case.kind == kRequest) {
        EXPECT_EQ(parser.error_status(), message_case.error_status);
      }
      if (progress != Progress::kComplete) {
        continue;
      }
      EXPECT_EQ(parser.message().body, message_case.body);
      if (step > 1) {
        EXPECT_EQ(buffer, message_case.rest);
      }
    }
  }
}

TEST(HttpParser, RejectsABodyThatEndsBeforeItsLength) {
  Parser parser(kResponse);
  std::string bytes = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc";
  EXPECT_EQ(parser.feed(bytes), Progress::kNeedsMore);
  EXPECT_EQ(parser.end(), Progress::kMalformed);
}

TEST(HttpParser, TellsWhetherARequestMayBegin) {
  const struct {
    const char* bytes;
    bool may_begin;
  } cases[] = {{"", true},           {"G", true},      {"POST /a", true},
               {"\r\nGET /", true},  {"\r", true},     {"xyz", false},
               {"{\"a\":1}", false}, {"get /", false}, {"\nGET /", false}};
  for (const auto& c : cases) {
    EXPECT_EQ(may_begin_request(c.bytes), c.may_begin) << c.bytes;
  }
}

TEST(HttpParser, TellsWhetherAConnectionIsKept) {
  const struct {
    const char* head;
    bool keep_alive;
  } cases[] = {{"HTTP/1.1 200 OK\r\n", true},
               {"HTTP/1.0 200 OK\r\n", false},
               {"HTTP/1.1 200 OK\r\nconnection: x, Close\r\n", false},
               {"HTTP/1.0 200 OK\r\nConnection: keep-alive\r\n", true}};
  for (const auto& c : cases) {
    SCOPED_TRACE(c.head);
    Parser parser(kResponse);
    std::string bytes = std::string(c.head) + "Content-Length: 0\r\n\r\n";
    EXPECT_EQ(parser.feed(bytes), Progress::kComplete);
    EXPECT_EQ(parser.message().keep_alive(), c.keep_alive);
  }
}

}  // namespace
}  // namespace beechhill::http
