// Pairs of events that meet, in a forced order: see docs/design/crossings.md.
#include "http/writer.h"
#include "support/proxy_fixture.h"
#include "support/proxy_test_util.h"

using namespace beechhill;
using namespace beechhill::test;

namespace {

class CrossingsOneBackend : public OneBackendTest {};

// A client pipelines more than is buffered and disconnects: its request's attempt is cancelled,
// though nobody reads up to the end.
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
  ASSERT_FALSE(servers[0].fill());
  ASSERT_LT(Clock::now() - sent, 2s);  // its deadline would be after 3 s
  ASSERT_FALSE(backend.pending(50ms));
}

// The resync is complete as soon as the watch has been read to its end, also on the first watch,
// which requested the complete list.
TEST(Crossings, ResyncsAfterGapWithoutUpdates) {
  const FakeListener backend;
  ProxyUnderTest proxy(single_backend_list(backend));
  proxy.signal(SIGSTOP);
  ::usleep(1'200'000);  // over half of the grace, and less than a watch may be silent for
  proxy.signal(SIGCONT);
  TestConnection client = proxy.client();
  TestConnection server = exchange(client, backend, ProxyUnderTest::get("a1"), "1");
  ASSERT_NE(proxy.call("GET", "/api/telemetry").body.find("full"),
            std::string::npos);  // resynced, and not at the resync's deadline
}

// Discovery may hold a newer list than the cached one, and may count its versions otherwise.
TEST(Crossings, RequestsCompleteListAtStart) {
  const ProxyUnderTest proxy("", "[" + host_json("s-1", "127.0.0.1:9") + "]");
  ASSERT_TRUE(proxy.first_call().ends_with("from=0"));
}

// Over several lines, with an empty one within, and a name that looks like the object's end.
TEST(Crossings, ReadsIndentedEndpointList) {
  const FakeListener backend;
  ProxyUnderTest proxy("[]");
  proxy.chunk("\n{\n  \"seq\": 9,\n  \"whole\": true,\n\n  \"hosts\": [\n    " +
              host_json("s-}\\\"{", backend.address()) + "\n  ]\n}\n");
  TestConnection client = proxy.client();
  TestConnection server = exchange(client, backend, ProxyUnderTest::get("a1"), "");
}

// A list's beginning, and then a byte now and then.
TEST(Crossings, LeavesWatchThatCompletesNothing) {
  ProxyUnderTest proxy("[]");
  proxy.chunk("{\"seq\":5,\"whole\":true,\"hosts\":[");
  // 4 s, in which a complete line would have had to come.
  for (int i = 0; i < 40 && !proxy.calls(); ++i) {
    proxy.chunk(" ");
    ::usleep(100'000);
  }
  ASSERT_TRUE(proxy.calls());
}

// At the first malformed byte, though no line ends; a list cut within a string at its line's end.
TEST(Crossings, LeavesMalformedWatchAtOnce) {
  ProxyUnderTest proxy("[]");
  const auto started_at = Clock::now();
  for (const char* malformed : {"xxxx", "{\"seq\":5,\"who\n", "]"}) {
    proxy.chunk(malformed);
    proxy.watch_again();
  }
  ASSERT_LT(Clock::now() - started_at, 2s);  // a silent one is left after 2.5 s
}

// A connection that is accepted and never answered is one of several within the silence timeout.
// The first list that arrives serves the requests that wait for it. Only a gap that the log shows
// changes what is requested and when.
TEST(Crossings, ReconnectsWhenDiscoveryDoesNotAnswer) {
  const FakeListener backend;
  ProxyUnderTest proxy("[]");
  // A second round trip after the one that showed the first list: by now that watch has been read
  // to its end, so that the start's resync is over.
  ASSERT_EQ(proxy.ready(), 200);
  proxy.list("[]");
  proxy.say("0\r\n\r\n");  // ends the watch
  const auto started_at = Clock::now();
  for (int i = 0; i < 3; ++i) {
    proxy.leave_mute();
  }
  const std::string target = proxy.watch_again();
  const auto took = Clock::now() - started_at;
  // A process that was starved of its core, and logs that, requests the complete list, and later.
  LogReader log(proxy);
  const bool from_held_version = target.ends_with("from=3");
  ASSERT_TRUE(from_held_version || (target.ends_with("from=0") && log.wait_for_gap(5s) > 0ms))
      << target;
  ASSERT_LT(took, 2500ms + log.logged_gaps());
  proxy.list(single_backend_list(backend), false);
  TestConnection client = proxy.client();
  client.send(ProxyUnderTest::get("a1"));
  backend.accept().request();
}

// After a gap in which the process did not run, longer than a watch may be silent, a call asks for
// the complete list, also where no call was answered before it.
TEST(Crossings, RequestsCompleteListAfterGapBetweenCalls) {
  ProxyUnderTest proxy("[]");
  ASSERT_EQ(proxy.ready(), 200);  // as above
  proxy.list("[]");
  proxy.say("0\r\n\r\n");
  proxy.leave_mute();
  proxy.signal(SIGSTOP);
  ::usleep(2'800'000);  // longer than a watch may be silent
  proxy.signal(SIGCONT);
  LogReader log(proxy);
  ASSERT_GE(log.wait_for_gap(kTestTimeout), 2500ms);
  std::string target = proxy.watch_again();
  if (target.ends_with("from=3")) {  // on its way when the gap was noticed
    target = proxy.watch_again();
  }
  ASSERT_TRUE(target.ends_with("from=0")) << target;
}

// SIGTERM: connections that the machine accepts until the listener closes are all answered.
TEST(Crossings, AnswersBacklogAtShutdown) {
  const FakeListener backend;
  ProxyUnderTest proxy("[]");
  proxy.list("[]");
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
  ::usleep(1'200'000);  // past the second for which it accepts
  proxy.signal(SIGCONT);
  for (TestConnection& client : clients) {
    expect_status(client, 503);
  }
  ASSERT_EQ(proxy.exit_status(), 0);
}

// The next request has been read already when its connection would get its last response.
TEST(Crossings, AnswersPipelinedRequestAtShutdown) {
  const FakeListener backend;
  ProxyUnderTest proxy(single_backend_list(backend));
  proxy.signal(SIGTERM);
  while (proxy.ready() != 503) {
    ::usleep(1000);
  }
  TestConnection client = proxy.client();  // came after the signal: its answers are its last
  client.send(ProxyUnderTest::get("a1") + ProxyUnderTest::get("a2"));
  TestConnection server = backend.accept();
  for (const char* id : {"a1", "a2"}) {
    ASSERT_EQ(*server.request().headers.find("X-Trace-Id"), id);
    server.reply(200, "", id);
    const http::Message answer = client.answer();
    ASSERT_EQ(answer.body, id);
    ASSERT_EQ(answer.keep_alive(), (std::string_view(id) == "a1"));
  }
}

// A request that arrives after its connection's last response is left unread, so that its client
// can tell: the connection is reset, and never closed in order.
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
  ASSERT_FALSE(client.answer().keep_alive());
  client.send(ProxyUnderTest::get("a2"));
  char byte = 0;
  ASSERT_TRUE(client.readable(kTestTimeout));
  ASSERT_EQ(::recv(client.fd(), &byte, 1, 0), 0);  // the proxy has closed its sending side
  const auto end = Clock::now() + kTestTimeout;
  int error = 0;
  socklen_t size = sizeof error;
  while (error == 0) {
    ASSERT_LT(Clock::now(), end);
    ::usleep(5000);
    ::getsockopt(client.fd(), SOL_SOCKET, SO_ERROR, &error, &size);
  }
  ASSERT_TRUE(error == ECONNRESET || error == EPIPE);
  ASSERT_TRUE(!server.readable(0ms) || !server.fill());  // and nothing of it was forwarded
}

