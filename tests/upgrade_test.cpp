// Upgrades: two processes on one inherited socket, with a folder that they share. Run with a test's
// name.
#include <sys/stat.h>

#include <atomic>
#include <cstring>
#include <list>
#include <thread>

#include "hot_restart/shared_state.h"
#include "support/proxy_fixture.h"

using namespace beechhill;
using namespace beechhill::test;

namespace {

// Answers every request with its own id and the backend's name, after `pause`.
class Backend {
 public:
  explicit Backend(std::string name, std::chrono::milliseconds pause = 0ms)
      : name_(std::move(name)), pause_(pause), thread_([this] { play(); }) {}
  ~Backend() {
    over_ = true;
    thread_.join();
  }
  std::string host() const { return host_json(name_, door_.address()); }

 private:
  void play() {
    std::list<Wire> wires;
    while (!over_) {
      std::vector<pollfd> polled{{door_.fd(), POLLIN, 0}};
      for (const Wire& wire : wires) {
        polled.push_back({wire.fd(), POLLIN, 0});
      }
      if (::poll(polled.data(), polled.size(), 20) <= 0) {
        continue;
      }
      std::size_t n = 1;
      for (auto it = wires.begin(); it != wires.end(); ++n) {
        if (polled[n].revents == 0) {
          ++it;
          continue;
        }
        http::Parser parser(http::Parser::Kind::kRequest);
        if (!it->fill()) {
          it = wires.erase(it);
        } else if (std::string bytes = it->buffer; parser.feed(bytes) != http::Progress::kDone) {
          ++it;
        } else {
          it->buffer.clear();
          std::this_thread::sleep_for(pause_);
          (it++)->reply(200, "", *parser.message().headers.find("X-Trace-Id") + " " + name_);
        }
      }
      if (polled[0].revents != 0) {
        wires.push_back(door_.accept());
      }
    }
  }

