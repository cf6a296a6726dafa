// The operators' door, the figures, bans by hand and the door's course. Run with a test's name.
#include <json/json.h>

#include <cstring>

#include "admin/command.h"
#include "proxy/listener_lifecycle.h"
#include "support/proxy_fixture.h"

using namespace beechhill;
using namespace beechhill::test;

namespace {

std::string hosts_json(const Door& a, const Door& b) {
  return "[" + host_json("s-1", a.address()) + "," + host_json("s-2", b.address()) + "]";
}

Json::Value figures(const Proxy& proxy) {
  const http::Message answer = proxy.call("GET", "/api/telemetry");
  Json::Value root;
  std::string errors;
  const std::unique_ptr<Json::CharReader> reader(Json::CharReaderBuilder().newCharReader());
  assert(answer.status == 200);
  assert(
      reader->parse(answer.body.data(), answer.body.data() + answer.body.size(), &root, &errors));
  return root;
}

void reads_calls() {
  using admin::CommandType;
  const struct {
    const char *method, *target;
    int error;
    CommandType type;
    const char* id;
  } cases[] = {
      {"GET", "/api/ready", 0, CommandType::kReady, ""},
      {"GET", "/api/ready?x=1", 0, CommandType::kReady, ""},
      {"PUT", "/api/ready", 405, CommandType::kReady, ""},
      {"GET", "/api", 404, CommandType::kReady, ""},
      {"GET", "/api/ready/", 404, CommandType::kReady, ""},
      {"PUT", "/api/exclude?target=s-1", 0, CommandType::kExclude, "s-1"},
      {"PUT", "/api/include?a=b&target=a%2Fb%25", 0, CommandType::kInclude, "a/b%"},
      {"GET", "/api/exclude?target=s-1", 405, CommandType::kExclude, ""},
      {"PUT", "/api/exclude", 400, CommandType::kExclude, ""},
      {"PUT", "/api/exclude?", 400, CommandType::kExclude, ""},
      {"PUT", "/api/exclude?target", 400, CommandType::kExclude, ""},
      {"PUT", "/api/exclude?target=", 400, CommandType::kExclude, ""},
      {"PUT", "/api/exclude?target=a&target=a", 400, CommandType::kExclude, ""},
      {"PUT", "/api/exclude?target=%4", 400, CommandType::kExclude, ""},
      {"PUT", "/api/exclude?target=%zz", 400, CommandType::kExclude, ""},
      {"PUT", "/api/exclude?target=%+1", 400, CommandType::kExclude, ""},
      {"PUT", "/api/evacuate", 0, CommandType::kDrain, ""},
      {"PUT", "/api/rejoin", 0, CommandType::kResume, ""},
  };
  for (const auto& c : cases) {
    const admin::Command call = admin::parse_command(c.method, c.target);
    assert(call.error_status == c.error);
    if (call.error_status == 0) {
      assert(call.type == c.type && call.target == c.id);
    }
  }
}

// The stages of a drain, of its end and of a planned end, by themselves and one amid the other.
void follows_its_course() {
  using proxy::ListenerLifecycle;
  const Time t0 = 100s;
  ListenerLifecycle c{Duration(3s)};
  assert(c.is_ready() && c.accepts_connections(t0) && !c.closes_after_response(t0, t0 + 1h) &&
         !c.closes_idle_connections(t0 + 1h));
  c.drain(t0);
  c.drain(t0 + 5s);  // once more changes nothing
  assert(!c.is_ready() && c.accepts_connections(t0 + 1h) && !c.closes_after_response(t0, t0) &&
         c.closes_after_response(t0, t0 + 400ms));
  assert(!c.closes_idle_connections(t0 + 1s) && c.closes_idle_connections(t0 + 2s) &&
         c.response_deadline() == Time::max());
  c.resume();
  assert(c.is_ready() && !c.closes_after_response(t0, t0 + 4s) &&
         !c.closes_idle_connections(t0 + 4s));
  ListenerLifecycle alone{Duration(3s)}, with_successor{Duration(3s)};
  alone.begin_shutdown(t0, false);
  alone.drain(t0 + 100ms);
  assert(!alone.is_ready() && alone.accepts_connections(t0 + 500ms) &&
         !alone.accepts_connections(t0 + 1100ms) && alone.closes_idle_connections(t0 + 2s));
  assert(alone.response_deadline() > t0 + 3s && alone.response_deadline() < t0 + 3700ms);
  with_successor.begin_shutdown(t0, true);
  assert(with_successor.is_ready() && !with_successor.accepts_connections(t0) &&
         with_successor.closes_after_response(t0 - 1s, t0) &&
         !with_successor.closes_idle_connections(t0 + 1s));
}

// Callers that say nothing, or half of it, fill the door; a real call is answered meanwhile, also
// while the clients' side is full.
void answers_operators_in_a_crowd() {
  const Door a, b;
  const Proxy proxy(hosts_json(a, b));
  std::vector<Wire> silent, half, clients;
  for (int i = 0; i < 250; ++i) {
    clients.push_back(proxy.client());
  }
  for (int i = 0; i < 40; ++i) {
    silent.push_back(proxy.caller());
    half.push_back(proxy.caller());
    half.back().send("PUT /api/evacuate HT");
  }
  const auto sent = Clock::now();
  assert(proxy.call("GET", "/api/ready").status == 200 && Clock::now() - sent < 5s);
  for (Wire& caller : silent) {
    assert(!caller.fill());
  }
  assert(proxy.call("DELETE", "/api/ready").status == 405 && proxy.call("GET", "/").status == 404);
}

// What was taken is completed, rejected, failed or abandoned, or still pending; every class is
// there from the start.
void counts_each_request_once() {
  const Door backend;
  const Proxy proxy("[" + host_json("s-1", backend.address()) + "]");
  Json::Value f = figures(proxy);
  assert(f["completed"]["ver"] == 0 && f["failed"]["ajuste"] == 0 && f["pending"] == 0 &&
         f["members"] == 1);
  Wire client = proxy.client();
  client.send(Proxy::get("a1"));
  Wire server = backend.accept();
  server.request();
  f = figures(proxy);
  assert(f["pending"] == 1 && f["upstream_requests"] == 1);
  server.reply(200, "", "x");
  expect_status(client, 200);
  client.send(Proxy::post("a2", "b"));
  server.request();
  server.reply(500, "", "");
  expect_status(client, 502);
  client.send(Proxy::post("a3", "b", 250));
  server.request();
  server.reply(503, "X-Never-Ran: 1\r\n", "");
  expect_status(client, 503);
  {
    Wire leaver = proxy.client();
    leaver.send(Proxy::get("a4"));
    server.request();
  }
  assert(!server.fill());
  client.send("GET /nowhere HTTP/1.1\r\nX-Trace-Id: a5\r\n\r\n");  // no request of a class
  expect_status(client, 404);
  f = figures(proxy);
  assert(f["completed"]["ver"] == 1 && f["failed"]["ajuste"] == 1 && f["rejected"]["ajuste"] == 1);
  assert(f["completed"]["ajuste"] == 0 && f["failed"]["ver"] == 0 && f["rejected"]["ver"] == 0);
  assert(f["pending"] == 0 && f["upstream_requests"] == 4);
}

void answer_next(const Door& backend, Wire& client) {
  Wire server = backend.accept();
  server.request();
  server.send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
  expect_status(client, 200);
}

// A backend that is back is cold: a client may be told to come again before it gets its first
// request.
void answer_soon(const Door& backend, Wire& client, const std::string& id) {
  for (int n = 0;; ++n) {
    client.send(Proxy::get(id + std::to_string(n)));
    while (!client.readable(5ms) && !backend.pending(0ms)) {}
    if (backend.pending(0ms)) {
      return answer_next(backend, client);
    }
    expect_status(client, 503);
    assert(n < 8);  // 5 s at the most
  }
}

// A backend left out by hand gets nothing new, whatever the list says of it meanwhile, until one
// call back.
void keeps_bans() {
  const Door first, second;
  Proxy proxy(hosts_json(first, second));
  assert(proxy.call("PUT", "/api/exclude?target=nobody").status == 404);
  assert(proxy.call("PUT", "/api/include?target=nobody").status == 404);
  for (int i = 0; i < 2; ++i) {
    assert(proxy.call("PUT", "/api/exclude?target=s-1").status == 200);
  }
  const Json::Value f = figures(proxy);
  assert(f["members"] == 2 && f["members_unavailable"] == 1);
  Wire client = proxy.client();
  int n = 0;
  const auto all_go_to = [&](const Door& only, const Door& other) {
    for (int i = 0; i < 4; ++i) {
      client.send(Proxy::get("b" + std::to_string(++n)));
      answer_next(only, client);
    }
    assert(!other.pending(0ms));
  };
  all_go_to(second, first);
  proxy.list("[" + host_json("s-1", first.address(), "terminated") + "]",
             false);  // gone, and back as another start
  proxy.list("[" + host_json("s-1", first.address(), "in_service", 1) + "]", false);
  all_go_to(second, first);
  proxy.list("[" + host_json("s-1", first.address(), "terminated") + "]", false);
  all_go_to(second, first);
  assert(proxy.call("PUT", "/api/exclude?target=s-1").status == 200);  // gone, yet known
  assert(proxy.call("PUT", "/api/include?target=s-1").status == 200);
  proxy.list("[" + host_json("s-1", first.address()) + "]", false);
  assert(proxy.call("PUT", "/api/exclude?target=s-2").status == 200);
  answer_soon(first, client, "last");
  assert(!second.pending(0ms));
}

// A ban closes idle connections. With all left out, a client is told so at once and when to return.
void refuses_when_all_are_out() {
  const Door backend;
  const Proxy proxy("[" + host_json("s-1", backend.address()) + "]");
  Wire client = proxy.client();
  client.send(Proxy::get("a1"));
  Wire server = backend.accept();
  server.request();
  server.reply(200, "", "1");
  expect_status(client, 200);
  assert(proxy.call("PUT", "/api/exclude?target=s-1").status == 200);
  assert(!server.fill());
  client.send(Proxy::get("a2", 60000));  // held, it would wait for half of its aim
  const http::Message answer = client.answer();
  assert(answer.status == 503 && answer.headers.find("Retry-After"));
  assert(proxy.call("PUT", "/api/include?target=s-1").status == 200);
  answer_soon(backend, client, "c");
}

// Sent away: not ready, new clients still served, answers say close, idle connections go; the
// process runs on and is taken back.
void drains_and_rejoins() {
  const Door backend;
  Proxy proxy("[" + host_json("s-1", backend.address()) + "]");
  Wire busy = proxy.client(), idle = proxy.client(), asker = proxy.client();
  for (Wire* wire : {&idle, &asker}) {
    wire->send(Proxy::get(wire == &idle ? "i" : "k"));
    answer_next(backend, *wire);
  }
  busy.send(Proxy::get("a1"));
  Wire server = backend.accept();
  server.request();
  for (int i = 0; i < 2; ++i) {
    assert(proxy.call("PUT", "/api/evacuate").status == 200);
  }
  assert(proxy.ready() == 503 && proxy.call("GET", "/api/ready").status == 200);
  ::usleep(350'000);
  asker.send(
      Proxy::get("a2") +
      Proxy::get("a3"));  // the second has been read when the close comes: it is answered first
  Wire other = backend.accept();
  other.request();
  other.reply(200, "", "2");
  http::Message answer = asker.answer();
  assert(answer.body == "2" && answer.keep_alive());
  assert(*other.request().headers.find("X-Trace-Id") == "a3");
  other.reply(200, "", "3");
  answer = asker.answer();
  assert(answer.body == "3" && !answer.keep_alive() && !asker.fill() && !other.readable(0ms));
  Wire fresh = proxy.client();
  fresh.send(Proxy::get("a4"));
  other.request();
  other.reply(200, "", "4");
  assert(fresh.answer().body == "4");
  assert(!idle.fill());  // closed within the drain's time, nothing owed to it
  server.reply(200, "", "1");
  answer = busy.answer();
  assert(answer.body == "1" && !answer.keep_alive());
  assert(proxy.call("PUT", "/api/rejoin").status == 200 &&
         proxy.call("PUT", "/api/rejoin").status == 200);
  assert(proxy.ready() == 200);
  Wire back = proxy.client();
  back.send(Proxy::get("a5"));
  Wire* const free = server.readable(200ms) ? &server : &other;
  free->request();
  free->reply(200, "", "5");
  answer = back.answer();
  assert(answer.body == "5" && answer.keep_alive());
  assert(proxy.call("PUT", "/api/evacuate").status == 200);
  proxy.signal(SIGTERM);  // a planned end during a drain
  assert(proxy.exit_status() == 0);
}

}  // namespace

int main(int argc, char** argv) {
  return run_named(argc, argv,
                   {
                       {"reads_calls", reads_calls},
                       {"follows_its_course", follows_its_course},
                       {"answers_operators_in_a_crowd", answers_operators_in_a_crowd},
                       {"counts_each_request_once", counts_each_request_once},
                       {"keeps_bans", keeps_bans},
                       {"refuses_when_all_are_out", refuses_when_all_are_out},
                       {"drains_and_rejoins", drains_and_rejoins},
                   });
}
