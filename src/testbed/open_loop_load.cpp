#include "testbed/open_loop_load.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <cstdlib>

#include "http/message.h"
#include "http/writer.h"
#include "testbed/task_helpers.h"

namespace beechhill::testbed {

using net::IoResult;
using runtime::Task;
using runtime::TimePoint;
using runtime::Wait;

namespace {

// Upper bound of Retry-After in seconds. Greater values are ignored.
constexpr double kMaxRetryAfterS = 3600;
// Minimum delay before the next attempt after a proxy was unreachable.
constexpr Duration kMinUnreachableDelay{1000};

Duration retry_after_of(const http::Message& response) {
  const std::string* text = response.headers.find("Retry-After");
  if (!text) {
    return Duration{0};
  }
  const double seconds = std::strtod(text->c_str(), nullptr);
  const bool valid = seconds > 0 && seconds < kMaxRetryAfterS;
  return valid ? Duration(std::llround(seconds * 1e6)) : Duration{0};
}

bool is_rejection(const http::Message& response) {
  return response.status == 429 || response.status == 503;
}

// Includes a connection in `count` while the object exists.
class ConnectionCount {
 public:
  explicit ConnectionCount(std::size_t& count) : count_(count) { ++count_; }
  ~ConnectionCount() { --count_; }
  ConnectionCount(const ConnectionCount&) = delete;
  ConnectionCount& operator=(const ConnectionCount&) = delete;

