// Case 10: a backend gives a long chunked answer in small pieces. Its first bytes come in time; the
// proxy holds them back and cuts the backend off when the request's time is over.
#include "../stand-ins-2/stand_ins.h"

using namespace stand_ins;

namespace {

constexpr int kBackends = 12;
constexpr int kRequests = 6;
constexpr int kTimeMs = 800;                   // of an ajuste: two fifths of its deadline
constexpr std::size_t kAnswerBytes = 200'000;  // more than 64 KiB
constexpr std::size_t kPieceBytes = 1600;      // one each 25 ms: 64 kB a second
constexpr auto kPieceInterval = 25ms;

std::string piece(std::size_t number) {
  return std::string(kPieceBytes, static_cast<char>('a' + number % 26));
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 3) {
    return kCouldNotRun;
  }
  const bool trouble = begin_case();
  Record record(argv[1]);
  const auto answer = [&](const Call& call) {
    const bool chunked = call.target == "/ajuste/chunked";
    bool open =
        send_all(call.socket, "HTTP/1.1 200 OK\r\n" +
                                  (chunked ? std::string("Transfer-Encoding: chunked\r\n\r\n")
                                           : format("Content-Length: %zu\r\n\r\n", kAnswerBytes)));
    std::size_t given = 0;
    for (std::size_t i = 0; open && given < kAnswerBytes; ++i) {
      const std::string bytes = piece(i);
      open =
          send_all(call.socket, chunked ? format("%zx\r\n", bytes.size()) + bytes + "\r\n" : bytes);
      given += bytes.size();
      if (trouble) {
        std::this_thread::sleep_for(kPieceInterval);
      }
    }
    open = open && (!chunked || send_all(call.socket, "0\r\n\r\n"));
    record.line(format("backend, for %s: %s after %zu bytes and %.3f s", call.trace_id.c_str(),
                       open ? "given whole" : "CUT OFF", given, seconds(Clock::now() - call.at)));
    return open;
  };
  const Backends backends(kBackends, "sala-cordon", answer);
  const Discovery discovery(backends.entries);
  Proxy proxy(argv[2], {kMontevideoHall, 192, 1024}, discovery);
  if (!proxy.wait_until_ready()) {
    record.line("the proxy does not become ready");
    return kCouldNotRun;
  }

  std::string expected;
  for (std::size_t i = 0; expected.size() < kAnswerBytes; ++i) {
    expected += piece(i);
  }
  int lost = 0;
  for (int i = 0; i < kRequests; ++i) {
    // The same answer with a stated length is passed on, which shows that it can be.
    const bool chunked = i % 2 == 0;
    const std::string id = format("%s-%d", chunked ? "chunked" : "length", i);
    const Socket client = connect_to(proxy.port());
    send_all(client, ajuste(id, kTimeMs, chunked ? "/ajuste/chunked" : "/ajuste/length"));
    const TimePoint sent = Clock::now();
    Reader reader(client);
    const bool begun = reader.fill(sent + 10s);
    const double first = seconds(Clock::now() - sent);
    const auto got = reader.read(sent + 10s);
    const bool whole = got && got->status() == 200 && got->body == expected;
    lost += whole ? 0 : 1;
    record.line(format("%s: first bytes after %.3f s, %s, %zu bytes of body, end after %.3f s%s",
                       id.c_str(), begun ? first : -1.0,
                       got ? got->start_line.c_str() : reader.end_text().c_str(),
                       got ? got->body.size() : std::size_t{0}, seconds(Clock::now() - sent),
                       whole ? "" : ": LOST"));
  }
  std::this_thread::sleep_for(100ms);
  bool broken = lost > 0;
  if (proxy.ended()) {
    record.line("the proxy has ended");
    broken = true;
  }
  record.line(broken ? format("BROKEN: %d of %d answers were cut off", lost, kRequests) : "held");
  proxy.stop();
  std::_Exit(broken ? kBroken : kHeld);
}
