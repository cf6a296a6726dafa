// One test with real sockets for each rule that the proxy must keep.
#include <gtest/gtest.h>

#include <algorithm>

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

// What a client asked reaches a backend unchanged, and so does the body on its way back; twice on
// one connection.
TEST_F(ProxyRulesOneBackend, ForwardsRequestAndResponseUnchanged) {
  client.send(Proxy::post("a1", "body"));
  Wire server = backend.accept();
  const http::Message got = server.request();
  ASSERT_EQ(got.method, "POST");
  ASSERT_EQ(got.target, "/ajuste");
  ASSERT_EQ(got.body, "body");
  ASSERT_EQ(*got.headers.find("X-Trace-Id"), "a1");
  ASSERT_EQ(*got.headers.find("Idempotency-Key"), "ka1");
  const auto left = http::whole_number(*got.headers.find("X-Expires-In-Ms"));
  ASSERT_TRUE(left);
  ASSERT_GT(*left, 0);
  ASSERT_LE(*left, 2000);
  server.reply(200, "Content-Type: text/x\r\n", "answer");
  const http::Message answer = client.answer();
  ASSERT_EQ(answer.status, 200);
  ASSERT_EQ(answer.body, "answer");
  ASSERT_EQ(*answer.headers.find("Content-Type"), "text/x");
  client.send(Proxy::get("a2"));
  ASSERT_EQ(server.request().target, "/ver/x?user=1");  // the connection is used again
  server.reply(200, "", "more");
  ASSERT_EQ(client.answer().body, "more");
}

// Rule 1: a request is answered even where a backend never does, and no later than its deadline and
// the slack.
TEST_F(ProxyRulesOneBackend, AnswersRequestThatBackendNeverAnswers) {
  client.send(Proxy::get("a1", 200));
  Wire server = backend.accept();
  server.request();
  const int status = client.answer().status;
  ASSERT_TRUE(status == 503 || status == 502);
  ASSERT_FALSE(
      server.fill());  // the step's connection is closed: that is how a backend hears of it
}

// Rule 2: a request that may have run is not sent again on the network's own account, nor called
// refused.
TEST(ProxyRules, NeverRepeatsRequestThatMayHaveRun) {
  for (const bool answered : {false, true}) {
    const Door backend;
    const Proxy proxy(one_host(backend));
    Wire client = proxy.client();
    client.send(Proxy::post("a1", "x", 300));
    {
      Wire server = backend.accept();
      server.request();
      if (answered) {
        server.reply(503, "", "");  // without the mark: it may have run
      }
    }  // breaks after the whole request
    expect_status(client, 502);
    ASSERT_FALSE(backend.pending(0ms));
  }
}

// Only the mark makes 503 a "full", which frees the request for another backend or a refusal.
TEST_F(ProxyRulesOneBackend, RejectsWithRetryAfterWhenBackendIsMarkedFull) {
  client.send(Proxy::post("a1", "x", 250));
  Wire server = backend.accept();
  server.request();
  server.reply(503, "X-Never-Ran: 1\r\n", "");
  const http::Message answer = client.answer();
  const double advice =
      std::stod(*answer.headers.find("Retry-After"));  // about a fifth of what clients honour
  ASSERT_EQ(answer.status, 503);
  ASSERT_GE(advice, 0.15);
  ASSERT_LE(advice, 0.45);
}

// Rule 3: nothing goes to a backend that drains, and its idle connection closes.
TEST(ProxyRules, SendsNothingToDrainingBackend) {
  const Door first, second;
  Proxy proxy("[" + host_json("s-1", first.address()) + "]");
  Wire client = proxy.client();
  Wire server = exchange(client, first, Proxy::get("a1"), "1");
  proxy.list("[" + host_json("s-1", first.address(), "terminating") + "," +
                 host_json("s-2", second.address()) + "]",
             false);
  ASSERT_FALSE(server.fill());
  for (const char* id : {"a2", "a3"}) {
    client.send(Proxy::get(id));
    Wire other = second.accept();
    other.request();
    other.send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
    expect_status(client, 200);
  }
  ASSERT_FALSE(first.pending(0ms));
}

