// Tests of DecisionActor within the test's process, on a scheduler that the test stops.
#include "proxy/decision_actor.h"

#include <gtest/gtest.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "runtime/time.h"
#include "support/proxy_fixture.h"
#include "support/proxy_test_util.h"

using namespace beechhill;
using namespace beechhill::test;

namespace {

config::Config test_config(const std::string& cached_endpoints, int max_attempts = 1) {
  std::string text = config_json("127.0.0.1:1", "127.0.0.1:2", cached_endpoints);
  const std::string key = R"("most-tries":)";
  text.replace(text.find(key), key.size() + 1, key + std::to_string(max_attempts));
  return config::read_config(config::parse(text.data(), text.data() + text.size(), "config"));
}

config::EndpointList endpoint_list(const std::string& hosts) {
  const std::string text = R"({"seq":2,"whole":true,"hosts":)" + hosts + "}";
  return config::read_endpoint_list(config::parse(text.data(), text.data() + text.size(), "list"));
}

std::shared_ptr<proxy::ClientRequest> client_request(ClassId class_id, Duration timeout) {
  auto request = std::make_shared<proxy::ClientRequest>();
  request->class_id = class_id;
  request->arrived_at = runtime::now();
  request->client_timeout = timeout;
  request->deadline = request->arrived_at + timeout;
  request->payload = std::make_shared<TestPayload>();
  return request;
}

// Records the messages that the decision actor posts to a backend.
class RecordingBackend : public proxy::Backend {
 public:
  explicit RecordingBackend(std::vector<proxy::BackendMessage>& messages) : messages_(messages) {}
  bool post(proxy::BackendMessage&& message) override {
    messages_.push_back(std::move(message));
    return true;
  }

 private:
  std::vector<proxy::BackendMessage>& messages_;
};

class DecisionActorTest : public testing::Test {
 protected:
  static constexpr std::size_t kMaxBackends = 4;

  void start(const std::string& cached_endpoints, int max_attempts = 1) {
    config = test_config(cached_endpoints, max_attempts);
    const auto make_backend = [this](proxy::DecisionMailbox&, EndpointId endpoint,
                                     const sockaddr_in&) {
      return std::make_unique<RecordingBackend>(messages.at(endpoint));
    };
    actor.emplace(scheduler, config, make_backend, watch);
    scheduler.spawn(actor->run());
  }

  template <typename Message>
  void post(Message content) {
    proxy::DecisionMessage message(std::move(content));
    EXPECT_TRUE(actor->inbox().post(std::move(message)));
  }

  std::vector<proxy::AttemptRequest> attempts(EndpointId endpoint) const {
    std::vector<proxy::AttemptRequest> found;
    for (const auto& message : messages.at(endpoint)) {
      if (const auto* attempt = std::get_if<proxy::AttemptRequest>(&message)) {
        found.push_back(*attempt);
      }
    }
    return found;
  }

  // Lets the actor process all messages, calls `next`, and lets the actor process what `next`
  // posted.
  void run(const std::function<void()>& next) {
    scheduler.spawn(run_around(next));
    scheduler.run();
  }

  runtime::Task<> run_around(const std::function<void()>& next) {
    co_await yield_to_other_tasks(scheduler);
    next();
    co_await yield_to_other_tasks(scheduler);
    scheduler.stop();
  }

