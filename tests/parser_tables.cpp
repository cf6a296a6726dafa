// Tables of cases for the parsers and readers: no socket, no clock.
#include "config/config.h"
#include "http/message.h"
#include "net/socket.h"
#include "support/proxy_fixture.h"

using namespace beechhill;
using http::Parser;
using http::Progress;

namespace {

struct MessageCase {
  const char* name;
  Parser::Kind kind;
  std::string bytes;
  Progress progress;
  int error = 0;                     // of a bad request
  std::string body = {}, rest = {};  // of a whole message
};

const auto kRequest = Parser::Kind::kRequest;
const auto kResponse = Parser::Kind::kResponse;

std::string repeated(int n, const std::string& text) {
  std::string all;
  while (n-- > 0) {
    all += text;
  }
  return all;
}
std::string interim(int n) {
  return repeated(n, "HTTP/1.1 102 Processing\r\n\r\n");
}
std::string blank(int n) {
  return repeated(n, "\r\n");
}
std::string chunks(int n) {
  return repeated(n, "1\r\nx\r\n");
}

const MessageCase kMessages[] = {
    {"no body", kRequest, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n", Progress::kDone},
    {"length", kRequest, "POST /a HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc", Progress::kDone, 0,
     "abc"},
    {"pipelined", kRequest, "POST /a HTTP/1.1\r\nContent-Length: 1\r\n\r\naGET /b", Progress::kDone,
     0, "a", "GET /b"},
    {"chunked", kRequest,
     "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2;x=1\r\nab\r\n1\r\nc\r\n0\r\nT: "
     "v\r\n\r\n",
     Progress::kDone, 0, "abc"},
    {"blank lines first", kRequest, "\r\n\r\nGET /a HTTP/1.1\r\n\r\n", Progress::kDone},
    {"unfinished head", kRequest, "GET /a HTTP/1.1\r\nHost", Progress::kMore},
    {"unfinished body", kRequest, "POST /a HTTP/1.1\r\nContent-Length: 3\r\n\r\nab",
     Progress::kMore},
    {"both framings", kRequest,
     "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n", Progress::kBad,
     400},
    {"other encoding", kRequest, "POST /a HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n",
     Progress::kBad, 400},
    {"endless blank lines", kRequest, blank(33), Progress::kBad, 400},
    {"same length twice", kRequest,
     "POST /a HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\n", Progress::kBad, 400},
    {"target not ASCII", kRequest, "GET /\xe9 HTTP/1.1\r\n\r\n", Progress::kBad, 400},
    {"tiny chunks", kRequest,
     "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks(20000) + "0\r\n\r\n",
     Progress::kDone, 0, std::string(20000, 'x')},
    {"two lengths", kRequest, "POST /a HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
     Progress::kBad, 400},
    {"signed length", kRequest, "POST /a HTTP/1.1\r\nContent-Length: +1\r\n\r\n", Progress::kBad,
     400},
    {"huge length", kRequest, "POST /a HTTP/1.1\r\nContent-Length: 65537\r\n\r\n", Progress::kBad,
     413},
    {"length overflow", kRequest,
     "POST /a HTTP/1.1\r\nContent-Length: 99999999999999999999\r\n\r\n", Progress::kBad, 400},
    {"huge chunk", kRequest,
     "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n10001\r\n" + std::string(65537, 'x'),
     Progress::kBad, 413},
    {"bad chunk", kRequest, "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
     Progress::kBad, 400},
    {"chunk without end", kRequest,
     "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nabc\r\n", Progress::kBad, 400},
    {"huge head", kRequest, "GET /a HTTP/1.1\r\nX: " + std::string(17000, 'x'), Progress::kBad,
     431},
    {"folded header", kRequest, "GET /a HTTP/1.1\r\nX: a\r\n b\r\n\r\n", Progress::kBad, 400},
    {"blank before colon", kRequest, "GET /a HTTP/1.1\r\nX : a\r\n\r\n", Progress::kBad, 400},
    {"control in value", kRequest, "GET /a HTTP/1.1\r\nX: a\nb\r\n\r\n", Progress::kBad, 400},
    {"absolute form", kRequest, "GET http://h:80/a?b HTTP/1.1\r\n\r\n", Progress::kDone},
    {"absolute form, no path", kRequest, "GET HTTP://h HTTP/1.1\r\n\r\n", Progress::kDone},
    {"absolute form, no host", kRequest, "GET http:///a HTTP/1.1\r\n\r\n", Progress::kBad, 400},
    {"other scheme", kRequest, "GET ftp://h/a HTTP/1.1\r\n\r\n", Progress::kBad, 400},
    {"mixed case, optional blanks", kRequest,
     "POST /a HTTP/1.1\r\ntRANSFER-eNCODING:\t Chunked \t\r\n\r\n3 ; a=\"b\"\r\nabc\r\n000\r\nX: "
     "y\r\n\r\n",
     Progress::kDone, 0, "abc"},
    {"bare CR", kRequest, "GET /a HTTP/1.1\r\nX: a\rb\r\n\r\n", Progress::kBad, 400},
    {"signed chunk", kRequest, "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n+1\r\na\r\n",
     Progress::kBad, 400},
    {"no target", kRequest, "GET HTTP/1.1\r\n\r\n", Progress::kBad, 400},
    {"no slash", kRequest, "GET a HTTP/1.1\r\n\r\n", Progress::kBad, 400},
    {"empty target", kRequest, "GET  HTTP/1.1\r\n\r\n", Progress::kBad, 400},
    {"next version", kRequest, "GET /a HTTP/2.0\r\n\r\n", Progress::kBad, 505},
    {"no version", kRequest, "GET /a FTP/1.1\r\n\r\n", Progress::kBad, 400},
    {"answer", kResponse, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", Progress::kDone, 0,
     "ok"},
    {"no phrase", kResponse, "HTTP/1.1 503\r\nContent-Length: 0\r\n\r\n", Progress::kDone},
    {"interim first", kResponse,
     "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx", Progress::kDone,
     0, "x"},
    {"no content", kResponse, "HTTP/1.1 204 No Content\r\n\r\n", Progress::kDone},
    {"no stated end", kResponse, "HTTP/1.1 200 OK\r\n\r\nabc", Progress::kBad},
    {"endless interim", kResponse, interim(9) + "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
     Progress::kBad},
    {"some interim", kResponse, interim(8) + "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
     Progress::kDone},
    {"unreadable report", kResponse, "HTTP/1.1 200 OK\r\nX: \x01\r\nContent-Length: 1\r\n\r\nx",
     Progress::kDone, 0, "x"},
    {"unreadable length", kResponse, "HTTP/1.1 200 OK\r\nContent-Length: \x01\r\n\r\nx",
     Progress::kBad},
    {"claimed 3 GB", kResponse, "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nx",
     Progress::kBad},
    {"no status", kResponse, "HTTP/1.1 OK\r\n\r\n", Progress::kBad, 400},
    {"not HTTP", kResponse, "SSH-2.0-OpenSSH\r\n\r\n", Progress::kBad, 400},
};

void messages() {
  for (const MessageCase& c : kMessages) {
    for (const std::size_t step : {c.bytes.size(), std::size_t{1}}) {  // at once, and byte by byte
      Parser parser(c.kind);
      std::string buffer;
      Progress progress = Progress::kMore;
      std::size_t at = 0;
      for (; at < c.bytes.size() && progress == Progress::kMore; at += step) {
        buffer.append(c.bytes, at, step);
        progress = parser.feed(buffer);
      }
      if (progress != c.progress) {
        std::fprintf(stderr, "case: %s\n", c.name);
      }
      assert(progress == c.progress);
      if (progress == Progress::kBad && c.kind == kRequest) {
        assert(parser.error_status() == c.error);
      }
      if (progress != Progress::kDone) {
        continue;
      }
      assert(parser.message().body == c.body);
      if (step > 1) {
        assert(buffer == c.rest);
      }
    }
  }
}

void message_parts() {
  Parser cut(kResponse);
  std::string bytes = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc";
  assert(cut.feed(bytes) == Progress::kMore && cut.end() == Progress::kBad);

  const struct {
    const char* bytes;
    bool may_begin;
  } starts[] = {{"", true},           {"G", true},      {"POST /a", true},
                {"\r\nGET /", true},  {"\r", true},     {"xyz", false},
                {"{\"a\":1}", false}, {"get /", false}, {"\nGET /", false}};
  for (const auto& c : starts) {
    assert(http::may_begin_request(c.bytes) == c.may_begin);
  }

  const struct {
    const char* head;
    bool keeps;
  } kept[] = {{"HTTP/1.1 200 OK\r\n", true},
              {"HTTP/1.0 200 OK\r\n", false},
              {"HTTP/1.1 200 OK\r\nconnection: x, Close\r\n", false},
              {"HTTP/1.0 200 OK\r\nConnection: keep-alive\r\n", true}};
  for (const auto& c : kept) {
    Parser parser(kResponse);
    bytes = std::string(c.head) + "Content-Length: 0\r\n\r\n";
    assert(parser.feed(bytes) == Progress::kDone && parser.message().keep_alive() == c.keeps);
  }
}

void small_values() {
  const struct {
    const char* text;
    std::optional<double> value;
  } loads[] = {{"TEXT util=0.5", 0.5},
               {"TEXT a=1, util=0.25, b=2", 0.25},
               {" TEXT util = 2 ", 2.0},
               {"TEXT a=1", {}},
               {"JSON {\"util\":1}", {}},
               {"TEXT util=", {}},
               {"TEXT util=nan", {}},
               {"TEXT util=-1", -1.0},
               {"TEXT util=9", 9.0},
               {"TEXT util=inf", {}},
               {"TEXT util=1e999", {}},
               {"TEXT util=1x", {}},
               {"", {}},
               {"TEXT ,,=,util", {}}};
  for (const auto& c : loads) {
    assert(http::load_value(c.text, "util") == c.value);
  }
  const struct {
    const char* text;
    std::optional<std::uint64_t> value;
  } numbers[] = {{"0", 0},
                 {"480", 480},
                 {"", {}},
                 {"-1", {}},
                 {"1.5", {}},
                 {" 1", {}},
                 {"18446744073709551616", {}}};
  for (const auto& c : numbers) {
    assert(http::whole_number(c.text) == c.value);
  }
  assert(http::retry_after(Duration(250'000)) == "0.250" &&
         http::retry_after(Duration(1'000'001)) == "1.001");
  const struct {
    const char* text;
    bool good;
  } addresses[] = {{"127.0.0.1:80", true},
                   {"127.0.0.1", false},
                   {"host:80", false},
                   {"127.0.0.1:", false},
                   {"127.0.0.1:70000", false}};
  for (const auto& c : addresses) {
    assert(net::parse_address(c.text).has_value() == c.good);
  }
}

// What is wrong with a configuration is named.
void configurations() {
  const std::string good = test::config_json("127.0.0.1:1", "127.0.0.1:2", "[]");
  const struct {
    const char *from, *to, *key;
  } cases[] = {
      {"\"listen\":\"127.0.0.1:1\"", "\"listen\":\"here\"", "listen"},
      {"\"discovery\":\"127.0.0.1:2\",", "", "discovery"},
      {"\"seed\":\"5\"", "\"seed\":\"xyz\"", "seed"},
      {"\"sockets\":256", "\"sockets\":3", "limits.sockets"},
      {"\"connect-timeout\":100000", "\"connect-timeout\":0", "connect-timeout"},
      {"\"aim\":1200000", "\"aim\":\"soon\"", "aim"},
      {"\"aim\":1200000", "\"aim\":-1", "classes.aim"},
      {"\"repeat\":\"by_key\"", "\"repeat\":\"maybe\"", "repeat"},
      {"\"hosts\":[]", "\"hosts\":[7]", "hosts"},
      {"\"hosts\":[]", R"("hosts":[{"host":"s","dial":"x","health":"in_service"}])", "dial"},
      {"\"hosts\":[]", R"("hosts":[{"host":"s","dial":"127.0.0.1:3","health":"fine"}])", "health"},
      {"\"hosts\":[]",
       R"("hosts":[{"host":"s","dial":"127.0.0.1:3","health":"in_service","born_ms":-5}])",
       "born_ms"},
      {"{\"name\"", "[{\"name\"", "config"},
  };
  const auto read = [](const std::string& text) {
    return config::read_config(config::parse(text.data(), text.data() + text.size(), "config"));
  };
  const config::Config c = read(good);
  assert(c.max_descriptors == 256 && c.named_settings.settings.seed == 5 &&
         c.named_settings.classes.size() == 2);
  assert(c.named_settings.settings.connect_timeout == Duration(100'000));
  for (const auto& bad : cases) {
    std::string text = good, what;
    const auto at = text.find(bad.from);
    assert(at != std::string::npos);
    text.replace(at, std::string(bad.from).size(), bad.to);
    try {
      read(text);
    } catch (const std::exception& error) {
      what = error.what();
    }
    if (!what.starts_with(bad.key)) {
      std::fprintf(stderr, "%s: %s\n", bad.key, what.c_str());
    }
    assert(what.starts_with(bad.key));
  }
}

}  // namespace

int main() {
  messages();
  message_parts();
  small_values();
  configurations();
}
