// Case 6: a bad client sends the id of another client's open request, whose long answer is still on
// its way. It is served, and the id of a request that must never run twice reaches a backend for
// the second time.
#include "../stand-ins-2/stand_ins.h"

using namespace stand_ins;

namespace {

constexpr int kBackends = 12;
constexpr int kPairs = 5;
constexpr int kTimeMs = 4200;                  // seven tenths of the deadline of 6 s
constexpr std::size_t kAnswerBytes = 600'000;  // "answers and bodies reach 32 MB"
constexpr std::size_t kPieceBytes = 1600;      // one each 25 ms: 64 kB a second
constexpr auto kPieceInterval = 25ms;
constexpr auto kBadAfter = 6500ms;

}  // namespace

int main(int argc, char** argv) {
  if (argc != 3) {
    return kCouldNotRun;
  }
  const bool trouble = begin_case();
  Record record(argv[1]);
  std::mutex mutex;
  std::map<std::string, int> runs;  // by id
  const auto answer = [&](const Call& call) {
    int number = 0;
    {
      const std::lock_guard lock(mutex);
      number = ++runs[call.trace_id];
    }
    record.line(format("backend runs %s, for the %s time", call.trace_id.c_str(),
                       number == 1 ? "first" : "SECOND"));
    bool open = send_all(call.socket,
                         format("HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n\r\n", kAnswerBytes));
    for (std::size_t given = 0; open && given < kAnswerBytes; given += kPieceBytes) {
      open = send_all(call.socket, std::string(kPieceBytes, static_cast<char>('0' + number)));
      std::this_thread::sleep_for(kPieceInterval);
    }
    return open;
  };
  const Backends backends(kBackends, "bucuresti", answer);
  const Discovery discovery(backends.entries);
  Proxy proxy(argv[2], {kConfiguratorAnec, 192, 1024}, discovery);
  if (!proxy.wait_until_ready()) {
    record.line("the proxy does not become ready");
    return kCouldNotRun;
  }

  std::atomic<int> served_bad{0};
  std::atomic<int> served_usual{0};
  std::vector<std::thread> clients;
  for (int i = 0; i < kPairs; ++i) {
    const std::string id = format("9b1f03aa5c7e2d4%d", i);
    clients.emplace_back([&, id, i] {
      std::this_thread::sleep_for(20ms * i);
      const Socket client = connect_to(proxy.port());
      send_all(client, depunere_cerere(id, kTimeMs));
      const TimePoint sent = Clock::now();
      Reader reader(client);
      const bool begun = reader.fill(sent + std::chrono::milliseconds(kTimeMs));
      const double first = seconds(Clock::now() - sent);
      std::atomic<bool> still_open{true};
      std::thread bad;
      if (trouble && begun) {
        bad = std::thread([&, sent] {
          std::this_thread::sleep_until(sent + kBadAfter);
          const bool open = still_open;
          const Socket copier = connect_to(proxy.port());
          send_all(copier, depunere_cerere(id, kTimeMs));
          const TimePoint asked = Clock::now();
          Reader copied(copier);
          const auto head = copied.read_head(asked + 3s);
          record.line(format("bad client sends the id %s while its request is %s: %s after %.3f s",
                             id.c_str(), open ? "open" : "ENDED",
                             head ? head->start_line.c_str() : "nothing or a close",
                             seconds(Clock::now() - asked)));
          served_bad += open && head && head->status() == 200 ? 1 : 0;
          copied.read_bytes(kAnswerBytes, asked + 15s);  // bad clients read what they are sent
        });
      }
      const auto got = reader.read(sent + 30s);
      still_open = false;
      record.line(
          format("usual client %s: first bytes after %.3f s, %s, %zu bytes, end after "
                 "%.3f s",
                 id.c_str(), first, got ? got->start_line.c_str() : "not whole",
                 got ? got->body.size() : std::size_t{0}, seconds(Clock::now() - sent)));
      served_usual += got && got->status() == 200 ? 1 : 0;
      if (bad.joinable()) {
        bad.join();
      }
    });
  }
  for (std::thread& client : clients) {
    client.join();
  }
  int twice = 0;
  {
    const std::lock_guard lock(mutex);
    for (const auto& [id, number] : runs) {
      twice += number > 1 ? 1 : 0;
    }
  }
  bool broken = served_bad > 0 || twice > 0;
  if (proxy.ended()) {
    record.line("the proxy has ended");
    broken = true;
  }
  record.line(
      format("usual clients served: %d of %d; bad clients served: %d; ids that ran twice, "
             "in a class that must never run twice: %d",
             served_usual.load(), kPairs, served_bad.load(), twice));
  record.line(broken ? "BROKEN" : "held");
  proxy.stop();
  std::_Exit(broken ? kBroken : kHeld);
}