  runtime::Scheduler scheduler;
  config::Config config;
  proxy::EndpointWatchMailbox watch{4};
  // Messages posted to each backend, indexed by endpoint id.
  std::vector<std::vector<proxy::BackendMessage>> messages =
      std::vector<std::vector<proxy::BackendMessage>>(kMaxBackends);
  std::optional<proxy::DecisionActor> actor;
};

// A request that arrives before discovery's first update must wait, because a backend that is in
// service in the cached list may be draining by now, and its drain grace may be over.
TEST_F(DecisionActorTest, WaitsForDiscoveryAtStart) {
  start("[" + host_json("s-1", "127.0.0.1:9") + "]");
  const auto request = client_request(0, 3s);
  post(proxy::RequestReceived{request});
  run([this] {
    ASSERT_FALSE(actor->ready());
    ASSERT_TRUE(attempts(0).empty());
    post(endpoint_list("[" + host_json("s-1", "127.0.0.1:9", "terminating") + "," +
                       host_json("s-2", "127.0.0.1:8") + "]"));
    post(proxy::ResyncComplete{});
  });
  ASSERT_TRUE(actor->ready());
  ASSERT_TRUE(attempts(0).empty());
  ASSERT_EQ(attempts(1).size(), 1u);
}

// A request must not be forwarded if its client disconnects while the RequestReceived message is in
// the mailbox, or while the request is queued because there is no backend.
TEST_F(DecisionActorTest, ForwardsNothingForDisconnectedClients) {
  start("[]");
  const auto disconnected = client_request(0, 3s);
  const auto waiting = client_request(0, 3s);
  const auto queued = client_request(0, 3s);
  // The client's connection sets this flag; the RequestAbandoned message may arrive much later.
  disconnected->abandoned = true;
  post(proxy::RequestReceived{disconnected});
  post(proxy::RequestReceived{waiting});
  post(proxy::RequestReceived{queued});
  run([&, this] {
    queued->abandoned = true;
    post(endpoint_list("[" + host_json("s-1", "127.0.0.1:9") + "]"));
  });
  ASSERT_EQ(attempts(0).size(), 1u);
  ASSERT_EQ(attempts(0)[0].request, waiting);
}

// If a request with an idempotency key may have been executed, its retry must have the end of the
// deduplication window as its write deadline.
TEST_F(DecisionActorTest, RetryCarriesDeduplicationDeadline) {
  start("[]", 3);
  const auto request = client_request(1, 2s);
  const Time before = runtime::now();
  post(endpoint_list("[" + host_json("s-1", "127.0.0.1:9") + "]"));
  post(proxy::RequestReceived{request});
  run([this] {
    ASSERT_EQ(attempts(0).size(), 1u);
    ASSERT_EQ(attempts(0)[0].write_deadline, Time::max());
    post(proxy::AttemptCompleted{attempts(0)[0].request_id, 0, Result::kReset, {}, {}});
  });
  ASSERT_EQ(attempts(0).size(), 2u);
  const Time write_deadline = attempts(0)[1].write_deadline;
  ASSERT_GE(write_deadline, before + 3s);
  ASSERT_LE(write_deadline, runtime::now() + 3s);
}

// A backend that counts its live instances in `count`.
class CountedBackend : public proxy::Backend {
 public:
  explicit CountedBackend(int& count) : count_(count) { ++count_; }
  ~CountedBackend() override { --count_; }
  bool post(proxy::BackendMessage&&) override { return true; }

 private:
  int& count_;
};

constexpr std::uint64_t kReplacements = 500;

// Posts kReplacements lists with one new backend each. Odd versions are changes that also remove
// the previous backend; even versions are complete lists without it.
runtime::Task<> replace_backends(runtime::Scheduler& scheduler, proxy::DecisionMailbox& inbox) {
  for (std::uint64_t version = 1; version <= kReplacements; ++version) {
    const bool complete = version % 2 == 0;
    config::EndpointList list{version, complete,
                              std::vector<config::EndpointListEntry>(complete ? 1 : 2)};
    list.entries[0].host = "s-" + std::to_string(version);
    if (!complete) {
      list.entries[1].host = "s-" + std::to_string(version - 1);
      list.entries[1].status = EndpointStatus::kRemoved;
    }
    proxy::DecisionMessage message(std::move(list));
    EXPECT_TRUE(inbox.post(std::move(message)));
    co_await yield_to_other_tasks(scheduler, 1);
  }
  scheduler.stop();
}

// The actors and ids of removed backends must be released, whether a change or a complete list
// removes the backends.
TEST(DecisionActor, ReleasesRemovedBackends) {
  const config::Config config = test_config("[]");
  int alive = 0;
  std::uint64_t made = 0;
  runtime::Scheduler scheduler;
  proxy::EndpointWatchMailbox watch(4);
  const auto make_backend = [&](proxy::DecisionMailbox&, EndpointId endpoint, const sockaddr_in&) {
    EXPECT_LT(endpoint, 3u) << "the id of a removed backend was not reused";
    ++made;
    return std::make_unique<CountedBackend>(alive);
  };
  proxy::DecisionActor decisions(scheduler, config, make_backend, watch);
  scheduler.spawn(decisions.run());
  scheduler.spawn(replace_backends(scheduler, decisions.inbox()));
  scheduler.run();
  ASSERT_EQ(made, kReplacements);
  ASSERT_LE(alive, 2);
}

}  // namespace