// Rule 4: a backend that has just started gets far less than a warm one beside it.
TEST(ProxyRules, SendsLessToBackendInSlowStart) {
  const Door warm, cold;
  const Proxy proxy("[" + host_json("s-1", warm.address()) + "," +
                    host_json("s-2", cold.address(), "in_service", unix_ms()) + "]");
  std::vector<Wire> clients;
  for (int i = 0; i < 24; ++i) {
    clients.push_back(proxy.client());
    clients.back().send(Proxy::get("a" + std::to_string(i)));
  }
  int at_warm = 0, at_cold = 0;
  std::vector<Wire> servers;
  while (at_warm + at_cold < 24) {
    ASSERT_TRUE(warm.pending(0ms) || cold.pending(0ms) || warm.pending(kPatience));
    const bool is_warm = warm.pending(0ms);
    servers.push_back((is_warm ? warm : cold).accept());
    ++(is_warm ? at_warm : at_cold);
  }
  ASSERT_LT(at_cold * 4, at_warm);
}

// A client that leaves ends its operation: its attempt's connection closes.
TEST(ProxyRules, ClosesAttemptWhenClientDisconnects) {
  const Door backend;
  const Proxy proxy(one_host(backend));
  std::vector<Wire> held;
  {
    Wire client = proxy.client();
    client.send(Proxy::get("a1"));
    held.push_back(backend.accept());
    held[0].request();
  }
  ASSERT_FALSE(held[0].fill());
}

// The next request may come early; it is answered in its turn.
TEST_F(ProxyRulesOneBackend, AnswersPipelinedRequestsInOrder) {
  client.send(Proxy::get("a1") + Proxy::get("a2"));
  Wire server = backend.accept();
  for (const char* id : {"a1", "a2"}) {
    ASSERT_EQ(*server.request().headers.find("X-Trace-Id"), id);
    ASSERT_FALSE(server.readable(20ms));  // one at a time
    server.reply(200, "", id);
    ASSERT_EQ(client.answer().body, id);
  }
}

// What cannot be understood is answered and the connection closed; the proxy goes on.
TEST(ProxyRules, RejectsMalformedRequests) {
  const Door backend;
  const Proxy proxy(one_host(backend));
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
  for (const auto& c : cases) {
    Wire client = proxy.client();
    client.send(c.bytes);
    expect_status(client, c.status);
    ASSERT_FALSE(client.fill());
  }
  ASSERT_FALSE(backend.pending(0ms));
  ASSERT_EQ(proxy.ready(), 200);
}

// Whoever says nothing, or half of it, hears of it soon; a silent crowd larger than the descriptors
// does not keep a new client waiting.
TEST(ProxyRules, TimesOutSilentClients) {
  const Door backend;
  const Proxy proxy(one_host(backend));
  Wire half = proxy.client();
  half.send(Proxy::get("a0").substr(0, 30));
  expect_status(half, 408);
  std::vector<Wire> silent;
  for (int i = 0; i < 300; ++i) {
    silent.push_back(proxy.client());
  }
  Wire usual = proxy.client();
  usual.send("GET /health/ready HTTP/1.1\r\n\r\n");
  expect_status(usual, 200);
  for (Wire& client : silent) {
    ASSERT_FALSE(client.fill());
  }
}

