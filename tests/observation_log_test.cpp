// Tests that the observation log detects rule violations from the records of clients, backends and
// discovery servers.
#include "testbed/observation_log.h"

#include <gtest/gtest.h>

#include <chrono>
#include <vector>

#include "support/testbed_fixture.h"

namespace beechhill::test {
namespace {

using emulator::Rule;
using std::chrono::milliseconds;
using testbed::ObservationLog;

constexpr ClassId kIdempotentClass = 0;
constexpr ClassId kNonIdempotentClass = 2;
constexpr testbed::ClientAttemptId kRequest = 1;
constexpr std::size_t kProxy = 0;

// Fixture with an observation log for two proxies. The first proxy received a list of two backends
// at time 0.
class ObservationLogTest : public testing::Test {
 protected:
  ObservationLogTest() : endpoints_(2) {
    endpoints_[1].id = 1;
    log_.endpoints_sent(kProxy, endpoints_, UpdateKind::kSnapshot);
  }

  void send_request(ClassId request_class) {
    log_.request_sent(kRequest, request_class, kProxy, now_ + milliseconds(1500));
  }

  const emulator::Scenario scenario_ = cluster_scenario();
  Time now_{0};
  ObservationLog log_{scenario_, 2, [this] { return now_; }};
  std::vector<Endpoint> endpoints_;
};

// The scenario's drain grace is 2 s and the log's tolerance 500 ms, so an attempt at a removed
// backend is a violation from 2.5 s after the removal on.
class RemovedBackendTest : public ObservationLogTest {
 protected:
  void send_to_removed_backend_at(Time at) {
    const Endpoint removed = endpoints_.back();
    endpoints_.pop_back();
    log_.endpoints_sent(kProxy, endpoints_, UpdateKind::kSnapshot);
    now_ = at;
    send_request(kIdempotentClass);
    log_.attempt_received(kRequest, removed);
  }
};

TEST_F(RemovedBackendTest, FindsAnAttemptLongAfterTheRemoval) {
  send_to_removed_backend_at(milliseconds(2600));
  EXPECT_EQ(log_.rules().count(Rule::kDrains), 1u);
}

TEST_F(RemovedBackendTest, ToleratesAnAttemptWithinTheTolerance) {
  send_to_removed_backend_at(milliseconds(2400));
  EXPECT_EQ(log_.rules().count(Rule::kDrains), 0u);
}

TEST_F(ObservationLogTest, FindsANonIdempotentRequestSentTwice) {
  send_request(kNonIdempotentClass);
  log_.attempt_received(kRequest, endpoints_[0]);
  log_.attempt_received(kRequest, endpoints_[1]);
  EXPECT_EQ(log_.rules().count(Rule::kEffects), 1u);
}

TEST_F(ObservationLogTest, AllowsAnIdempotentRequestSentTwice) {
  send_request(kIdempotentClass);
  log_.attempt_received(kRequest, endpoints_[0]);
  log_.attempt_received(kRequest, endpoints_[1]);
  EXPECT_EQ(log_.rules().count(Rule::kEffects), 0u);
}

TEST_F(ObservationLogTest, FindsARequestWithoutResponse) {
  send_request(kIdempotentClass);
  now_ = milliseconds(2000);
  log_.no_response(kRequest);
  EXPECT_EQ(log_.rules().count(Rule::kOneAnswer), 1u);
}

TEST_F(ObservationLogTest, ExcusesAMissingResponseWhenAFaultAffectsTheProxy) {
  send_request(kIdempotentClass);
  now_ = milliseconds(500);
  log_.proxy_fault_began(kProxy);
  now_ = milliseconds(2000);
  log_.no_response(kRequest);
  EXPECT_EQ(log_.rules().count(Rule::kOneAnswer), 0u);
}

TEST(TraceId, NamesRequestAndAttempt) {
  EXPECT_EQ(ObservationLog::parse_trace_id("1-2f-3"), ObservationLog::client_attempt(0x2f, 3));
}

TEST(TraceId, IsRejectedWhenMalformed) {
  EXPECT_FALSE(ObservationLog::parse_trace_id("1-2f"));
  EXPECT_FALSE(ObservationLog::parse_trace_id("1-x-3"));
}

}  // namespace
}  // namespace beechhill::test
