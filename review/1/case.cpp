// Some answers of backends bring a second copy, some milliseconds late. Each client must get the
// answer that a backend made for its own request, and a request that must never run twice must not.
//
// The network between the proxy and each backend takes kSameMs one way within a data centre and
// kCrossMs between the two. A backend sends the copy only if no further request has arrived on the
// connection by then. Its answers don't begin with the request's id; they are JSON that names it.
#include <condition_variable>
#include <memory>

#include "standin.h"

namespace {

using namespace review;

constexpr int kHome = 4;  // backends in the proxy's data centre
constexpr int kAway = 6;
constexpr double kSameMs = 0.2;
constexpr double kCrossMs = 2;
constexpr int kClients = 48;
constexpr double kRunMs = 45'000;
constexpr double kCopyShare = 0.05;
constexpr double kMinLateMs = 1;
constexpr double kMaxLateMs = 4;
constexpr double kMinWorkMs = 100;
constexpr double kMaxWorkMs = 240;
constexpr int kCores = 2;
constexpr int kWaitingRoom = 6;
// Requests with little time left.
constexpr double kHurriedShare = 0.1;
constexpr double kMinHurriedMs = 20;
constexpr double kMaxHurriedMs = 150;
constexpr int kMemoryMb = 64;
constexpr int kSockets = 512;

// Figures of the site configurator-anec.
const char* const kSettings =
    R"({"areas":["bucuresti","cluj"],"zone":"bucuresti","kinds":["portal-mare"],"tier":0,)"
    R"("tiers":["portal","calcul"],"discovery":"push","replicas-of-me":1,"rank":0,"step":5000,)"
    R"("over-share-worth":0.05,"worth-by":"request","weights":"nominal",)"
    R"("clients":{"marks-retry":false},"family":"chain","extra":{"passes-deadline":false},)"
    R"("guarantees":{"ask-within":10000000,"cold":24000000,"cold-from":0.12,)"
    R"("drain-grace":300000,"fall-multiple":4.0,"grace-to-answer":16000,"tip-after":2000000},)"
    R"("limits":{"connect-timeout":250000,"cpu-us-per-request":0.0,"cpu-us-per-s":15000,)"
    R"("idle-close":10000000,"max-open":20000,"max-retry-after":3000000,"may-cancel":true,)"
    R"("most-tries":5,"parallel-tries":true,"peers":false,"probes":true,"retry-after":true,)"
    R"("streams-per-conn":1},"prices":{"cross-zone":0.05,"probe":0.0066,"waste":0.2},)"
    R"("report":{"columns":["svc_ms","cpu_share","served_ps"],"source":"answers"},)"
    R"("profiles":[{"name":"calcul-oferta","repeat":"repeatable","group":"all","aim":2000000,)"
    R"("deadline":6000000,"late-worth":0.3,"memory-span":5000000,"worth":3.0,"streaming":false},)"
    R"({"name":"depunere-cerere","repeat":"once","group":"all","aim":2500000,"deadline":6000000,)"
    R"("late-worth":0.3,"memory-span":0,"worth":2.0,"streaming":false},)"
    R"({"name":"comanda-montaj","repeat":"by_key","group":"zone","aim":3000000,)"
    R"("deadline":7500000,"late-worth":0.2,"memory-span":12000000,"worth":3.0,)"
    R"("streaming":false}],"tenants":[{"name":"judet-ilfov","share":0.57,"allowance-per-s":0}]})";

struct Counts {
  std::mutex mutex;
  std::map<std::string, int> runs;  // by trace id
  int copies = 0;
  int turned_away = 0;
};

struct Backend {
  Host host;
  int listener = -1;
  double one_way_ms = 0;
  std::mutex mutex;
  std::condition_variable changed;
  int running = 0;
  int waiting = 0;
};

enum class Entry { kBegun, kFull, kOver };

// Waits for a core. A request whose time is over by then is not begun.
Entry enter(Backend& backend, Clock::time_point deadline) {
  std::unique_lock<std::mutex> lock(backend.mutex);
  if (backend.running >= kCores && backend.waiting >= kWaitingRoom) {
    return Entry::kFull;
  }
  ++backend.waiting;
  backend.changed.wait(lock, [&] { return backend.running < kCores; });
  --backend.waiting;
  if (Clock::now() >= deadline) {
    backend.changed.notify_one();
    return Entry::kOver;
  }
  ++backend.running;
  return Entry::kBegun;
}

void leave(Backend& backend) {
  const std::lock_guard<std::mutex> guard(backend.mutex);
  --backend.running;
  backend.changed.notify_one();
}

bool has_arrived(int fd) {
  pollfd entry{fd, POLLIN, 0};
  return ::poll(&entry, 1, 0) > 0;
}

void serve_connection(Backend& backend, int fd, Record& record, Counts& counts, Random& random) {
  std::string buffer;
  for (;;) {
    Got got = Got::kNothing;
    const std::optional<Message> request = read_message(fd, buffer, 3600e3, got);
    if (!request) {
      break;
    }
    sleep_ms(backend.one_way_ms);
    const std::string id = request->header("x-trace-id");
    const auto deadline = Clock::now() + std::chrono::milliseconds(
                                             std::atoi(request->header("x-expires-in-ms").c_str()));
    const bool probe = id.empty();
    std::string text;
    if (probe) {
      text = answer(200, "Endpoint-Load-Metrics: TEXT cpu_share=0.9, served_ps=9\r\n", "");
    } else if (const Entry entry = enter(backend, deadline); entry != Entry::kBegun) {
      const std::lock_guard<std::mutex> guard(counts.mutex);
      ++counts.turned_away;
      text = answer(entry == Entry::kFull ? 503 : 504, "X-Never-Ran: 1\r\n", "");
      record.line("%s turns %s away: %s", backend.host.name.c_str(), id.c_str(),
                  entry == Entry::kFull ? "its queue is full" : "its time is over");
    } else {
      sleep_ms(random.uniform(kMinWorkMs, kMaxWorkMs));
      int runs = 0;
      {
        const std::lock_guard<std::mutex> guard(counts.mutex);
        runs = ++counts.runs[id];
      }
      leave(backend);
      record.line("%s has run %s (%d)", backend.host.name.c_str(), id.c_str(), runs);
      text = answer(200, "Content-Type: application/json\r\n",
                    R"({"nod":")" + backend.host.name + R"(","cerere":")" + id + R"("})");
    }
    sleep_ms(backend.one_way_ms);
    if (!write_all(fd, text, 1000)) {
      break;
    }
    if (!trouble() || probe || text.compare(9, 3, "200") != 0 ||
        random.uniform(0, 1) >= kCopyShare) {
      continue;
    }
    // The answer left the backend one_way_ms ago. The copy leaves it late_ms after the answer, and
    // what is to have arrived by then must have been written one_way_ms before that.
    const double late_ms = random.uniform(kMinLateMs, kMaxLateMs);
    const double look_ms = late_ms - 2 * backend.one_way_ms;
    if (look_ms > 0) {
      sleep_ms(look_ms);
      if (has_arrived(fd)) {
        continue;
      }
    }
    sleep_ms(look_ms > 0 ? 2 * backend.one_way_ms : late_ms);
    {
      const std::lock_guard<std::mutex> guard(counts.mutex);
      ++counts.copies;
    }
    record.line("%s sends the answer to %s once more, %.1f ms late", backend.host.name.c_str(),
                id.c_str(), late_ms);
    if (!write_all(fd, text, 1000)) {
      break;
    }
  }
  ::close(fd);
}

struct Results {
  std::atomic<int> served{0};
  std::atomic<int> refused{0};
  std::atomic<int> failed{0};
  std::atomic<int> foreign{0};
  std::atomic<int> unanswered{0};
  std::atomic<int> refused_but_run{0};
};

void run_client(std::uint16_t port, Record& record, Counts& counts, Random& random,
                Results& results, double until_ms) {
  int fd = -1;
  std::string buffer;
  while (record.ms() < until_ms) {
    if (fd < 0) {
      fd = connect_to(port);
      buffer.clear();
      if (fd < 0) {
        sleep_ms(50);
        continue;
      }
    }
    const double draw = random.uniform(0, 1);
    Call call{"/calcul-oferta/q", random.id(), "judet-ilfov", 6000, "", std::nullopt};
    if (draw < 0.34) {
      call.path = "/depunere-cerere/q";
      call.body = "dosar";
    } else if (draw < 0.59) {
      call.path = "/comanda-montaj/q";
      call.body = "comanda";
      call.key = random.id();
    }
    if (random.uniform(0, 1) < kHurriedShare) {
      call.expires_in_ms = static_cast<int>(random.uniform(kMinHurriedMs, kMaxHurriedMs));
    }
    Got got = Got::kNothing;
    std::optional<Message> message;
    if (write_all(fd, encode(call), 1000)) {
      message = read_message(fd, buffer, call.expires_in_ms + 700, got);
    }
    if (!message) {
      ++results.unanswered;
      record.line("client: %s %s not answered", call.trace_id.c_str(), call.path.c_str());
      ::close(fd);
      fd = -1;
      continue;
    }
    const int status = message->status();
    const bool once = call.path[1] == 'd';
    const char* judged = "";
    if (status == 200) {
      ++results.served;
      if (message->body.find(call.trace_id) == std::string::npos) {
        ++results.foreign;
        judged = " FOREIGN: made for another request";
      }
    } else if (status == 503 || status == 429) {
      ++results.refused;
      const std::lock_guard<std::mutex> guard(counts.mutex);
      if (once && counts.runs.count(call.trace_id) > 0) {
        ++results.refused_but_run;
        judged = " REFUSED though it has run";
      }
    } else {
      ++results.failed;
    }
    record.line("client: %s %s answered %d %s%s", call.trace_id.c_str(), call.path.c_str(), status,
                message->body.c_str(), judged);
    if (call.path[1] == 'd') {
      const std::lock_guard<std::mutex> guard(counts.mutex);
      counts.runs.try_emplace("once:" + call.trace_id, 0);
    }
    if (status != 200) {
      sleep_ms(200);
    }
    if (message->header("connection") == "close") {
      ::close(fd);
      fd = -1;
    }
  }
  if (fd >= 0) {
    ::close(fd);
  }
}

int run(Record& record, const std::string& folder) {
  static Counts counts;
  static Random random(71);
  static Results results;
  std::vector<Host> hosts;
  for (int i = 0; i < kHome + kAway; ++i) {
    auto* backend = new Backend;  // used until the process ends
    const bool home = i < kHome;
    backend->host = {"n-" + std::to_string(i),
                     0,
                     home ? "bucuresti" : "cluj",
                     "portal-mare",
                     i / 5,
                     "in_service"};
    backend->one_way_ms = home ? kSameMs : kCrossMs;
    backend->listener = listen_on_free_port(backend->host.port);
    hosts.push_back(backend->host);
    std::thread([backend, &record] {
      for (;;) {
        const int fd = ::accept4(backend->listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd >= 0) {
          set_no_delay(fd);
          std::thread([backend, fd, &record] {
            serve_connection(*backend, fd, record, counts, random);
          }).detach();
        }
      }
    }).detach();
  }
  static Discovery discovery(hosts);
  Proxy proxy(folder, discovery.port(), kMemoryMb, kSockets, kSettings);
  std::vector<std::thread> clients;
  const double until_ms = record.ms() + kRunMs;
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back(
        [&] { run_client(proxy.port(), record, counts, random, results, until_ms); });
  }
  for (std::thread& client : clients) {
    client.join();
  }
  const bool crashed = proxy.ended();
  int twice = 0;
  int copies = 0;
  int turned_away = 0;
  {
    const std::lock_guard<std::mutex> guard(counts.mutex);
    copies = counts.copies;
    turned_away = counts.turned_away;
    for (const auto& [id, runs] : counts.runs) {
      if (runs > 1 && counts.runs.count("once:" + id) > 0) {
        ++twice;
        record.line("TWICE: %s of depunere-cerere has run %d times", id.c_str(), runs);
      }
    }
  }
  char text[400];
  std::snprintf(text, sizeof text,
                "%d served, of these %d with an answer made for another request; %d refused, of "
                "these %d that must never run twice and have run; %d failed, %d not answered; %d "
                "that must never run twice ran twice; %d second copies, %d turned away",
                results.served.load(), results.foreign.load(), results.refused.load(),
                results.refused_but_run.load(), results.failed.load(), results.unanswered.load(),
                twice, copies, turned_away);
  record.line("%s", text);
  std::printf("%s\n", text);
  if (results.served < 100) {
    return crashed ? kBroken : kCouldNotRun;
  }
  const bool broken = results.foreign > 0 || twice > 0 || results.refused_but_run > 0 || crashed;
  return broken ? kBroken : kHeld;
}

}  // namespace

int main() {
  const int result = review::run_case(run);
  ::_exit(result);  // The stand-ins' threads still run.
}
