// Races between two events, each forced into a fixed order. See docs/design/crossings.md.
#include "http/writer.h"
#include "support/proxy_fixture.h"
#include "support/proxy_test_util.h"

using namespace beechhill;
using namespace beechhill::test;

namespace {

class CrossingsOneBackend : public OneBackendTest {};

// A client pipelines more requests than the proxy buffers and disconnects. The attempt of its first
// request must be cancelled although bytes on the connection are still unread.
TEST(Crossings, NoticesDisconnectBehindUnreadBytes) {
  const FakeListener backend;
  const ProxyUnderTest proxy(single_backend_list(backend));
  std::vector<TestConnection> servers;
  const auto sent = Clock::now();
  {
    TestConnection client = proxy.client();
    client.send(ProxyUnderTest::get("a1"));
    servers.push_back(backend.accept());
    servers[0].request();
    std::string early;
    for (int i = 0; early.size() < 110'000; ++i) {
      early += ProxyUnderTest::get("b" + std::to_string(i));
    }
    client.send(early);
  }
  ASSERT_FALSE(servers[0].receive());
  ASSERT_LT(Clock::now() - sent, 2s);  // The request's deadline is after 3 s.
  ASSERT_FALSE(backend.pending(50ms));
}

// After a gap in which the process did not run and discovery sent no update, the resync must end as
// soon as all data of the watch has been read. This must also hold on the first watch, which
// requested the complete list and has already received it.
TEST(Crossings, ResyncsAfterGapWithoutUpdates) {
  const FakeListener backend;
  ProxyUnderTest proxy(single_backend_list(backend));
  proxy.signal(SIGSTOP);
  ::usleep(1'200'000);  // More than half of the drain grace, less than the silence timeout.
  proxy.signal(SIGCONT);
  TestConnection client = proxy.client();
  TestConnection server = exchange(client, backend, ProxyUnderTest::get("a1"), "1");
  // The stage "full" shows that the resync ended before its deadline.
  ASSERT_NE(proxy.admin_request("GET", "/api/telemetry").body.find("full"), std::string::npos);
}

// At start the proxy requests the complete list, because discovery may have a newer list than the
// cached one and may number its versions differently.
TEST(Crossings, RequestsCompleteListAtStart) {
  const ProxyUnderTest proxy("", "[" + host_json("s-1", "127.0.0.1:9") + "]");
  ASSERT_TRUE(proxy.first_watch_target().ends_with("from=0"));
}

// The proxy must accept a list that spans several lines, with an empty line in it and a name that
// looks like the end of the list.
TEST(Crossings, ReadsIndentedEndpointList) {
  const FakeListener backend;
  ProxyUnderTest proxy("[]");
  proxy.send_chunk("\n{\n  \"seq\": 9,\n  \"whole\": true,\n\n  \"hosts\": [\n    " +
                   host_json("s-}\\\"{", backend.address()) + "\n  ]\n}\n");
  TestConnection client = proxy.client();
  TestConnection server = exchange(client, backend, ProxyUnderTest::get("a1"), "");
}

// A watch that delivers the start of a list and then single bytes must be closed, just as if
// nothing arrived.
TEST(Crossings, ClosesWatchWithoutCompleteTokens) {
  ProxyUnderTest proxy("[]");
  proxy.send_chunk("{\"seq\":5,\"whole\":true,\"hosts\":[");
  // These bytes arrive for 4 s, which is longer than the silence timeout.
  for (int i = 0; i < 40 && !proxy.has_pending_watch(); ++i) {
    proxy.send_chunk(" ");
    ::usleep(100'000);
  }
  ASSERT_TRUE(proxy.has_pending_watch());
}

// Malformed data closes the watch at once, even without a line end. One case is a list that is
// truncated within a string at the end of a line.
TEST(Crossings, ClosesMalformedWatchAtOnce) {
  ProxyUnderTest proxy("[]");
  const auto started_at = Clock::now();
  for (const char* malformed : {"xxxx", "{\"seq\":5,\"who\n", "]"}) {
    proxy.send_chunk(malformed);
    proxy.accept_watch();
  }
  ASSERT_LT(Clock::now() - started_at, 2s);  // A silent watch is closed after 2.5 s.
}

// Discovery accepts connections but does not answer. The proxy must replace the connection several
// times within the silence timeout, and must serve the waiting requests when the first list
// arrives. Only after a logged gap may the request state another version or be late.
TEST(Crossings, ReconnectsWhenDiscoveryDoesNotAnswer) {
  const FakeListener backend;
  ProxyUnderTest proxy("[]");
  // The response to this second call shows that the first watch has been read to its end, so the
  // resync at start is over.
  ASSERT_EQ(proxy.ready(), 200);
  proxy.send_endpoint_list("[]");
  proxy.send_raw("0\r\n\r\n");  // Ends the watch.
  const auto started_at = Clock::now();
  for (int i = 0; i < 3; ++i) {
    proxy.accept_silent_watch();
  }
  const std::string target = proxy.accept_watch();
  const auto took = Clock::now() - started_at;
  // A process that got no CPU time logs a gap and requests the complete list, with a delay.
  LogReader log(proxy);
  const bool from_held_version = target.ends_with("from=3");
  ASSERT_TRUE(from_held_version || (target.ends_with("from=0") && log.wait_for_gap(5s) > 0ms))
      << target;
  ASSERT_LT(took, 2500ms + log.logged_gaps());
  proxy.send_endpoint_list(single_backend_list(backend), false);
  TestConnection client = proxy.client();
  client.send(ProxyUnderTest::get("a1"));
  backend.accept().request();
}

// After a gap longer than the silence timeout in which the process did not run, the next watch must
// request the complete list, even if discovery did not answer the connection before it.
TEST(Crossings, RequestsCompleteListAfterGapBetweenCalls) {
  ProxyUnderTest proxy("[]");
  ASSERT_EQ(proxy.ready(), 200);  // The response shows that the resync at start is over.
  proxy.send_endpoint_list("[]");
  proxy.send_raw("0\r\n\r\n");
  proxy.accept_silent_watch();
  proxy.signal(SIGSTOP);
  ::usleep(2'800'000);  // Longer than the silence timeout.
  proxy.signal(SIGCONT);
  LogReader log(proxy);
  ASSERT_GE(log.wait_for_gap(kTestTimeout), 2500ms);
  std::string target = proxy.accept_watch();
  if (target.ends_with("from=3")) {  // This request was sent before the gap was detected.
    target = proxy.accept_watch();
  }
  ASSERT_TRUE(target.ends_with("from=0")) << target;
}

// After SIGTERM, the proxy must answer all connections that the kernel accepts until the listener
// closes.
TEST(Crossings, AnswersBacklogAtShutdown) {
  const FakeListener backend;
  ProxyUnderTest proxy("[]");
  proxy.send_endpoint_list("[]");
  proxy.signal(SIGTERM);
  while (proxy.ready() != 503) {
    ::usleep(1000);
  }
  proxy.signal(SIGSTOP);
  std::vector<TestConnection> clients;
  for (int i = 0; i < 20; ++i) {
    clients.push_back(proxy.client());
    clients.back().send("GET /health/ready HTTP/1.1\r\nHost: t\r\n\r\n");
  }
  ::usleep(1'200'000);  // Longer than the 1 s in which the proxy accepts during a shutdown.
  proxy.signal(SIGCONT);
  for (TestConnection& client : clients) {
    expect_status(client, 503);
  }
  ASSERT_EQ(proxy.exit_status(), 0);
}

// During a shutdown, a pipelined request that has already been read is answered before the
// connection is closed.
TEST(Crossings, AnswersPipelinedRequestAtShutdown) {
  const FakeListener backend;
  ProxyUnderTest proxy(single_backend_list(backend));
  proxy.signal(SIGTERM);
  while (proxy.ready() != 503) {
    ::usleep(1000);
  }
  // The connection is accepted after SIGTERM, so without the pipelined request it would close after
  // one response.
  TestConnection client = proxy.client();
  client.send(ProxyUnderTest::get("a1") + ProxyUnderTest::get("a2"));
  TestConnection server = backend.accept();
  for (const char* id : {"a1", "a2"}) {
    ASSERT_EQ(*server.request().headers.find("X-Trace-Id"), id);
    server.reply(200, "", id);
    const http::Message answer = client.response();
    ASSERT_EQ(answer.body, id);
    ASSERT_EQ(answer.keep_alive(), (std::string_view(id) == "a1"));
  }
}

// A request that arrives after the last response on its connection is not read. The proxy must then
// reset the connection instead of closing it normally, so that the client can tell that it must
// retry.
TEST(Crossings, ResetsConnectionOverUnansweredRequest) {
  const FakeListener backend;
  ProxyUnderTest proxy(single_backend_list(backend));
  proxy.signal(SIGTERM);
  while (proxy.ready() != 503) {
    ::usleep(1000);
  }
  TestConnection client = proxy.client();
  client.send(ProxyUnderTest::get("a1"));
  TestConnection server = backend.accept();
  server.request();
  server.reply(200, "", "1");
  ASSERT_FALSE(client.response().keep_alive());
  client.send(ProxyUnderTest::get("a2"));
  char byte = 0;
  ASSERT_TRUE(client.readable(kTestTimeout));
  ASSERT_EQ(::recv(client.fd(), &byte, 1, 0), 0);  // The proxy has closed its sending side.
  const auto end = Clock::now() + kTestTimeout;
  int error = 0;
  socklen_t size = sizeof error;
  while (error == 0) {
    ASSERT_LT(Clock::now(), end);
    ::usleep(5000);
    ::getsockopt(client.fd(), SOL_SOCKET, SO_ERROR, &error, &size);
  }
  ASSERT_TRUE(error == ECONNRESET || error == EPIPE);
  ASSERT_TRUE(!server.readable(0ms) || !server.receive());  // The second request was not forwarded.
}

// A backend writes part of a line or a second response on an idle connection. The proxy must close
// the connection and use another one for the next request.
TEST(Crossings, DropsIdleConnectionThatBackendWritesTo) {
  for (const std::string& late :
       {std::string("HTTP/1.1 2"), http::write_response(200, "", "second", false)}) {
    const FakeListener backend;
    const ProxyUnderTest proxy(single_backend_list(backend));
    TestConnection client = proxy.client();
    TestConnection server = exchange(client, backend, ProxyUnderTest::get("a1"), "first");
    server.send(late);
    ASSERT_FALSE(server.receive());  // The proxy has read the bytes and closed the connection.
    TestConnection other = exchange(client, backend, ProxyUnderTest::get("a2"), "second's own");
  }
}

// A response without a stated length whose connection is reset must count as incomplete, however
// much of it has arrived.
TEST_F(CrossingsOneBackend, TreatsResetAsFailedResponse) {
  client.send(ProxyUnderTest::post("a1", "x"));
  {
    TestConnection server = backend.accept();
    server.request();
    server.send("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\na1 and a part");
    ::usleep(50'000);  // Lets the proxy read the first part before the reset.
    const linger reset{1, 0};
    ::setsockopt(server.fd(), SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
  }
  expect_status(client, 502);  // The request may have been executed.
  ASSERT_FALSE(backend.pending(0ms));
}

// Idle clients hold all descriptors while discovery is unavailable. The proxy must open the watch
// again, apply its list, and forward a new client's request to the backend.
TEST(Crossings, ServesWhileIdleClientsHoldAllDescriptors) {
  const FakeListener backend;
  ProxyUnderTest proxy("[]");
  std::vector<TestConnection> idle;
  for (int i = 0; i < 300; ++i) {
    idle.push_back(proxy.client());  // More than the proxy's limit of 256 descriptors.
  }
  proxy.send_raw("0\r\n\r\n");
  for (int i = 0; i < 100; ++i) {
    idle.push_back(proxy.client());
  }
  proxy.accept_watch();
  proxy.send_endpoint_list(single_backend_list(backend), false);
  TestConnection client = proxy.client();
  TestConnection server = exchange(client, backend, ProxyUnderTest::get("a1"), "1");
}

// An invalid configuration, a new address of discovery and further signals arrive during a
// shutdown. The request in flight must still be answered, and the process must exit with status 0.
TEST(Crossings, HandlesReloadDuringShutdown) {
  const FakeListener backend;
  const FakeListener elsewhere;
  ProxyUnderTest proxy(single_backend_list(backend));
  TestConnection client = proxy.client();
  client.send(ProxyUnderTest::get("a1"));
  TestConnection server = backend.accept();
  server.request();
  proxy.signal(SIGTERM);
  while (proxy.ready() != 503) {
    ::usleep(1000);
  }
  proxy.reconfigure("nowhere");
  proxy.signal(SIGTERM);
  proxy.reconfigure(elsewhere.address());
  ASSERT_TRUE(proxy.accept_watch(elsewhere).ends_with("from=0"));
  proxy.send_raw("{");
  proxy.signal(SIGINT);
  server.reply(200, "", "1");
  ASSERT_EQ(client.response().body, "1");
  ASSERT_EQ(proxy.exit_status(), 0);
}

}  // namespace