  Door door_;
  std::string name_;
  std::chrono::milliseconds pause_;
  std::atomic<bool> over_ = false;
  std::thread thread_;
};

std::string hosts(const Backend& a) {
  return "[" + a.host() + "]";
}
std::string hosts(const Backend& a, const Backend& b) {
  return "[" + a.host() + "," + b.host() + "]";
}

// One request on a connection of its own: what served it.
std::string ask(const Proxy& proxy, const std::string& id) {
  Wire client = proxy.client();
  client.send(Proxy::get(id));
  const http::Message answer = client.answer();
  assert(answer.status == 200 && answer.body.starts_with(id + " "));
  return answer.body.substr(id.size() + 1);
}

template <typename Condition>
void eventually(const Condition& holds) {
  const auto end = Clock::now() + kPatience;
  while (!holds()) {
    assert(Clock::now() < end), ::usleep(10'000);
  }
}

void reads_its_state_or_nothing() {
  using namespace hot_restart;
  SharedState s;
  s.generation = 7;
  apply(s, StateChange::kExclude, "s-1");
  apply(s, StateChange::kExclude, "s \"2\"\n");
  apply(s, StateChange::kExclude, "s-1");
  apply(s, StateChange::kDrain, "");
  const std::string text = encode(s);
  assert(decode(text) == s && s.drained && s.excluded_backends.size() == 2);
  for (std::size_t n = 0; n < text.size(); ++n) {
    assert(!decode(text.substr(0, n)));  // torn
  }
  for (std::size_t n = 0; n < text.size(); ++n) {
    std::string changed = text;
    changed[n] ^= 1;
    assert(!decode(changed));
  }
  assert(!decode(text + "x") && !decode("{}\n123\n"));
  apply(s, StateChange::kInclude, "s-1");
  apply(s, StateChange::kInclude, "s-1");
  apply(s, StateChange::kResume, "");
  assert(!s.drained && s.excluded_backends.size() == 1);
}

// A steady load, on kept and on new connections, over two upgrades in a row.
void loses_no_request() {
  const Shared shared;
  const Backend backend("s-1", 2ms);
  std::list<Proxy> processes;
  processes.emplace_back(hosts(backend), "[]", &shared);
  std::atomic<bool> over = false;
  std::atomic<int> served = 0;
  std::vector<std::thread> load;
  for (int t = 0; t < 4; ++t) {
    load.emplace_back([&, t, proxy = &processes.front()] {
      std::optional<Wire> kept;
      for (int n = 0; !over; ++n) {
        const std::string id = "l" + std::to_string(t) + "-" + std::to_string(n);
        if (!kept || t % 2 == 0) {
          kept = proxy->client();
        }
        if (kept->readable(0ms)) {
          kept = proxy->client();  // closed between requests
        }
        kept->send(Proxy::get(id));
        const http::Message answer = kept->answer();
        assert(answer.status == 200 && answer.body.starts_with(id));
        if (!answer.keep_alive()) {
          kept.reset();
        }
        ++served;
        ::usleep(2000);
      }
    });
  }
  for (int n = 0; n < 2; ++n) {
    eventually([&, before = served.load()] { return served > before + 50; });
    Proxy& old = processes.back();
    Proxy& fresh = processes.emplace_back(hosts(backend), "[]", &shared);
    assert(fresh.call("GET", "/api/ready").status == 200);
    old.signal(SIGTERM);
    const auto asked = Clock::now();
    assert(old.exit_status() == 0);
    assert(Clock::now() - asked < 3700ms);
    assert(ask(fresh, "mine" + std::to_string(n)) == "s-1");
  }
  eventually([&, before = served.load()] { return served > before + 50; });
  over = true;
  for (std::thread& thread : load) {
    thread.join();
  }
}

// What operators order at either process binds both, and the one that comes after.
void binds_both_processes() {
  const Shared shared;
  const Backend a("s-1"), b("s-2");
  Proxy old(hosts(a, b), "[]", &shared);
  assert(old.call("PUT", "/api/exclude?target=s-1").status == 200);
  assert(old.call("PUT", "/api/evacuate").status == 200);
  Proxy fresh(hosts(a, b), "[]", &shared);  // ready, drained as it is
  for (int n = 0; n < 6; ++n) {
    assert(ask(fresh, "a" + std::to_string(n)) == "s-2" && fresh.ready() == 503);
  }
  assert(fresh.call("PUT", "/api/rejoin").status == 200);
  assert(fresh.call("PUT", "/api/exclude?target=s-2").status == 200);
  const auto unavailable = [](const Proxy& proxy, int n) {
    const std::string figure = "\"members_unavailable\":" + std::to_string(n);
    return proxy.call("GET", "/api/telemetry").body.find(figure) != std::string::npos;
  };
  eventually([&] { return unavailable(old, 2); });
  assert(fresh.call("PUT", "/api/include?target=s-1").status == 200);
  eventually([&] { return unavailable(old, 1); });
  old.signal(SIGTERM);
  assert(fresh.ready() == 200);
  assert(old.exit_status() == 0);
  Proxy last(hosts(a, b), "[]", &shared);
  fresh.signal(SIGTERM);
  assert(fresh.exit_status() == 0 && unavailable(last, 1) && last.ready() == 200);
}

// The new process dies before its yes: the old one serves on, and its end is that of a proxy alone.
void outlives_a_stillborn_successor() {
  const Shared shared;
  const Backend backend("s-1");
  Proxy old(hosts(backend), "[]", &shared);
  {
    Proxy stillborn("", "[]", &shared);
    assert(stillborn.call("GET", "/api/ready").status == 503);
    for (int n = 0; n < 4; ++n) {
      assert(ask(old, "a" + std::to_string(n)) == "s-1");
    }
  }  // killed
  old.signal(SIGTERM);
  ::usleep(200'000);
  assert(ask(old, "late") == "s-1");  // it accepts for a while: nobody else does
  assert(old.exit_status() == 0);
}

void outlives_a_killed_predecessor() {
  const Shared shared;
  const Backend backend("s-1");
  auto old = std::make_unique<Proxy>(hosts(backend), "[]", &shared);
  assert(old->call("PUT", "/api/evacuate").status == 200);
  const Proxy fresh(hosts(backend), "[]", &shared);
  old.reset();  // killed amid the upgrade
  assert(fresh.call("GET", "/api/ready").status == 200 && fresh.ready() == 503);
  assert(fresh.call("PUT", "/api/rejoin").status == 200);
  for (int n = 0; n < 4; ++n) {
    assert(ask(fresh, "a" + std::to_string(n)) == "s-1");
  }
}

// What cannot be read in the shared folder is set aside; the service goes on, and so does sharing.
void sets_a_torn_state_aside() {
  const Shared shared;
  const Backend backend("s-1");
  const std::string state = shared.folder + "/beechhill-t.state";
  std::ofstream(state) << "{\"is\":\"beechhill-hand";
  const Proxy proxy(hosts(backend), "[]", &shared);
  assert(ask(proxy, "a") == "s-1" && std::filesystem::exists(state + ".faulty"));
  std::ofstream(state) << "other bytes";
  eventually([&] { return !std::filesystem::exists(state); });  // seen, and set aside
  assert(proxy.call("PUT", "/api/evacuate").status == 200 && std::filesystem::exists(state));
}

int status_with(const char* descriptor, int as_3) {
  const pid_t pid = ::fork();
  if (pid == 0) {
    const std::string path = "/tmp/proxy_fd_" + std::to_string(::getpid());
    std::ofstream(path) << config_json("127.0.0.1:0", "127.0.0.1:1", "[]");
    if (as_3 >= 0) {
      ::dup2(as_3, 3);
    }
    ::close(2);
    ::setenv("GW_CONFIG", path.c_str(), 1);
    ::setenv("GW_FD", descriptor, 1);
    ::alarm(10);
    ::execl(PROXY_PROGRAM, PROXY_PROGRAM, nullptr);
    ::_exit(127);
  }
  int status = 0;
  ::waitpid(pid, &status, 0);
  std::remove(("/tmp/proxy_fd_" + std::to_string(pid)).c_str());
  return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

void refuses_a_wrong_descriptor() {
  const net::Fd plain(::socket(AF_INET, SOCK_STREAM, 0)),
      datagrams(::socket(AF_INET, SOCK_DGRAM, 0));
  assert(status_with("3", plain.get()) == 1 && status_with("3", datagrams.get()) == 1);
  assert(status_with("300", -1) == 1 && status_with("three", -1) == 1 &&
         status_with("-1", -1) == 1);
}

}  // namespace

int main(int argc, char** argv) {
  return run_named(argc, argv,
                   {
                       {"reads_its_state_or_nothing", reads_its_state_or_nothing},
                       {"loses_no_request", loses_no_request},
                       {"binds_both_processes", binds_both_processes},
                       {"outlives_a_stillborn_successor", outlives_a_stillborn_successor},
                       {"outlives_a_killed_predecessor", outlives_a_killed_predecessor},
                       {"sets_a_torn_state_aside", sets_a_torn_state_aside},
                       {"refuses_a_wrong_descriptor", refuses_a_wrong_descriptor},
                   });
}