// Clients that ask once and stay for good make room for new ones, also while silent ones keep
// coming.
TEST(ProxyRules, EvictsIdleClientsForNewOnes) {
  const Door backend;
  const Proxy proxy(one_host(backend));
  std::vector<Wire> kept, silent;
  for (int i = 0; i < 110; ++i) {
    kept.push_back(proxy.client());
    kept.back().send("GET /health/ready HTTP/1.1\r\n\r\n");
    expect_status(kept.back(), 200);
  }
  ::usleep(300'000);  // past the age up to which they are spared
  for (int i = 0; i < 60; ++i) {
    silent.push_back(proxy.client());
  }
  Wire usual = proxy.client();
  usual.send("GET /health/ready HTTP/1.1\r\n\r\n");
  expect_status(usual, 200);
  const auto closed =
      std::count_if(kept.begin(), kept.end(), [](const Wire& w) { return w.readable(0ms); });
  ASSERT_GE(closed, 10);
}

// The id of an open request is refused, and the first request goes on.
TEST(ProxyRules, RejectsTraceIdOfOpenRequest) {
  const Door backend;
  const Proxy proxy(one_host(backend));
  Wire client = proxy.client(), other = proxy.client();
  client.send(Proxy::get("a1"));
  Wire server = backend.accept();
  server.request();
  other.send(Proxy::post("a1", "x"));
  expect_status(other, 409);
  server.reply(200, "", "first");
  ASSERT_EQ(client.answer().body, "first");
  ASSERT_FALSE(backend.pending(0ms));
}

// What follows a request and is no request shows that its length was wrong, also where it comes
// late.
TEST_F(ProxyRulesOneBackend, RejectsRequestFollowedByGarbage) {
  client.send(Proxy::post("a1", "x"));
  Wire server = backend.accept();
  server.request();
  client.send("more of the body");
  expect_status(client, 400);
  ASSERT_FALSE(server.fill());
}

// A backend's nonsense is a failure of that step alone.
TEST(ProxyRules, AnswersBadGatewayToMalformedResponses) {
  const Door backend;
  const Proxy proxy(one_host(backend));
  for (const std::string& bytes :
       {std::string("garbage\r\n\r\n"), std::string("HTTP/1.1 200 OK\r\nContent-Le"),
        "HTTP/1.1 200 OK\r\n\r\n" + std::string(70000, 'x')}) {
    Wire client = proxy.client();
    client.send(Proxy::post("a" + std::to_string(bytes.size()), "x", 300));
    while (!client.readable(5ms)) {
      if (!backend.pending(0ms)) {
        continue;
      }
      Wire server = backend.accept();
      if (server.fill()) {
        ::send(server.fd(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
      }
    }
    expect_status(client, 502);
  }
  ASSERT_EQ(proxy.ready(), 200);
}

// An answer that stops before its stated end is given up long before its request's time is.
TEST_F(ProxyRulesOneBackend, GivesUpResponseThatStallsBeforeItsEnd) {
  const auto sent = Clock::now();
  client.send(Proxy::get("a1", 3000));
  Wire server = backend.accept();
  server.request();
  server.send("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\na1");
  ASSERT_FALSE(server.fill());
  ASSERT_NE(client.answer().status, 200);
  ASSERT_LT(Clock::now() - sent, 2500ms);
}

// What was left over from one answer is not served as the next, and its connection is not used
// again.
TEST_F(ProxyRulesOneBackend, RejectsLeftoverOfEarlierResponse) {
  Wire server = exchange(client, backend, Proxy::post("a1", "x"), "a1 first");
  client.send(Proxy::post("a2", "x"));
  server.request();
  server.reply(200, "", "a1 first");
  expect_status(client, 502);
  ASSERT_FALSE(server.fill());
}

// Bad words from discovery end the watch; the proxy comes back for the list and uses it.
TEST(ProxyRules, ReconnectsAfterMalformedEndpointList) {
  const Door backend;
  Proxy proxy("[]");
  for (const std::string bad :
       {"{\n", "[1]\n", "{\"seq\":9,\"whole\":true,\"hosts\":[{\"host\":3}]}\n"}) {
    proxy.chunk(bad);
    proxy.watch_again();
  }
  proxy.list(one_host(backend));
  Wire client = proxy.client();
  Wire server = exchange(client, backend, Proxy::get("a1", 3000), "");
}

// A watch that says nothing, not even empty lines, is opened anew.
TEST(ProxyRules, ReconnectsToSilentDiscovery) {
  Proxy proxy("[]");
  proxy.watch_again();
  ASSERT_EQ(proxy.ready(), 200);
}

// SIGHUP: a faulty file changes nothing; a good one moves the watch at once, to the whole list as
// another discovery may count its versions otherwise, and a planned end goes on working after it.
TEST(ProxyRules, MovesWatchOnReload) {
  const Door first, second, elsewhere;
  Proxy proxy(one_host(first));
  proxy.reconfigure("nowhere");
  Wire client = proxy.client();
  Wire server = exchange(client, first, Proxy::get("a1"), "1");
  proxy.list("[" + host_json("s-1", first.address(), "terminating") + "]", false);
  ASSERT_FALSE(server.fill());  // told
  proxy.reconfigure(elsewhere.address());
  ASSERT_TRUE(proxy.watch_again(elsewhere).ends_with("from=0"));
  proxy.list("[" + host_json("s-2", second.address()) + "]", false);
  Wire other = exchange(client, second, Proxy::get("a2"), "2");
  ASSERT_FALSE(first.pending(0ms));
  proxy.signal(SIGTERM);
  ASSERT_EQ(proxy.exit_status(), 0);
}

// A new backend at the address of one that is gone shares nothing with it, connections neither.
TEST_F(ProxyRulesOneBackend, SharesNoConnectionsAtReusedAddress) {
  Wire former = exchange(client, backend, Proxy::get("a1"), "");
  proxy.list("[" + host_json("s-1", backend.address(), "terminated") + "," +
                 host_json("s-2", backend.address()) + "]",
             false);
  ASSERT_FALSE(former.fill());
  Wire server = exchange(client, backend, Proxy::get("a2"), "new");
}

// A backend that moves, or is started anew, while a call to it is out: its old connections serve no
// other call.
TEST(ProxyRules, DropsConnectionsOfRestartedOrMovedBackend) {
  for (const bool moves : {true, false}) {
    const Door first, second;
    Proxy proxy(one_host(first));
    Wire client = proxy.client();
    client.send(Proxy::get("a1"));
    Wire former = first.accept();
    former.request();
    if (!moves) {  // its connection is idle when the start is told
      former.reply(200, "", "1");
      expect_status(client, 200);
    }
    proxy.list("[" +
                   host_json("s-1", (moves ? second : first).address(), "in_service",
                             moves ? 0 : unix_ms() - 60'000) +
                   "]",
               false);
    if (moves) {  // it is still out
      Wire other = proxy.client();
      other.send(Proxy::get("a2"));
      Wire server = second.accept();
      server.request();  // so the list is known
      server.reply(200, "Connection: close\r\n", "2");
      expect_status(other, 200);
      former.reply(200, "", "1");
      expect_status(client, 200);
    }
    ASSERT_FALSE(former.fill());
    Wire server = exchange(client, (moves ? second : first), Proxy::get("a3"), "3");
  }
}

// A list of many thousands of backends, in one line, is a list like any other.
TEST(ProxyRules, AcceptsLongEndpointList) {
  const Door backend;
  Proxy proxy("[]");
  std::string hosts = "[";
  for (int i = 0; i < 12'000; ++i) {
    hosts += host_json("far-" + std::to_string(i), "127.0.0.1:9", "terminating") + ",";
  }
  proxy.list(hosts + host_json("s-1", backend.address()) + "]");
  Wire client = proxy.client();
  client.send(Proxy::get("a1"));
  const auto end = Clock::now() + kPatience;
  for (int i = 2; !backend.pending(10ms);
       ++i) {  // on a busy machine the list takes longer than a request is held for it
    ASSERT_LT(Clock::now(), end);
    if (!client.readable(0ms)) {
      continue;
    }
    expect_status(client, 503);
    client.send(Proxy::get("a" + std::to_string(i)));
  }
  Wire server = backend.accept();
  server.request();
  server.reply(200, "", "");
  expect_status(client, 200);
}

// A connection that a backend has closed is not used again: what is written to it would be a reset.
TEST_F(ProxyRulesOneBackend, DoesNotReuseConnectionThatBackendClosed) {
  client.send(Proxy::post("a1", "x"));
  {
    Wire server = backend.accept();
    server.request();
    server.reply(200, "", "");
    expect_status(client, 200);
  }  // closes the idle connection
  Wire server = exchange(client, backend, Proxy::post("a2", "x"), "fresh");
}

// SIGTERM: no longer ready, what runs and what still comes is answered, kept connections serve on
// for a while, then exit 0.
TEST(ProxyRules, ShutsDownGracefully) {
  const Door backend;
  Proxy proxy(one_host(backend));
  Wire running = proxy.client();
  Wire idle = proxy.client();
  running.send(Proxy::get("a1"));
  Wire server = backend.accept();
  server.request();
  proxy.signal(SIGTERM);
  const auto end = Clock::now() + kPatience;
  while (proxy.ready() != 503) {
    ASSERT_LT(Clock::now(), end);
  }
  Wire late = proxy.client();
  late.send(Proxy::get("a2"));
  Wire second = backend.accept();
  second.request();
  second.reply(200, "", "2");
  http::Message answer = late.answer();
  ASSERT_EQ(answer.status, 200);
  ASSERT_FALSE(answer.keep_alive());
  server.reply(200, "", "1");
  ASSERT_EQ(running.answer().body, "1");
  running.send(Proxy::get("a3"));
  server.request();
  server.reply(200, "", "3");
  ASSERT_EQ(running.answer().body, "3");
  ASSERT_FALSE(running.fill());
  ASSERT_FALSE(idle.fill());
  ASSERT_EQ(proxy.exit_status(), 0);
}

// More clients than descriptors: the longest idle make room, and everyone is answered.
TEST(ProxyRules, ServesMoreClientsThanDescriptors) {
  const Door backend;
  const Proxy proxy(one_host(backend));
  std::vector<Wire> clients;
  for (int i = 0; i < 300; ++i) {  // the program may hold 256 descriptors
    clients.push_back(proxy.client());
    clients.back().send("GET /health/ready HTTP/1.1\r\n\r\n");
    expect_status(clients.back(), 200);
  }
  ASSERT_FALSE(clients.front().fill());
}

}  // namespace
