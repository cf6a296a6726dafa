// Case 7: during an upgrade, a bad client sends the id of another client's open request, which the
// old process holds. The new process serves it, and the id of a request that must never run twice
// reaches a backend for the second time.
#include "../stand-ins-2/stand_ins.h"

using namespace stand_ins;

namespace {

constexpr int kBackends = 12;
constexpr int kPairs = 5;
constexpr int kTimeMs = 4200;  // seven tenths of the deadline of 6 s
constexpr auto kWork = 500ms;

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
    {
      const std::lock_guard lock(mutex);
      record.line(format("backend runs %s, for the %s time", call.trace_id.c_str(),
                         ++runs[call.trace_id] == 1 ? "first" : "SECOND"));
    }
    std::this_thread::sleep_for(kWork);
    return send_all(call.socket, response(200, "quote for " + call.trace_id));
  };
  const Backends backends(kBackends, "bucuresti", answer);
  const Discovery discovery(backends.entries);
  const Platform platform;
  const ProxySettings settings{kConfiguratorAnec, 192, 1024};
  Proxy first(argv[2], settings, discovery, &platform);
  if (!first.wait_until_it_says_yes()) {
    record.line("the proxy does not become ready");
    return kCouldNotRun;
  }

  // The usual clients have used their connections before, so that they are the first process's.
  std::vector<Socket> usual;
  std::vector<std::unique_ptr<Reader>> readers;
  for (int i = 0; i < kPairs; ++i) {
    usual.push_back(connect_to(platform.port));
    readers.push_back(std::make_unique<Reader>(usual.back()));
    send_all(usual.back(), depunere_cerere(format("0c5f6e1a2b3d4c5%d", i), kTimeMs));
  }
  for (const auto& reader : readers) {
    const auto got = reader->read(Clock::now() + 5s);
    if (!got || got->status() != 200) {
      record.line("no answer before the disruption");
      return kCouldNotRun;
    }
  }

  std::optional<Proxy> second;
  if (trouble) {
    second.emplace(argv[2], settings, discovery, &platform);
    if (!second->wait_until_it_says_yes()) {
      record.line("the second process does not become ready");
      return kCouldNotRun;
    }
    record.line("the second process says yes");
  }
  const auto id_of = [](int i) { return format("9b1f03aa5c7e2d4%d", i); };
  for (int i = 0; i < kPairs; ++i) {
    send_all(usual[static_cast<std::size_t>(i)], depunere_cerere(id_of(i), kTimeMs));
  }
  const TimePoint sent = Clock::now();
  if (trouble) {
    first.signal(SIGTERM);
    record.line("SIGTERM to the first process");
  }
  std::this_thread::sleep_until(sent + 150ms);
  int served_bad = 0;
  int served_usual = 0;
  std::vector<Socket> bad;
  for (int i = 0; i < kPairs; ++i) {
    bad.push_back(connect_to(platform.port));
    send_all(bad.back(), depunere_cerere(id_of(i), kTimeMs));
  }
  record.line(format("bad clients have sent the ids of %d open requests, %.3f s after those",
                     kPairs, seconds(Clock::now() - sent)));
  for (int i = 0; i < kPairs; ++i) {
    const auto index = static_cast<std::size_t>(i);
    const auto got = readers[index]->read(sent + 5s);
    const auto copied = Reader(bad[index]).read(sent + 5s);
    record.line(format("%s: usual client: %s; bad client: %s", id_of(i).c_str(),
                       got ? got->start_line.c_str() : "no answer",
                       copied ? copied->start_line.c_str() : "a close, or nothing"));
    served_usual += got && got->status() == 200 ? 1 : 0;
    served_bad += copied && copied->status() == 200 ? 1 : 0;
  }
  int twice = 0;
  {
    const std::lock_guard lock(mutex);
    for (const auto& [id, number] : runs) {
      twice += number > 1 ? 1 : 0;
    }
  }
  record.line(
      format("usual clients served: %d of %d; bad clients served: %d; ids that ran twice, "
             "in a class that must never run twice: %d",
             served_usual, kPairs, served_bad, twice));
  const bool broken = served_bad > 0 || twice > 0;
  record.line(broken ? "BROKEN" : "held");
  first.stop();
  if (second) {
    second->stop();
  }
  std::_Exit(broken ? kBroken : kHeld);
}