// Half a line or a second response: the next request goes on another connection.
TEST(Crossings, DropsIdleConnectionThatBackendWritesTo) {
  for (const std::string& late :
       {std::string("HTTP/1.1 2"), http::write_response(200, "", "second", false)}) {
    const FakeListener backend;
    const ProxyUnderTest proxy(single_backend_list(backend));
    TestConnection client = proxy.client();
    TestConnection server = exchange(client, backend, ProxyUnderTest::get("a1"), "first");
    server.send(late);
    ASSERT_FALSE(server.fill());  // the proxy has closed it, and so has seen it
    TestConnection other = exchange(client, backend, ProxyUnderTest::get("a2"), "second's own");
  }
}

// A response without a length that is reset is incomplete, however much of it came.
TEST_F(CrossingsOneBackend, TreatsResetAsFailedResponse) {
  client.send(ProxyUnderTest::post("a1", "x"));
  {
    TestConnection server = backend.accept();
    server.request();
    server.send("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\na1 and a part");
    ::usleep(50'000);  // what came is read before the reset
    const linger reset{1, 0};
    ::setsockopt(server.fd(), SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
  }
  expect_status(client, 502);  // it may have been executed
  ASSERT_FALSE(backend.pending(0ms));
}

// While discovery is gone: the watch is opened again, its list applied, and a new client gets a
// backend's response.
TEST(Crossings, ServesWhileIdleClientsHoldAllDescriptors) {
  const FakeListener backend;
  ProxyUnderTest proxy("[]");
  std::vector<TestConnection> idle;
  for (int i = 0; i < 300; ++i) {
    idle.push_back(proxy.client());  // the program may hold 256 descriptors
  }
  proxy.say("0\r\n\r\n");
  for (int i = 0; i < 100; ++i) {
    idle.push_back(proxy.client());
  }
  proxy.watch_again();
  proxy.list(single_backend_list(backend), false);
  TestConnection client = proxy.client();
  TestConnection server = exchange(client, backend, ProxyUnderTest::get("a1"), "1");
}

// A faulty configuration, a move of discovery while it is gone, and a second signal: what is in
// flight is answered, and the program exits in order.
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
  ASSERT_TRUE(proxy.watch_again(elsewhere).ends_with("from=0"));
  proxy.say("{");
  proxy.signal(SIGINT);
  server.reply(200, "", "1");
  ASSERT_EQ(client.answer().body, "1");
  ASSERT_EQ(proxy.exit_status(), 0);
}

}  // namespace
