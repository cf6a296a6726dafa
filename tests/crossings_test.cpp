// Two events that meet, forced by order: what docs/design/crossings.md says of each.
#include "support/proxy_fixture.h"
#include "support/proxy_test_util.h"

using namespace beechhill;
using namespace beechhill::test;

namespace {

class CrossingsOneBackend : public OneBackendTest {};

// A client sends much more than it may have out, and goes: its request's attempt ends, though
// nobody reads up to its end.
TEST(Crossings, NoticesDisconnectBehindUnreadBytes) {
  const Door backend;
  const Proxy proxy(one_host(backend));
  std::vector<Wire> held;
  const auto sent = Clock::now();
  {
    Wire client = proxy.client();
    client.send(Proxy::get("a1"));
    held.push_back(backend.accept());
    held[0].request();
    std::string early;
    for (int i = 0; early.size() < 110'000; ++i) {
      early += Proxy::get("b" + std::to_string(i));
    }
    client.send(early);
  }
  ASSERT_FALSE(held[0].fill());
  ASSERT_LT(Clock::now() - sent, 2s);  // its deadline would be after 3 s
  ASSERT_FALSE(backend.pending(50ms));
}

// A gap in which discovery said nothing is over as soon as the watch has been read to its end, also
// on the first watch, which asked for the whole list.
TEST(Crossings, ResyncsAfterGapWithoutUpdates) {
  const Door backend;
  Proxy proxy(one_host(backend));
  proxy.signal(SIGSTOP);
  ::usleep(1'200'000);  // over half of the grace, and less than a watch may be silent for
  proxy.signal(SIGCONT);
  Wire client = proxy.client();
  Wire server = exchange(client, backend, Proxy::get("a1"), "1");
  ASSERT_NE(proxy.call("GET", "/api/telemetry").body.find("full"),
            std::string::npos);  // not on what it held before
}

// All that discovery's agent holds counts as told at a process's start, and another may count its
// versions otherwise.
TEST(Crossings, RequestsCompleteListAtStart) {
  const Proxy proxy("", "[" + host_json("s-1", "127.0.0.1:9") + "]");
  ASSERT_TRUE(proxy.first_call().ends_with("from=0"));
}

// A list indented over several lines, with an empty one within and what looks like a line's end in
// a name, is a list.
TEST(Crossings, ReadsIndentedEndpointList) {
  const Door backend;
  Proxy proxy("[]");
  proxy.chunk("\n{\n  \"seq\": 9,\n  \"whole\": true,\n\n  \"hosts\": [\n    " +
              host_json("s-}\\\"{", backend.address()) + "\n  ]\n}\n");
  Wire client = proxy.client();
  Wire server = exchange(client, backend, Proxy::get("a1"), "");
}

// Bytes that complete nothing show no life: a list's beginning, and then a byte now and then.
TEST(Crossings, LeavesWatchThatCompletesNothing) {
  Proxy proxy("[]");
  proxy.chunk("{\"seq\":5,\"whole\":true,\"hosts\":[");
  for (int i = 0; i < 40 && !proxy.calls();
       ++i) {  // 4 s, in which a whole line would have had to come
    proxy.chunk(" ");
    ::usleep(100'000);
  }
  ASSERT_TRUE(proxy.calls());
}

// Junk ends a watch at its first byte, though no line ends, and a list cut within a word at its
// line's end.
TEST(Crossings, LeavesMalformedWatchAtOnce) {
  Proxy proxy("[]");
  const auto began = Clock::now();
  for (const char* junk : {"xxxx", "{\"seq\":5,\"who\n", "]"}) {
    proxy.chunk(junk);
    proxy.watch_again();
  }
  ASSERT_LT(Clock::now() - began, 2s);  // a silent one is left after 2.5 s
}

// A call that is accepted and never answered is one of several within what a silence may take; the
// list of the first that is answered is taken, and whoever waits for it gets a backend. Only a gap
// that the log shows changes what is asked for and when.
TEST(Crossings, ReconnectsWhenDiscoveryDoesNotAnswer) {
  const Door backend;
  Proxy proxy("[]");
  // A second round trip after the one that showed the first list: by now that watch has been read
  // to its end, so that the start's resync is over.
  ASSERT_EQ(proxy.ready(), 200);
  proxy.list("[]");
  proxy.say("0\r\n\r\n");  // ends it
  const auto began = Clock::now();
  for (int i = 0; i < 3; ++i) {
    proxy.leave_mute();
  }
  const std::string target = proxy.watch_again();
  const auto took = Clock::now() - began;
  // A process that was starved of its core, and says so, asks for the whole list, and later.
  LogReader log(proxy);
  const bool from_held_version = target.ends_with("from=3");
  ASSERT_TRUE(from_held_version || (target.ends_with("from=0") && log.wait_for_gap(5s) > 0ms))
      << target;
  ASSERT_LT(took, 2500ms + log.logged_gaps());
  proxy.list(one_host(backend), false);
  Wire client = proxy.client();
  client.send(Proxy::get("a1"));
  backend.accept().request();
}

// After a gap in which the process did not run, longer than a watch may be silent, a call asks for
// the complete list, also where no call was answered before it.
TEST(Crossings, RequestsCompleteListAfterGapBetweenCalls) {
  Proxy proxy("[]");
  ASSERT_EQ(proxy.ready(), 200);  // as above
  proxy.list("[]");
  proxy.say("0\r\n\r\n");
  proxy.leave_mute();
  proxy.signal(SIGSTOP);
  ::usleep(2'800'000);  // longer than a watch may be silent
  proxy.signal(SIGCONT);
  LogReader log(proxy);
  ASSERT_GE(log.wait_for_gap(kPatience), 2500ms);
  std::string target = proxy.watch_again();
  if (target.ends_with("from=3")) {  // on its way when the gap was noticed
    target = proxy.watch_again();
  }
  ASSERT_TRUE(target.ends_with("from=0")) << target;
}

// SIGTERM, and until the last moment in which the machine accepts connections come that nobody has
// taken: each is answered.
TEST(Crossings, AnswersBacklogAtShutdown) {
  const Door backend;
  Proxy proxy("[]");
  proxy.list("[]");
  proxy.signal(SIGTERM);
  while (proxy.ready() != 503) {
    ::usleep(1000);
  }
  proxy.signal(SIGSTOP);
  std::vector<Wire> clients;
  for (int i = 0; i < 20; ++i) {
    clients.push_back(proxy.client());
    clients.back().send("GET /health/ready HTTP/1.1\r\nHost: t\r\n\r\n");
  }
  ::usleep(1'200'000);  // past the second for which it accepts
  proxy.signal(SIGCONT);
  for (Wire& client : clients) {
    expect_status(client, 503);
  }
  ASSERT_EQ(proxy.exit_status(), 0);
}

// The next request has been read already when its connection's last answer goes out: it is answered
// too, and first.
TEST(Crossings, AnswersPipelinedRequestAtShutdown) {
  const Door backend;
  Proxy proxy(one_host(backend));
  proxy.signal(SIGTERM);
  while (proxy.ready() != 503) {
    ::usleep(1000);
  }
  Wire client = proxy.client();  // came after the signal: its answers are its last
  client.send(Proxy::get("a1") + Proxy::get("a2"));
  Wire server = backend.accept();
  for (const char* id : {"a1", "a2"}) {
    ASSERT_EQ(*server.request().headers.find("X-Trace-Id"), id);
    server.reply(200, "", id);
    const http::Message answer = client.answer();
    ASSERT_EQ(answer.body, id);
    ASSERT_EQ(answer.keep_alive(), (std::string_view(id) == "a1"));
  }
}

// A request that comes on a connection whose last answer has gone out is left unread, so that its
// client can tell: the connection is reset, and never ended in order over it.
TEST(Crossings, ResetsConnectionOverUnansweredRequest) {
  const Door backend;
  Proxy proxy(one_host(backend));
  proxy.signal(SIGTERM);
  while (proxy.ready() != 503) {
    ::usleep(1000);
  }
  Wire client = proxy.client();
  client.send(Proxy::get("a1"));
  Wire server = backend.accept();
  server.request();
  server.reply(200, "", "1");
  ASSERT_FALSE(client.answer().keep_alive());
  client.send(Proxy::get("a2"));
  char byte = 0;
  ASSERT_TRUE(client.readable(kPatience));
  ASSERT_EQ(::recv(client.fd(), &byte, 1, 0), 0);  // it has ended its sending
  const auto end = Clock::now() + kPatience;
  int error = 0;
  socklen_t size = sizeof error;
  while (error == 0) {
    ASSERT_LT(Clock::now(), end);
    ::usleep(5000);
    ::getsockopt(client.fd(), SOL_SOCKET, SO_ERROR, &error, &size);
  }
  ASSERT_TRUE(error == ECONNRESET || error == EPIPE);
  ASSERT_TRUE(!server.readable(0ms) || !server.fill());  // and nothing of it was sent on
}

// What a backend says on a resting connection, half a line or a second answer, is nobody's answer:
// the next request goes on another connection.
TEST(Crossings, DropsIdleConnectionThatBackendWritesTo) {
  for (const std::string& late :
       {std::string("HTTP/1.1 2"), http::write_response(200, "", "second", false)}) {
    const Door backend;
    const Proxy proxy(one_host(backend));
    Wire client = proxy.client();
    Wire server = exchange(client, backend, Proxy::get("a1"), "first");
    server.send(late);
    ASSERT_FALSE(server.fill());  // it has been left, and so been seen
    Wire other = exchange(client, backend, Proxy::get("a2"), "second's own");
  }
}

// An answer without a length that is reset has not ended, however much of it came.
TEST_F(CrossingsOneBackend, TreatsResetAsFailedResponse) {
  client.send(Proxy::post("a1", "x"));
  {
    Wire server = backend.accept();
    server.request();
    server.send("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\na1 and a part");
    ::usleep(50'000);  // what came is read before the reset
    const linger reset{1, 0};
    ::setsockopt(server.fd(), SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
  }
  expect_status(client, 502);  // it may have run
  ASSERT_FALSE(backend.pending(0ms));
}

// Idle clients hold every descriptor of theirs while discovery is gone: the watch is opened again,
// its list taken, and a new client gets its answer from a backend.
TEST(Crossings, ServesWhileIdleClientsHoldAllDescriptors) {
  const Door backend;
  Proxy proxy("[]");
  std::vector<Wire> idle;
  for (int i = 0; i < 300; ++i) {
    idle.push_back(proxy.client());  // the program may hold 256 descriptors
  }
  proxy.say("0\r\n\r\n");
  for (int i = 0; i < 100; ++i) {
    idle.push_back(proxy.client());
  }
  proxy.watch_again();
  proxy.list(one_host(backend), false);
  Wire client = proxy.client();
  Wire server = exchange(client, backend, Proxy::get("a1"), "1");
}

// The end meets a faulty configuration, a move of discovery that is gone, and the order to end once
// more: what runs is answered, and the program ends as ordered.
TEST(Crossings, HandlesReloadDuringShutdown) {
  const Door backend, elsewhere;
  Proxy proxy(one_host(backend));
  Wire client = proxy.client();
  client.send(Proxy::get("a1"));
  Wire server = backend.accept();
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