 private:
  std::size_t& count_;
};

}  // namespace

OpenLoopLoad::OpenLoopLoad(runtime::Scheduler& scheduler, const TestbedClock& clock,
                           const emulator::Scenario& scenario, std::vector<sockaddr_in> proxies,
                           ObservationLog& observations)
    : scheduler_(scheduler),
      clock_(clock),
      scenario_(scenario),
      observations_(observations),
      proxies_(std::move(proxies)),
      in_rotation_(proxies_.size(), true),
      idle_(proxies_.size()),
      metrics_(scenario),
      random_(scenario.seed, emulator::Actor::kClients, 0),
      assigned_proxies_(scenario.clients.connections) {
  for (std::size_t i = 0; i < assigned_proxies_.size(); ++i) {
    assigned_proxies_[i] = static_cast<std::uint32_t>(i % proxies_.size());
  }
  const double length_s = std::chrono::duration<double>(scenario_.length).count();
  metrics_.seconds.resize(static_cast<std::size_t>(std::ceil(length_s)));
}

void OpenLoopLoad::set_proxy_in_rotation(std::size_t proxy, bool in_rotation) {
  in_rotation_[proxy] = in_rotation;
}

void OpenLoopLoad::rebalance_to(std::size_t proxy) {
  if (!scenario_.clients.rebalances_on_return) {
    return;
  }
  const auto count_in_rotation =
      static_cast<std::size_t>(std::count(in_rotation_.begin(), in_rotation_.end(), true));
  emulator::rebalance_connections(assigned_proxies_, static_cast<std::uint32_t>(proxy),
                                  count_in_rotation, random_);
}

// Returns a random proxy in rotation, or any random proxy if none is in rotation.
std::size_t OpenLoopLoad::draw_proxy_in_rotation() {
  std::vector<std::size_t> candidates;
  for (std::size_t i = 0; i < in_rotation_.size(); ++i) {
    if (in_rotation_[i]) {
      candidates.push_back(i);
    }
  }
  if (candidates.empty()) {
    return random_.below(in_rotation_.size());
  }
  return candidates[random_.below(candidates.size())];
}

Task<> OpenLoopLoad::run() {
  emulator::Arrivals arrivals(scenario_);
  while (const auto arrival = arrivals.next()) {
    if (clock_.now() < arrival->at) {
      co_await sleep_until(scheduler_, clock_.time_point(arrival->at));
    }
    max_send_delay_ = std::max(max_send_delay_, clock_.now() - arrival->at);
    metrics_.asked(arrival->at, arrival->class_id, arrival->tenant, arrival->worth);
    ++open_requests_;
    scheduler_.spawn(run_request(*arrival, requests_++));
  }
  all_sent_ = true;
  while (open_requests_ > 0) {
    Wait wait(scheduler_);
    wait.notified(all_ended_);
    co_await wait;
  }
  metrics_.close();
}

// Sends attempts until the request is served, no retry is allowed or its deadline has passed.
Task<> OpenLoopLoad::run_request(emulator::Arrival arrival, std::uint64_t request) {
  const Time deadline = arrival.at + scenario_.classes[arrival.class_id].settings.deadline;
  AttemptResult result;
  for (std::uint32_t number = 1;; ++number) {
    count_attempt(arrival);
    std::uint32_t& proxy = assigned_proxies_[arrival.connection];
    if (!in_rotation_[proxy]) {
      proxy = static_cast<std::uint32_t>(draw_proxy_in_rotation());
    }
    const Duration attempt_timeout =
        emulator::draw_attempt_timeout(scenario_, arrival.class_id, random_);
    const Attempt attempt{arrival, request, number, proxy,
                          std::min(attempt_timeout, deadline - clock_.now())};
    result = co_await run_attempt(attempt);
    if (result.outcome == AttemptResult::Outcome::kServed) {
      break;
    }
    count_unserved_attempt(result);
    const std::optional<Duration> delay = retry_delay(arrival, number, result);
    if (!delay || clock_.now() + *delay >= deadline) {
      break;
    }
    co_await sleep_until(scheduler_, clock_.time_point(clock_.now() + *delay));
  }
  const bool served = result.outcome == AttemptResult::Outcome::kServed;
  const bool rejected = result.outcome == AttemptResult::Outcome::kRejected;
  metrics_.ended(arrival.at, clock_.now() - arrival.at, arrival.class_id, arrival.tenant,
                 arrival.worth, served, rejected);
  if (served) {
    ++served_;
  }
  --open_requests_;
  if (all_sent_ && open_requests_ == 0) {
    all_ended_.notify();
  }
}

void OpenLoopLoad::count_attempt(const emulator::Arrival& arrival) {
  if (metrics_.counted(arrival.at)) {
    ++metrics_.tries;
  }
  if (emulator::Second* second = metrics_.second_of(clock_.now())) {
    ++second->tries;
  }
}

void OpenLoopLoad::count_unserved_attempt(const AttemptResult& result) {
  if (emulator::Second* second = metrics_.second_of(clock_.now())) {
    const bool rejected = result.outcome == AttemptResult::Outcome::kRejected;
    ++(rejected ? second->refused : second->failed);
  }
  if (result.outcome == AttemptResult::Outcome::kUnreachable) {
    ++metrics_.unreachable;
  }
}

// Returns the delay before the next attempt, or nullopt if the scenario allows no further attempt.
// If the proxy was unreachable, assigns a randomly chosen proxy in rotation to the client's
// connection.
std::optional<Duration> OpenLoopLoad::retry_delay(const emulator::Arrival& arrival,
                                                  std::uint32_t attempt,
                                                  const AttemptResult& result) {
  const bool rejected = result.outcome == AttemptResult::Outcome::kRejected;
  const bool unreachable = result.outcome == AttemptResult::Outcome::kUnreachable;
  if (unreachable) {
    assigned_proxies_[arrival.connection] = static_cast<std::uint32_t>(draw_proxy_in_rotation());
  }
  std::optional<Duration> delay = emulator::wait_before_retry(
      scenario_, {arrival.class_id, attempt, rejected, unreachable, result.retry_after}, random_);
  if (delay && unreachable) {
    delay = std::max(*delay, kMinUnreachableDelay);
  }
  return delay;
}

std::string OpenLoopLoad::trace_id(const Attempt& attempt) const {
  return fmt::format("{:x}-{:x}-{}", scenario_.seed, attempt.request, attempt.number);
}

std::string OpenLoopLoad::request_text(const Attempt& attempt) const {
  const emulator::Arrival& arrival = attempt.arrival;
  const emulator::ClassSpec& request_class = scenario_.classes[arrival.class_id];
  const auto timeout_ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(attempt.timeout).count();
  std::string headers = fmt::format("X-Trace-Id: {}\r\nX-Expires-In-Ms: {}\r\n", trace_id(attempt),
                                    std::max<std::int64_t>(1, timeout_ms));
  if (arrival.tenant != kNoTenant) {
    headers += "X-Customer: " + scenario_.tenants[arrival.tenant].name + "\r\n";
  }
  const bool has_effect = request_class.settings.idempotency != Idempotency::kIdempotent;
  if (has_effect) {
    headers += fmt::format("Idempotency-Key: {:x}-{:x}\r\n", scenario_.seed, attempt.request);
  }
  if (attempt.number > 1) {
    headers += "X-Second-Try: 1\r\n";
  }
  const std::string target =
      fmt::format("/{}/x?work_us={}", request_class.name, std::llround(arrival.work_s * 1e6));
  return http::write_request(has_effect ? "POST" : "GET", target, "proxy", headers,
                             has_effect ? "{}" : "");
}

std::unique_ptr<net::Stream> OpenLoopLoad::take_idle_connection(std::size_t proxy) {
  std::unique_ptr<net::Stream> stream;
  while (!stream && !idle_[proxy].empty()) {
    stream = std::move(idle_[proxy].back());
    idle_[proxy].pop_back();
    --connections_;
    if (stream->unsolicited_input() != net::UnsolicitedInput::kNone) {
      stream.reset();
    }
  }
  return stream;
}

// Returns an idle connection or, if there is none, opens a new one. The returned stream is null if
// a new connection would exceed kMaxConnections or cannot be opened.
Task<OpenLoopLoad::Connection> OpenLoopLoad::connect(std::size_t proxy, TimePoint deadline) {
  Connection connection;
  connection.stream = take_idle_connection(proxy);
  connection.reused = connection.stream != nullptr;
  if (connection.stream || connections_ >= kMaxConnections) {
    co_return connection;
  }
  const ConnectionCount counted(connections_);
  std::unique_ptr<net::Stream> stream =
      co_await net::Stream::connect(scheduler_, proxies_[proxy], deadline);
  connection.stream = std::move(stream);
  if (connection.stream) {
    ++metrics_.connections;
  }
  co_return connection;
}

Task<OpenLoopLoad::AttemptResult> OpenLoopLoad::run_attempt(const Attempt& attempt) {
  AttemptResult result;
  const TimePoint deadline = clock_.time_point(clock_.now() + attempt.timeout);
  // A response after the deadline counts as failed. It is awaited until the tolerance of the rule
  // checker has passed, so that it is recorded.
  const TimePoint read_deadline = deadline + kObservationTolerance;
  const ClientAttemptId id = ObservationLog::client_attempt(attempt.request, attempt.number);
  const std::string request = request_text(attempt);
  observations_.request_sent(id, attempt.arrival.class_id, attempt.proxy,
                             clock_.now() + attempt.timeout);
  for (;;) {
    Connection connection = co_await connect(attempt.proxy, deadline);
    if (!connection.stream) {
      result.outcome = AttemptResult::Outcome::kUnreachable;
      co_return result;
    }
    const ConnectionCount counted(connections_);
    std::string buffer;
    const HttpExchange reply =
        co_await exchange(*connection.stream, request, buffer, deadline, read_deadline);
    if (reply.complete) {
      observations_.response_received(id, is_rejection(reply.response));
      result = check_response(attempt, reply.response, runtime::Clock::now() <= deadline);
      if (reply.response.keep_alive()) {
        idle_[attempt.proxy].push_back(std::move(connection.stream));
        ++connections_;
      }
      co_return result;
    }
    // The protocol requires the client to retry on a new connection if the proxy closed a reused
    // connection without reading the request.
    const bool closed_unread =
        connection.reused && !reply.response_started &&
        (reply.last_io == IoResult::kEof || reply.last_io == IoResult::kError);
    if (!closed_unread || runtime::Clock::now() >= deadline) {
      observations_.no_response(id);
      co_return result;
    }
  }
}

OpenLoopLoad::AttemptResult OpenLoopLoad::check_response(const Attempt& attempt,
                                                         const http::Message& response,
                                                         bool in_time) {
  AttemptResult result;
  if (!in_time) {
    return result;
  }
  if (response.status == 200) {
    result.outcome = AttemptResult::Outcome::kServed;
    if (response.body != trace_id(attempt) + " served\n") {
      ++wrong_responses_;
    }
  } else if (is_rejection(response)) {
    result.outcome = AttemptResult::Outcome::kRejected;
    result.retry_after = retry_after_of(response);
  } else if (response.status != 502) {
    ++wrong_responses_;
  }
  return result;
}

}  // namespace beechhill::testbed
