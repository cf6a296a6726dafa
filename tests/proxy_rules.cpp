// Tests of the rules that the proxy must keep, with a proxy process and real sockets.
#include <gtest/gtest.h>

#include <algorithm>

#include "http/field_values.h"
#include "support/proxy_fixture.h"
#include "support/proxy_test_util.h"

using namespace beechhill;
using namespace beechhill::test;

namespace {

class ProxyRulesOneBackend : public OneBackendTest {};

long long unix_ms() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

// Forwards two requests and their responses on one client connection and one backend connection.
TEST_F(ProxyRulesOneBackend, ForwardsRequestAndResponseUnchanged) {
  client.send(ProxyUnderTest::post("a1", "body"));
  TestConnection server = backend.accept();
  const http::Message forwarded = server.request();
  ASSERT_EQ(forwarded.method, "POST");
  ASSERT_EQ(forwarded.target, "/ajuste");
  ASSERT_EQ(forwarded.body, "body");
  ASSERT_EQ(*forwarded.headers.find("X-Trace-Id"), "a1");
  ASSERT_EQ(*forwarded.headers.find("Idempotency-Key"), "ka1");
  const auto expires_in_ms = http::parse_unsigned(*forwarded.headers.find("X-Expires-In-Ms"));
  ASSERT_TRUE(expires_in_ms);
  ASSERT_GT(*expires_in_ms, 0);
  ASSERT_LE(*expires_in_ms, 2000);
  server.reply(200, "Content-Type: text/x\r\n", "answer");
  const http::Message answer = client.response();
  ASSERT_EQ(answer.status, 200);
  ASSERT_EQ(answer.body, "answer");
  ASSERT_EQ(*answer.headers.find("Content-Type"), "text/x");
  client.send(ProxyUnderTest::get("a2"));
  ASSERT_EQ(server.request().target, "/ver/x?user=1");  // The connection is used again.
  server.reply(200, "", "more");
  ASSERT_EQ(client.response().body, "more");
}

// A request is answered by its deadline plus a small margin, even if the backend never responds.
TEST_F(ProxyRulesOneBackend, AnswersRequestThatBackendNeverAnswers) {
  client.send(ProxyUnderTest::get("a1", 200));
  TestConnection server = backend.accept();
  server.request();
  const int status = client.response().status;
  ASSERT_TRUE(status == 503 || status == 502);
  // The proxy must close the connection, as HTTP/1.1 has no other way to cancel a request.
  ASSERT_FALSE(server.receive());
}

// The proxy does not retry a request that may have been executed. It does not reject such a request
// either, because a rejection invites the client to retry.
TEST(ProxyRules, NeverRepeatsRequestThatMayHaveRun) {
  for (const bool answered : {false, true}) {
    const FakeListener backend;
    const ProxyUnderTest proxy(single_backend_list(backend));
    TestConnection client = proxy.client();
    client.send(ProxyUnderTest::post("a1", "x", 300));
    {
      TestConnection server = backend.accept();
      server.request();
      if (answered) {
        server.reply(503, "", "");  // Without X-Never-Ran the request may have been executed.
      }
    }  // Closes the connection after the complete request was received.
    expect_status(client, 502);
    ASSERT_FALSE(backend.pending(0ms));
  }
}

// A response with X-Never-Ran proves that the request was not executed. The client gets a rejection
// with Retry-After, which invites it to retry.
TEST_F(ProxyRulesOneBackend, RejectsWithRetryAfterWhenBackendIsMarkedFull) {
  client.send(ProxyUnderTest::post("a1", "x", 250));
  TestConnection server = backend.accept();
  server.request();
  server.reply(503, "X-Never-Ran: 1\r\n", "");
  const http::Message answer = client.response();
  // The delay should be about a fifth of the longest delay that clients honour.
  const double retry_after_s = std::stod(*answer.headers.find("Retry-After"));
  ASSERT_EQ(answer.status, 503);
  ASSERT_GE(retry_after_s, 0.15);
  ASSERT_LE(retry_after_s, 0.45);
}

// A draining backend receives no request, and its idle connection is closed.
TEST(ProxyRules, SendsNothingToDrainingBackend) {
  const FakeListener first;
  const FakeListener second;
  ProxyUnderTest proxy("[" + host_json("s-1", first.address()) + "]");
  TestConnection client = proxy.client();
  TestConnection server = exchange(client, first, ProxyUnderTest::get("a1"), "1");
  proxy.send_endpoint_list("[" + host_json("s-1", first.address(), "terminating") + "," +
                               host_json("s-2", second.address()) + "]",
                           false);
  ASSERT_FALSE(server.receive());
  for (const char* id : {"a2", "a3"}) {
    client.send(ProxyUnderTest::get(id));
    TestConnection other = second.accept();
    other.request();
    other.send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
    expect_status(client, 200);
  }
  ASSERT_FALSE(first.pending(0ms));
}

// A backend in its slow start window receives less than a quarter of the requests of a warm one.
TEST(ProxyRules, SendsLessToBackendInSlowStart) {
  const FakeListener warm;
  const FakeListener cold;
  const ProxyUnderTest proxy("[" + host_json("s-1", warm.address()) + "," +
                             host_json("s-2", cold.address(), "in_service", unix_ms()) + "]");
  std::vector<TestConnection> clients;
  for (int i = 0; i < 24; ++i) {
    clients.push_back(proxy.client());
    clients.back().send(ProxyUnderTest::get("a" + std::to_string(i)));
  }
  int warm_requests = 0;
  int cold_requests = 0;
  std::vector<TestConnection> servers;
  while (warm_requests + cold_requests < 24) {
    ASSERT_TRUE(warm.pending(0ms) || cold.pending(0ms) || warm.pending(kTestTimeout));
    const bool is_warm = warm.pending(0ms);
    servers.push_back((is_warm ? warm : cold).accept());
    ++(is_warm ? warm_requests : cold_requests);
  }
  ASSERT_LT(cold_requests * 4, warm_requests);
}

TEST(ProxyRules, ClosesAttemptWhenClientDisconnects) {
  const FakeListener backend;
  const ProxyUnderTest proxy(single_backend_list(backend));
  std::vector<TestConnection> servers;
  {
    TestConnection client = proxy.client();
    client.send(ProxyUnderTest::get("a1"));
    servers.push_back(backend.accept());
    servers[0].request();
  }
  ASSERT_FALSE(servers[0].receive());
}

TEST_F(ProxyRulesOneBackend, AnswersPipelinedRequestsInOrder) {
  client.send(ProxyUnderTest::get("a1") + ProxyUnderTest::get("a2"));
  TestConnection server = backend.accept();
  for (const char* id : {"a1", "a2"}) {
    ASSERT_EQ(*server.request().headers.find("X-Trace-Id"), id);
    ASSERT_FALSE(server.readable(20ms));  // Requests are forwarded one at a time.
    server.reply(200, "", id);
    ASSERT_EQ(client.response().body, id);
  }
}

// Each malformed request is answered with its status, and its connection is closed. The proxy stays
// ready.
TEST(ProxyRules, RejectsMalformedRequests) {
  const FakeListener backend;
  const ProxyUnderTest proxy(single_backend_list(backend));
  const struct {
    std::string bytes;
    int status;
  } cases[] = {
      {"nonsense\r\n\r\n", 400},
      {"GET /ver HTTP/3.0\r\n\r\n", 505},
      {"GET /ver HTTP/1.1\r\nX: " + std::string(20000, 'x') + "\r\n\r\n", 431},
      {"POST /ajuste HTTP/1.1\r\nContent-Length: 60000000\r\n\r\n", 413},
      {"POST /ajuste HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n", 400},
      {"GET /unknown HTTP/1.1\r\nX-Trace-Id: a\r\n\r\n", 404},
      {"GET / HTTP/1.1\r\nX-Trace-Id: a\r\n\r\n", 404},
      {"GET /ver HTTP/1.1\r\n\r\n", 400},
      {"POST /ajuste HTTP/1.1\r\nX-Trace-Id: a\r\nContent-Length: 0\r\n\r\n", 400},
      {"DELETE /ver HTTP/1.1\r\nX-Trace-Id: a\r\n\r\n", 405},
      {"GET /ver HTTP/1.1\r\nX-Trace-Id: a\r\nX-Customer: nobody\r\n\r\n", 400},
      {"GET /ver HTTP/1.1\r\nX-Trace-Id: a\r\nX-Expires-In-Ms: soon\r\n\r\n", 400},
      {"GET /ver HTTP/1.1\r\nX-Trace-Id: a\r\nX-Expires-In-Ms: 0\r\n\r\n", 400},
      {"GET /ver HTTP/1.1\r\nX-Trace-Id: a\r\nX-Expires-In-Ms: 9\r\nX-Expires-In-Ms: 900\r\n\r\n",
       400},
      {"GET /ver HTTP/1.1\r\nX-Trace-Id:\r\n\r\n", 400},
      {"GET /ver HTTP/1.1\r\nX-Trace-Id: a\r\nX-Trace-Id: b\r\n\r\n", 400},
      {"GET /ver HTTP/1.1\r\nX-Trace-Id: a\r\nX-Customer: \r\n\r\n", 400},
      {"GET /ver HTTP/1.1\r\nX-Trace-Id: a\r\nContent-Length: 4\r\n\r\nGET ", 400},
      {"GET /ajuste HTTP/1.1\r\nX-Trace-Id: a\r\nIdempotency-Key: k\r\n\r\n", 405},
      {"POST /ver HTTP/1.1\r\nX-Trace-Id: a\r\nContent-Length: 0\r\n\r\n", 405},
      {"POST /ajuste HTTP/1.1\r\nX-Trace-Id: a\r\nIdempotency-Key: k\r\nContent-Length: "
       "1\r\n\r\nabc",
       400},
  };
  for (const auto& test_case : cases) {
    TestConnection client = proxy.client();
    client.send(test_case.bytes);
    expect_status(client, test_case.status);
    ASSERT_FALSE(client.receive());
  }
  ASSERT_FALSE(backend.pending(0ms));
  ASSERT_EQ(proxy.ready(), 200);
}

// A client that stops within its request gets 408. Silent clients are disconnected. A new client is
// served even if the silent clients outnumber the proxy's descriptors.
TEST(ProxyRules, TimesOutSilentClients) {
  const FakeListener backend;
  const ProxyUnderTest proxy(single_backend_list(backend));
  TestConnection half = proxy.client();
  half.send(ProxyUnderTest::get("a0").substr(0, 30));
  expect_status(half, 408);
  std::vector<TestConnection> silent;
  for (int i = 0; i < 300; ++i) {
    silent.push_back(proxy.client());
  }
  TestConnection regular = proxy.client();
  regular.send("GET /health/ready HTTP/1.1\r\n\r\n");
  expect_status(regular, 200);
  for (TestConnection& client : silent) {
    ASSERT_FALSE(client.receive());
  }
}

// Idle clients are evicted for new ones even while silent clients keep connecting.
TEST(ProxyRules, EvictsIdleClientsForNewOnes) {
  const FakeListener backend;
  const ProxyUnderTest proxy(single_backend_list(backend));
  std::vector<TestConnection> idle;
  std::vector<TestConnection> silent;
  for (int i = 0; i < 110; ++i) {
    idle.push_back(proxy.client());
    idle.back().send("GET /health/ready HTTP/1.1\r\n\r\n");
    expect_status(idle.back(), 200);
  }
  ::usleep(300'000);  // Idle connections younger than 250 ms might not be evicted.
  for (int i = 0; i < 60; ++i) {
    silent.push_back(proxy.client());
  }
  TestConnection regular = proxy.client();
  regular.send("GET /health/ready HTTP/1.1\r\n\r\n");
  expect_status(regular, 200);
  const auto closed = std::count_if(
      idle.begin(), idle.end(), [](const TestConnection& client) { return client.readable(0ms); });
  ASSERT_GE(closed, 10);
}

// A request with the trace id of a request in progress gets 409. The earlier request is still
// answered.
TEST(ProxyRules, RejectsTraceIdOfOpenRequest) {
  const FakeListener backend;
  const ProxyUnderTest proxy(single_backend_list(backend));
  TestConnection client = proxy.client();
  TestConnection other = proxy.client();
  client.send(ProxyUnderTest::get("a1"));
  TestConnection server = backend.accept();
  server.request();
  other.send(ProxyUnderTest::post("a1", "x"));
  expect_status(other, 409);
  server.reply(200, "", "first");
  ASSERT_EQ(client.response().body, "first");
  ASSERT_FALSE(backend.pending(0ms));
}

// Bytes that cannot begin a request show that the stated length of the previous request was wrong.
// That request gets 400, even if the bytes arrive after it was forwarded.
TEST_F(ProxyRulesOneBackend, RejectsRequestFollowedByGarbage) {
  client.send(ProxyUnderTest::post("a1", "x"));
  TestConnection server = backend.accept();
  server.request();
  client.send("more of the body");
  expect_status(client, 400);
  ASSERT_FALSE(server.receive());
}

// A malformed response makes only its own request fail with 502. The proxy stays ready.
TEST(ProxyRules, AnswersBadGatewayToMalformedResponses) {
  const FakeListener backend;
  const ProxyUnderTest proxy(single_backend_list(backend));
  for (const std::string& bytes :
       {std::string("garbage\r\n\r\n"), std::string("HTTP/1.1 200 OK\r\nContent-Le"),
        "HTTP/1.1 200 OK\r\n\r\n" + std::string(70000, 'x')}) {
    TestConnection client = proxy.client();
    client.send(ProxyUnderTest::post("a" + std::to_string(bytes.size()), "x", 300));
    while (!client.readable(5ms)) {
      if (!backend.pending(0ms)) {
        continue;
      }
      TestConnection server = backend.accept();
      if (server.receive()) {
        ::send(server.fd(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
      }
    }
    expect_status(client, 502);
  }
  ASSERT_EQ(proxy.ready(), 200);
}

// A response that stalls is abandoned well before the request's deadline.
TEST_F(ProxyRulesOneBackend, AbandonsStalledResponse) {
  const auto sent = Clock::now();
  client.send(ProxyUnderTest::get("a1", 3000));
  TestConnection server = backend.accept();
  server.request();
  server.send("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\na1");
  ASSERT_FALSE(server.receive());
  ASSERT_NE(client.response().status, 200);
  ASSERT_LT(Clock::now() - sent, 2500ms);
}

// A response that begins with an earlier request's trace id gets 502, and its connection is closed.
TEST_F(ProxyRulesOneBackend, RejectsLeftoverOfEarlierResponse) {
  TestConnection server = exchange(client, backend, ProxyUnderTest::post("a1", "x"), "a1 first");
  client.send(ProxyUnderTest::post("a2", "x"));
  server.request();
  server.reply(200, "", "a1 first");
  expect_status(client, 502);
  ASSERT_FALSE(server.receive());
}

TEST(ProxyRules, ReconnectsAfterMalformedEndpointList) {
  const FakeListener backend;
  ProxyUnderTest proxy("[]");
  for (const std::string malformed :
       {"{\n", "[1]\n", "{\"seq\":9,\"whole\":true,\"hosts\":[{\"host\":3}]}\n"}) {
    proxy.send_chunk(malformed);
    proxy.accept_watch();
  }
  proxy.send_endpoint_list(single_backend_list(backend));
  TestConnection client = proxy.client();
  TestConnection server = exchange(client, backend, ProxyUnderTest::get("a1", 3000), "");
}

// A watch on which not even an empty line arrives is closed, and a new one is opened.
TEST(ProxyRules, ReconnectsToSilentDiscovery) {
  ProxyUnderTest proxy("[]");
  proxy.accept_watch();
  ASSERT_EQ(proxy.ready(), 200);
}

// SIGHUP with an invalid configuration changes nothing. With a valid one the proxy connects at once
// to the new address of discovery and requests the complete list, because another discovery may
// number its versions differently. SIGTERM still ends the process after a reload.
TEST(ProxyRules, MovesWatchOnReload) {
  const FakeListener first;
  const FakeListener second;
  const FakeListener elsewhere;
  ProxyUnderTest proxy(single_backend_list(first));
  proxy.reconfigure("nowhere");
  TestConnection client = proxy.client();
  TestConnection server = exchange(client, first, ProxyUnderTest::get("a1"), "1");
  proxy.send_endpoint_list("[" + host_json("s-1", first.address(), "terminating") + "]", false);
  ASSERT_FALSE(server.receive());  // The proxy has applied the list.
  proxy.reconfigure(elsewhere.address());
  ASSERT_TRUE(proxy.accept_watch(elsewhere).ends_with("from=0"));
  proxy.send_endpoint_list("[" + host_json("s-2", second.address()) + "]", false);
  TestConnection other = exchange(client, second, ProxyUnderTest::get("a2"), "2");
  ASSERT_FALSE(first.pending(0ms));
  proxy.signal(SIGTERM);
  ASSERT_EQ(proxy.exit_status(), 0);
}

// A new backend has the address of a removed one. The connections of the removed backend must not
// be used for the new one.
TEST_F(ProxyRulesOneBackend, SharesNoConnectionsAtReusedAddress) {
  TestConnection previous = exchange(client, backend, ProxyUnderTest::get("a1"), "");
  proxy.send_endpoint_list("[" + host_json("s-1", backend.address(), "terminated") + "," +
                               host_json("s-2", backend.address()) + "]",
                           false);
  ASSERT_FALSE(previous.receive());
  TestConnection server = exchange(client, backend, ProxyUnderTest::get("a2"), "new");
}

// A backend moves while a request is in flight, or restarts while its connection is idle. Its
// previous connections must not be used for further requests.
TEST(ProxyRules, DropsConnectionsOfRestartedOrMovedBackend) {
  for (const bool moves : {true, false}) {
    const FakeListener first;
    const FakeListener second;
    ProxyUnderTest proxy(single_backend_list(first));
    TestConnection client = proxy.client();
    client.send(ProxyUnderTest::get("a1"));
    TestConnection previous = first.accept();
    previous.request();
    if (!moves) {  // The connection is idle when the proxy learns of the restart.
      previous.reply(200, "", "1");
      expect_status(client, 200);
    }
    proxy.send_endpoint_list("[" +
                                 host_json("s-1", (moves ? second : first).address(), "in_service",
                                           moves ? 0 : unix_ms() - 60'000) +
                                 "]",
                             false);
    if (moves) {  // The request is still in flight.
      TestConnection other = proxy.client();
      other.send(ProxyUnderTest::get("a2"));
      TestConnection server = second.accept();
      server.request();  // The second backend's request shows that the list was applied.
      server.reply(200, "Connection: close\r\n", "2");
      expect_status(other, 200);
      previous.reply(200, "", "1");
      expect_status(client, 200);
    }
    ASSERT_FALSE(previous.receive());
    TestConnection server =
        exchange(client, (moves ? second : first), ProxyUnderTest::get("a3"), "3");
  }
}

// The proxy accepts a list of thousands of backends on one line.
TEST(ProxyRules, AcceptsLongEndpointList) {
  const FakeListener backend;
  ProxyUnderTest proxy("[]");
  std::string hosts = "[";
  for (int i = 0; i < 12'000; ++i) {
    hosts += host_json("far-" + std::to_string(i), "127.0.0.1:9", "terminating") + ",";
  }
  proxy.send_endpoint_list(hosts + host_json("s-1", backend.address()) + "]");
  TestConnection client = proxy.client();
  client.send(ProxyUnderTest::get("a1"));
  const auto end = Clock::now() + kTestTimeout;
  // On a busy machine the proxy may reject requests before it has applied the list.
  for (int i = 2; !backend.pending(10ms); ++i) {
    ASSERT_LT(Clock::now(), end);
    if (!client.readable(0ms)) {
      continue;
    }
    expect_status(client, 503);
    client.send(ProxyUnderTest::get("a" + std::to_string(i)));
  }
  TestConnection server = backend.accept();
  server.request();
  server.reply(200, "", "");
  expect_status(client, 200);
}

// A backend closes an idle connection. The next request must use a new connection, because a
// request on the closed one would be reset.
TEST_F(ProxyRulesOneBackend, DoesNotReuseConnectionThatBackendClosed) {
  client.send(ProxyUnderTest::post("a1", "x"));
  {
    TestConnection server = backend.accept();
    server.request();
    server.reply(200, "", "");
    expect_status(client, 200);
  }  // Closes the idle connection.
  TestConnection server = exchange(client, backend, ProxyUnderTest::post("a2", "x"), "fresh");
}

// After SIGTERM the proxy reports that it is not ready, answers requests in flight and new ones,
// serves open connections until shortly before its response deadline, and then exits with status 0.
TEST(ProxyRules, ShutsDownGracefully) {
  const FakeListener backend;
  ProxyUnderTest proxy(single_backend_list(backend));
  TestConnection running = proxy.client();
  TestConnection idle = proxy.client();
  running.send(ProxyUnderTest::get("a1"));
  TestConnection server = backend.accept();
  server.request();
  proxy.signal(SIGTERM);
  const auto end = Clock::now() + kTestTimeout;
  while (proxy.ready() != 503) {
    ASSERT_LT(Clock::now(), end);
  }
  TestConnection late = proxy.client();
  late.send(ProxyUnderTest::get("a2"));
  TestConnection second = backend.accept();
  second.request();
  second.reply(200, "", "2");
  http::Message answer = late.response();
  ASSERT_EQ(answer.status, 200);
  ASSERT_FALSE(answer.keep_alive());
  server.reply(200, "", "1");
  ASSERT_EQ(running.response().body, "1");
  running.send(ProxyUnderTest::get("a3"));
  // Of the two idle connections, the proxy takes the one that may carry a request first.
  while (!server.readable(1ms) && !second.readable(1ms)) {
    ASSERT_LT(Clock::now(), end);
  }
  TestConnection& reused = server.readable(0ms) ? server : second;
  reused.request();
  reused.reply(200, "", "3");
  ASSERT_EQ(running.response().body, "3");
  ASSERT_FALSE(running.receive());
  ASSERT_FALSE(idle.receive());
  ASSERT_EQ(proxy.exit_status(), 0);
}

// If clients outnumber the proxy's descriptors, the client that has been idle longest is evicted.
TEST(ProxyRules, ServesMoreClientsThanDescriptors) {
  const FakeListener backend;
  const ProxyUnderTest proxy(single_backend_list(backend));
  std::vector<TestConnection> clients;
  for (int i = 0; i < 300; ++i) {  // More than the proxy's limit of 256 descriptors.
    clients.push_back(proxy.client());
    clients.back().send("GET /health/ready HTTP/1.1\r\n\r\n");
    expect_status(clients.back(), 200);
  }
  ASSERT_FALSE(clients.front().receive());
}

}  // namespace
