// Tests of operators' calls to a running proxy: telemetry, exclusion, drain and resume.
#include <gtest/gtest.h>
#include <json/json.h>

#include <memory>

#include "support/proxy_fixture.h"

namespace beechhill::test {
namespace {

std::string hosts_json(const FakeListener& first, const FakeListener& second) {
  return "[" + host_json("s-1", first.address()) + "," + host_json("s-2", second.address()) + "]";
}

Json::Value telemetry(const ProxyUnderTest& proxy) {
  const http::Message answer = proxy.admin_request("GET", "/api/telemetry");
  Json::Value root;
  std::string errors;
  const std::unique_ptr<Json::CharReader> reader(Json::CharReaderBuilder().newCharReader());
  EXPECT_EQ(answer.status, 200);
  EXPECT_TRUE(
      reader->parse(answer.body.data(), answer.body.data() + answer.body.size(), &root, &errors))
      << errors;
  return root;
}

// Callers that send nothing or half a call hold all operator connections, and clients hold all of
// the descriptors for clients. A complete call must still be answered, which requires that the idle
// callers are evicted.
TEST(OperatorCalls, AreAnsweredWhileIdleCallersAndClientsHoldAllConnections) {
  const FakeListener first, second;
  const ProxyUnderTest proxy(hosts_json(first, second));
  std::vector<TestConnection> silent, half, clients;
  for (int i = 0; i < 250; ++i) {
    clients.push_back(proxy.client());
  }
  for (int i = 0; i < 40; ++i) {
    silent.push_back(proxy.admin_client());
    half.push_back(proxy.admin_client());
    half.back().send("PUT /api/evacuate HT");
  }
  const auto sent = Clock::now();
  EXPECT_EQ(proxy.admin_request("GET", "/api/ready").status, 200);
  EXPECT_LT(Clock::now() - sent, 5s);
  for (TestConnection& caller : silent) {
    EXPECT_FALSE(caller.receive());
  }
  EXPECT_EQ(proxy.admin_request("DELETE", "/api/ready").status, 405);
  EXPECT_EQ(proxy.admin_request("GET", "/").status, 404);
}

// Each accepted request is counted exactly once, as pending, completed, rejected or failed, unless
// its client disconnects. Every class is listed before its first request.
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
    TestConnection leaving_client = proxy.client();
    leaving_client.send(ProxyUnderTest::get("a4"));
    server.request();
  }
  EXPECT_FALSE(server.receive());
  // The path names no class, so the request is not counted.
  client.send("GET /nowhere HTTP/1.1\r\nX-Trace-Id: a5\r\n\r\n");
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

// Repeats a request until the backend receives it, and answers it. A backend that has just been
// included is in slow start, so the first requests may be rejected with a Retry-After.
void answer_eventually(const FakeListener& backend, TestConnection& client, const std::string& id) {
  for (int attempt = 0;; ++attempt) {
    client.send(ProxyUnderTest::get(id + std::to_string(attempt)));
    while (!client.readable(5ms) && !backend.pending(0ms)) {}
    if (backend.pending(0ms)) {
      return answer_next(backend, client);
    }
    expect_status(client, 503);
    ASSERT_LT(attempt, 8);  // The requests take at most 5 s.
  }
}

// An excluded backend gets no new requests until it is included again, even if the endpoint list
// removes it and adds it again in the meantime.
TEST(OperatorExclusion, PersistsThroughChangesOfTheEndpointList) {
  const FakeListener first, second;
  ProxyUnderTest proxy(hosts_json(first, second));
  EXPECT_EQ(proxy.admin_request("PUT", "/api/exclude?target=nobody").status, 404);
  EXPECT_EQ(proxy.admin_request("PUT", "/api/include?target=nobody").status, 404);
  for (int i = 0; i < 2; ++i) {
    EXPECT_EQ(proxy.admin_request("PUT", "/api/exclude?target=s-1").status, 200);
  }
  const Json::Value counters = telemetry(proxy);
  EXPECT_EQ(counters["members"], 2);
  EXPECT_EQ(counters["members_unavailable"], 1);
  TestConnection client = proxy.client();
  int request_count = 0;
  const auto all_go_to = [&](const FakeListener& only, const FakeListener& other) {
    for (int i = 0; i < 4; ++i) {
      client.send(ProxyUnderTest::get("b" + std::to_string(++request_count)));
      answer_next(only, client);
    }
    EXPECT_FALSE(other.pending(0ms));
  };
  all_go_to(second, first);
  // The backend is removed, and added again as restarted.
  proxy.send_endpoint_list("[" + host_json("s-1", first.address(), "terminated") + "]", false);
  proxy.send_endpoint_list("[" + host_json("s-1", first.address(), "in_service", 1) + "]", false);
  all_go_to(second, first);
  proxy.send_endpoint_list("[" + host_json("s-1", first.address(), "terminated") + "]", false);
  all_go_to(second, first);
  // A removed backend that is excluded is still known.
  EXPECT_EQ(proxy.admin_request("PUT", "/api/exclude?target=s-1").status, 200);
  EXPECT_EQ(proxy.admin_request("PUT", "/api/include?target=s-1").status, 200);
  proxy.send_endpoint_list("[" + host_json("s-1", first.address()) + "]", false);
  EXPECT_EQ(proxy.admin_request("PUT", "/api/exclude?target=s-2").status, 200);
  answer_eventually(first, client, "last");
  EXPECT_FALSE(second.pending(0ms));
}

// Excluding a backend closes its idle connections. While all backends are excluded, a request is
// rejected at once with a Retry-After.
TEST(OperatorExclusion, OfAllBackendsRejectsRequestsAtOnce) {
  const FakeListener backend;
  const ProxyUnderTest proxy("[" + host_json("s-1", backend.address()) + "]");
  TestConnection client = proxy.client();
  client.send(ProxyUnderTest::get("a1"));
  TestConnection server = backend.accept();
  server.request();
  server.reply(200, "", "1");
  expect_status(client, 200);
  EXPECT_EQ(proxy.admin_request("PUT", "/api/exclude?target=s-1").status, 200);
  EXPECT_FALSE(server.receive());
  // The request must not be queued, where it would wait for half of its latency objective.
  client.send(ProxyUnderTest::get("a2", 60000));
  const http::Message answer = client.response();
  EXPECT_EQ(answer.status, 503);
  EXPECT_TRUE(answer.headers.find("Retry-After"));
  EXPECT_EQ(proxy.admin_request("PUT", "/api/include?target=s-1").status, 200);
  answer_eventually(backend, client, "c");
}

// A drained proxy is not ready, but still serves new clients. It closes idle connections at once
// and each other connection after the response to the last request that it has read. It can be
// resumed or shut down.
TEST(OperatorDrain, ClosesClientConnectionsUntilResumed) {
  const FakeListener backend;
  ProxyUnderTest proxy("[" + host_json("s-1", backend.address()) + "]");
  TestConnection busy = proxy.client(), idle = proxy.client(), pipelining = proxy.client();
  for (TestConnection* connection : {&idle, &pipelining}) {
    connection->send(ProxyUnderTest::get(connection == &idle ? "i" : "k"));
    answer_next(backend, *connection);
  }
  busy.send(ProxyUnderTest::get("a1"));
  TestConnection server = backend.accept();
  server.request();
  for (int i = 0; i < 2; ++i) {
    EXPECT_EQ(proxy.admin_request("PUT", "/api/evacuate").status, 200);
  }
  EXPECT_EQ(proxy.ready(), 503);
  EXPECT_EQ(proxy.admin_request("GET", "/api/ready").status, 200);
  ::usleep(350'000);
  // The second request has been read when the proxy decides to close the connection, so it is
  // answered first.
  pipelining.send(ProxyUnderTest::get("a2") + ProxyUnderTest::get("a3"));
  TestConnection other = backend.accept();
  other.request();
  other.reply(200, "", "2");
  http::Message answer = pipelining.response();
  EXPECT_EQ(answer.body, "2");
  EXPECT_TRUE(answer.keep_alive());
  EXPECT_EQ(*other.request().headers.find("X-Trace-Id"), "a3");
  other.reply(200, "", "3");
  answer = pipelining.response();
  EXPECT_EQ(answer.body, "3");
  EXPECT_FALSE(answer.keep_alive());
  EXPECT_FALSE(pipelining.receive());
  EXPECT_FALSE(other.readable(0ms));
  TestConnection fresh = proxy.client();
  fresh.send(ProxyUnderTest::get("a4"));
  other.request();
  other.reply(200, "", "4");
  EXPECT_EQ(fresh.response().body, "4");
  EXPECT_FALSE(idle.receive());  // The drain closes a connection without a pending request.
  server.reply(200, "", "1");
  answer = busy.response();
  EXPECT_EQ(answer.body, "1");
  EXPECT_FALSE(answer.keep_alive());
  EXPECT_EQ(proxy.admin_request("PUT", "/api/rejoin").status, 200);
  EXPECT_EQ(proxy.admin_request("PUT", "/api/rejoin").status, 200);
  EXPECT_EQ(proxy.ready(), 200);
  TestConnection resumed = proxy.client();
  resumed.send(ProxyUnderTest::get("a5"));
  TestConnection* const free = server.readable(200ms) ? &server : &other;
  free->request();
  free->reply(200, "", "5");
  answer = resumed.response();
  EXPECT_EQ(answer.body, "5");
  EXPECT_TRUE(answer.keep_alive());
  EXPECT_EQ(proxy.admin_request("PUT", "/api/evacuate").status, 200);
  proxy.signal(SIGTERM);  // A shutdown must also work during a drain.
  EXPECT_EQ(proxy.exit_status(), 0);
}

}  // namespace
}  // namespace beechhill::test
