// Operators' calls to a running proxy: telemetry, exclusions, drain and resume.
#include <gtest/gtest.h>
#include <json/json.h>

#include <memory>

#include "support/proxy_fixture.h"

namespace beechhill::test {
namespace {

std::string hosts_json(const FakeListener& a, const FakeListener& b) {
  return "[" + host_json("s-1", a.address()) + "," + host_json("s-2", b.address()) + "]";
}

Json::Value telemetry(const ProxyUnderTest& proxy) {
  const http::Message answer = proxy.call("GET", "/api/telemetry");
  Json::Value root;
  std::string errors;
  const std::unique_ptr<Json::CharReader> reader(Json::CharReaderBuilder().newCharReader());
  EXPECT_EQ(answer.status, 200);
  EXPECT_TRUE(
      reader->parse(answer.body.data(), answer.body.data() + answer.body.size(), &root, &errors))
      << errors;
  return root;
}

// Silent callers, and callers that have sent half a call, hold all connections; a complete call is
// answered meanwhile, also while clients hold all of theirs.
TEST(OperatorCalls, AreAnsweredWhileSilentCallersAndClientsHoldAllConnections) {
  const FakeListener a, b;
  const ProxyUnderTest proxy(hosts_json(a, b));
  std::vector<TestConnection> silent, half, clients;
  for (int i = 0; i < 250; ++i) {
    clients.push_back(proxy.client());
  }
  for (int i = 0; i < 40; ++i) {
    silent.push_back(proxy.caller());
    half.push_back(proxy.caller());
    half.back().send("PUT /api/evacuate HT");
  }
  const auto sent = Clock::now();
  EXPECT_EQ(proxy.call("GET", "/api/ready").status, 200);
  EXPECT_LT(Clock::now() - sent, 5s);
  for (TestConnection& caller : silent) {
    EXPECT_FALSE(caller.fill());
  }
  EXPECT_EQ(proxy.call("DELETE", "/api/ready").status, 405);
  EXPECT_EQ(proxy.call("GET", "/").status, 404);
}

// An accepted request is pending, completed, rejected, failed or abandoned; every class is listed
// from the start.
TEST(OperatorTelemetry, CountsEachRequestOnce) {
  const FakeListener backend;
  const ProxyUnderTest proxy("[" + host_json("s-1", backend.address()) + "]");
  Json::Value counters = telemetry(proxy);
  EXPECT_EQ(counters["completed"]["ver"], 0);
  EXPECT_EQ(counters["failed"]["ajuste"], 0);
  EXPECT_EQ(counters["pending"], 0);
  EXPECT_EQ(counters["members"], 1);
  TestConnection client = proxy.client();
  client.send(ProxyUnderTest::get("a1"));
  TestConnection server = backend.accept();
  server.request();
  counters = telemetry(proxy);
  EXPECT_EQ(counters["pending"], 1);
  EXPECT_EQ(counters["upstream_requests"], 1);
  server.reply(200, "", "x");
  expect_status(client, 200);
  client.send(ProxyUnderTest::post("a2", "b"));
  server.request();
  server.reply(500, "", "");
  expect_status(client, 502);
  client.send(ProxyUnderTest::post("a3", "b", 250));
  server.request();
  server.reply(503, "X-Never-Ran: 1\r\n", "");
  expect_status(client, 503);
  {
    TestConnection leaver = proxy.client();
    leaver.send(ProxyUnderTest::get("a4"));
    server.request();
  }
  EXPECT_FALSE(server.fill());
  client.send("GET /nowhere HTTP/1.1\r\nX-Trace-Id: a5\r\n\r\n");  // no request of a class
  expect_status(client, 404);
  counters = telemetry(proxy);
  EXPECT_EQ(counters["completed"]["ver"], 1);
  EXPECT_EQ(counters["failed"]["ajuste"], 1);
  EXPECT_EQ(counters["rejected"]["ajuste"], 1);
  EXPECT_EQ(counters["completed"]["ajuste"], 0);
  EXPECT_EQ(counters["failed"]["ver"], 0);
  EXPECT_EQ(counters["rejected"]["ver"], 0);
  EXPECT_EQ(counters["pending"], 0);
  EXPECT_EQ(counters["upstream_requests"], 4);
}

void answer_next(const FakeListener& backend, TestConnection& client) {
  TestConnection server = backend.accept();
  server.request();
  server.send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
  expect_status(client, 200);
}

// An included backend begins its slow start: a client may get a Retry-After before the backend gets
// its first request.
void answer_soon(const FakeListener& backend, TestConnection& client, const std::string& id) {
  for (int n = 0;; ++n) {
    client.send(ProxyUnderTest::get(id + std::to_string(n)));
    while (!client.readable(5ms) && !backend.pending(0ms)) {}
    if (backend.pending(0ms)) {
      return answer_next(backend, client);
    }
    expect_status(client, 503);
    ASSERT_LT(n, 8);  // 5 s at the most
  }
}

// An excluded backend gets nothing new, whatever the endpoint list states meanwhile, until it is
// included again.
TEST(OperatorExclusion, OutlastsWhatTheEndpointListStates) {
  const FakeListener first, second;
  ProxyUnderTest proxy(hosts_json(first, second));
  EXPECT_EQ(proxy.call("PUT", "/api/exclude?target=nobody").status, 404);
  EXPECT_EQ(proxy.call("PUT", "/api/include?target=nobody").status, 404);
  for (int i = 0; i < 2; ++i) {
    EXPECT_EQ(proxy.call("PUT", "/api/exclude?target=s-1").status, 200);
  }
  const Json::Value counters = telemetry(proxy);
  EXPECT_EQ(counters["members"], 2);
  EXPECT_EQ(counters["members_unavailable"], 1);
  TestConnection client = proxy.client();
  int n = 0;
  const auto all_go_to = [&](const FakeListener& only, const FakeListener& other) {
    for (int i = 0; i < 4; ++i) {
      client.send(ProxyUnderTest::get("b" + std::to_string(++n)));
      answer_next(only, client);
    }
    EXPECT_FALSE(other.pending(0ms));
  };
  all_go_to(second, first);
  proxy.list("[" + host_json("s-1", first.address(), "terminated") + "]",
             false);  // removed, and added as restarted
  proxy.list("[" + host_json("s-1", first.address(), "in_service", 1) + "]", false);
  all_go_to(second, first);
  proxy.list("[" + host_json("s-1", first.address(), "terminated") + "]", false);
  all_go_to(second, first);
  EXPECT_EQ(proxy.call("PUT", "/api/exclude?target=s-1").status, 200);  // removed, yet known
  EXPECT_EQ(proxy.call("PUT", "/api/include?target=s-1").status, 200);
  proxy.list("[" + host_json("s-1", first.address()) + "]", false);
  EXPECT_EQ(proxy.call("PUT", "/api/exclude?target=s-2").status, 200);
  answer_soon(first, client, "last");
  EXPECT_FALSE(second.pending(0ms));
}

// An exclusion closes idle connections. With all backends excluded, a client gets a Retry-After at
// once.
TEST(OperatorExclusion, OfAllBackendsRejectsRequestsAtOnce) {
  const FakeListener backend;
  const ProxyUnderTest proxy("[" + host_json("s-1", backend.address()) + "]");
  TestConnection client = proxy.client();
  client.send(ProxyUnderTest::get("a1"));
  TestConnection server = backend.accept();
  server.request();
  server.reply(200, "", "1");
  expect_status(client, 200);
  EXPECT_EQ(proxy.call("PUT", "/api/exclude?target=s-1").status, 200);
  EXPECT_FALSE(server.fill());
  client.send(
      ProxyUnderTest::get("a2", 60000));  // queued, it would wait for half of its latency objective
  const http::Message answer = client.answer();
  EXPECT_EQ(answer.status, 503);
  EXPECT_TRUE(answer.headers.find("Retry-After"));
  EXPECT_EQ(proxy.call("PUT", "/api/include?target=s-1").status, 200);
  answer_soon(backend, client, "c");
}

// Drained: not ready, new clients are still served, responses close their connections, idle
// connections are closed; the process runs on and can be resumed.
TEST(OperatorDrain, SendsClientsAwayUntilResumed) {
  const FakeListener backend;
  ProxyUnderTest proxy("[" + host_json("s-1", backend.address()) + "]");
  TestConnection busy = proxy.client(), idle = proxy.client(), asker = proxy.client();
  for (TestConnection* wire : {&idle, &asker}) {
    wire->send(ProxyUnderTest::get(wire == &idle ? "i" : "k"));
    answer_next(backend, *wire);
  }
  busy.send(ProxyUnderTest::get("a1"));
  TestConnection server = backend.accept();
  server.request();
  for (int i = 0; i < 2; ++i) {
    EXPECT_EQ(proxy.call("PUT", "/api/evacuate").status, 200);
  }
  EXPECT_EQ(proxy.ready(), 503);
  EXPECT_EQ(proxy.call("GET", "/api/ready").status, 200);
  ::usleep(350'000);
  asker.send(ProxyUnderTest::get("a2") +
             ProxyUnderTest::get(
                 "a3"));  // the second has been read when the close comes: it is answered first
  TestConnection other = backend.accept();
  other.request();
  other.reply(200, "", "2");
  http::Message answer = asker.answer();
  EXPECT_EQ(answer.body, "2");
  EXPECT_TRUE(answer.keep_alive());
  EXPECT_EQ(*other.request().headers.find("X-Trace-Id"), "a3");
  other.reply(200, "", "3");
  answer = asker.answer();
  EXPECT_EQ(answer.body, "3");
  EXPECT_FALSE(answer.keep_alive());
  EXPECT_FALSE(asker.fill());
  EXPECT_FALSE(other.readable(0ms));
  TestConnection fresh = proxy.client();
  fresh.send(ProxyUnderTest::get("a4"));
  other.request();
  other.reply(200, "", "4");
  EXPECT_EQ(fresh.answer().body, "4");
  EXPECT_FALSE(idle.fill());  // closed by the drain, as no response is owed on it
  server.reply(200, "", "1");
  answer = busy.answer();
  EXPECT_EQ(answer.body, "1");
  EXPECT_FALSE(answer.keep_alive());
  EXPECT_EQ(proxy.call("PUT", "/api/rejoin").status, 200);
  EXPECT_EQ(proxy.call("PUT", "/api/rejoin").status, 200);
  EXPECT_EQ(proxy.ready(), 200);
  TestConnection back = proxy.client();
  back.send(ProxyUnderTest::get("a5"));
  TestConnection* const free = server.readable(200ms) ? &server : &other;
  free->request();
  free->reply(200, "", "5");
  answer = back.answer();
  EXPECT_EQ(answer.body, "5");
  EXPECT_TRUE(answer.keep_alive());
  EXPECT_EQ(proxy.call("PUT", "/api/evacuate").status, 200);
  proxy.signal(SIGTERM);  // a shutdown during a drain
  EXPECT_EQ(proxy.exit_status(), 0);
}

}  // namespace
}  // namespace beechhill::test
