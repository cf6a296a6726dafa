// Several processes of the program that are stopped together and continued: what each does on its
// way back, by the books of the backends and of discovery.
#include <memory>

#include "support/proxy_fixture.h"

namespace beechhill::test {
namespace {

constexpr std::size_t kProxies = 3, kClients = 4;

// Processes before the same two backends, each with a discovery of its own and clients that keep
// their connections.
struct Group {
  Group() {
    const std::string hosts =
        "[" + host_json("s-1", first.address()) + "," + host_json("s-2", second.address()) + "]";
    for (std::size_t i = 0; i < kProxies; ++i) {
      proxies.push_back(std::make_unique<Proxy>(hosts));
      for (std::size_t c = 0; c < kClients; ++c) {
        clients.push_back(proxies.back()->client());
      }
    }
    for (Wire& client : clients) {  // each is known as one that speaks
      client.send("GET /health/ready HTTP/1.1\r\nHost: t\r\n\r\n");
      expect_status(client, 200);
    }
  }
  void signal(int number) const {
    for (const auto& p : proxies) {
      p->signal(number);
    }
  }
  void ask(const std::string& round) {
    for (std::size_t i = 0; i < clients.size(); ++i) {
      clients[i].send(Proxy::get(round + std::to_string(i)));
    }
  }
  // Answers so many requests on new connections there.
  static void serve(const Door& backend, std::size_t requests) {
    for (std::size_t i = 0; i < requests; ++i) {
      Wire wire = backend.accept();
      wire.request();
      wire.send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
    }
  }
  void expect_all(int status) {
    for (Wire& client : clients) {
      expect_status(client, status);
    }
  }
  std::string drained() const {
    return "[" + host_json("s-1", first.address(), "terminating") + "]";
  }

  Door first, second;
  std::vector<std::unique_ptr<Proxy>> proxies;
  std::vector<Wire> clients;
};

// Requests and the word of a drain both wait when the processes wake, the requests in front. None
// may go where the drain is: it was told more than its grace ago.
void hears_before_it_sends() {
  Group group;
  group.signal(SIGSTOP);
  group.ask("a");
  for (const auto& p : group.proxies) {
    p->list(group.drained(), false);
  }
  ::usleep(2'200'000);  // beyond the grace of 2 s, and short of what a watch may be silent for
  group.signal(SIGCONT);
  Group::serve(group.second, group.clients.size());
  group.expect_all(200);
  assert(!group.first.pending(0ms));
}

// After a gap that no watch outlasts the whole list is asked for, once by each process.
void asks_anew_after_a_long_gap() {
  Group group;
  group.signal(SIGSTOP);
  ::usleep(3'200'000);
  group.signal(SIGCONT);
  for (const auto& p : group.proxies) {
    assert(p->watch_again().ends_with("from=0"));
    p->list("[" + host_json("s-1", group.first.address(), "terminating") + "," +
            host_json("s-2", group.second.address()) + "," +
            host_json("s-3", group.second.address()) + "]");
    const auto end = Clock::now() + kPatience;
    const auto told = [&p](const char* what) {
      return p->call("GET", "/api/telemetry").body.find(what) != std::string::npos;
    };
    while (!told("\"members\":3")) {
      assert(Clock::now() < end);
    }
    assert(told("\"stage\":\"full\""));
  }
  group.ask("b");
  Group::serve(group.second, group.clients.size());
  group.expect_all(200);
  assert(!group.first.pending(0ms));
}

// Discovery does not come back: what is held serves on, after a bounded wait.
void goes_on_without_discovery() {
  Group group;
  group.signal(SIGSTOP);
  group.ask("a");
  ::usleep(3'200'000);
  group.signal(SIGCONT);
  std::size_t served = 0;
  const auto end = Clock::now() + kPatience;
  while (served < group.clients.size()) {
    assert(Clock::now() < end);
    for (const Door* door : {&group.first, &group.second}) {
      if (door->pending(5ms)) {
        Group::serve(*door, 1), ++served;
      }
    }
  }
  for (const auto& p : group.proxies) {
    assert(p->call("GET", "/api/telemetry").body.find("\"stage\":\"hearing\"") !=
           std::string::npos);
  }
  group.expect_all(200);
}

}  // namespace
}  // namespace beechhill::test

int main(int argc, char** argv) {
  using namespace beechhill::test;
  return run_named(argc, argv,
                   {
                       {"hears_before_it_sends", hears_before_it_sends},
                       {"asks_anew_after_a_long_gap", asks_anew_after_a_long_gap},
                       {"goes_on_without_discovery", goes_on_without_discovery},
                   });
}
