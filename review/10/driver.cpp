// Case 10: a client sends several requests at once on its connection. Those behind get no answer in
// their time, nor within half a second after it, and backends are told to work for them long after
// that.
#include "../stand-ins-2/stand_ins.h"

using namespace stand_ins;

namespace {

constexpr int kBackends = 12;
constexpr int kRequests = 20;
constexpr int kTimeMs = 1200;  // of a ver-llamadas: two fifths of its deadline
constexpr auto kWork = 120ms;
constexpr auto kSlack = 550ms;  // half a second, and the 50 ms that each limit is longer

}  // namespace

int main(int argc, char** argv) {
  if (argc != 3) {
    return kCouldNotRun;
  }
  const bool trouble = begin_case();
  Record record(argv[1]);
  std::mutex mutex;
  std::map<std::string, TimePoint> sent;  // by id
  const auto work = [&](const Call& call) {
    {
      const std::lock_guard lock(mutex);
      record.line(format("backend got %s %.3f s after it was sent, told to answer within %ld ms",
                         call.trace_id.c_str(), seconds(call.at - sent[call.trace_id]),
                         call.expires_in_ms));
    }
    std::this_thread::sleep_for(kWork);
    return send_all(call.socket, response(200, "answer to " + call.trace_id));
  };
  const Backends backends(kBackends, "sala-cordon", work);
  const Discovery discovery(backends.entries);
  Proxy proxy(argv[2], {kMontevideoHall, 192, 1024}, discovery);
  if (!proxy.wait_until_ready()) {
    record.line("the proxy does not become ready");
    return kCouldNotRun;
  }

  const Socket client = connect_to(proxy.port());
  Reader reader(client);
  int lost = 0;
  const auto judge = [&](const std::string& id, const std::optional<Message>& got) {
    const double after = seconds(Clock::now() - sent[id]);
    const bool in_time = Clock::now() <= sent[id] + std::chrono::milliseconds(kTimeMs) + kSlack;
    lost += got && in_time ? 0 : 1;
    record.line(format("%s: %s after %.3f s%s", id.c_str(),
                       got ? got->start_line.c_str() : reader.end_text().c_str(), after,
                       got && in_time ? "" : ": LOST"));
  };
  std::string all;
  for (int i = 0; i < kRequests; ++i) {
    const std::string id = format("p-%d", i);
    if (trouble) {
      all += ver_llamadas(id, kTimeMs);
      const std::lock_guard lock(mutex);
      sent[id] = Clock::now();
      continue;
    }
    {
      const std::lock_guard lock(mutex);
      sent[id] = Clock::now();
    }
    send_all(client, ver_llamadas(id, kTimeMs));
    judge(id, reader.read(Clock::now() + 10s));
  }
  if (trouble) {
    send_all(client, all);
    for (int i = 0; i < kRequests; ++i) {
      judge(format("p-%d", i), reader.read(Clock::now() + 10s));
    }
  }
  bool broken = lost > 0;
  if (proxy.ended()) {
    record.line("the proxy has ended");
    broken = true;
  }
  record.line(broken ? format("BROKEN: %d of %d requests have no answer half a second after "
                              "their time",
                              lost, kRequests)
                     : "held");
  proxy.stop();
  std::_Exit(broken ? kBroken : kHeld);
}
