#include "proxy/backend_actor.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <exception>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "http/field_values.h"
#include "http/message.h"
#include "http/parser.h"
#include "http/writer.h"
#include "log/log.h"
#include "runtime/time.h"

namespace beechhill::proxy {

using runtime::now;
using runtime::Task;
using runtime::TimePoint;
using runtime::to_time_point;

namespace {

constexpr std::size_t kInboxCapacity = 2048;

// Attempts are accepted only while fewer messages than this are queued; the rest of the mailbox is
// reserved for cancellations and status updates.
constexpr std::size_t kMaxQueuedAttempts = 1024;

// The timeout of a health check as a multiple of the connect timeout.
constexpr int kHealthCheckTimeoutFactor = 5;

class HealthCheckPayload : public Payload {
 public:
  std::string encode(const std::string& host, Duration) const override {
    return http::write_request("GET", "/stats", host, "", "");
  }
};

std::int64_t microseconds_or_none(const std::optional<Duration>& duration) {
  return duration ? std::chrono::duration_cast<std::chrono::microseconds>(*duration).count() : -1;
}

// Logs on which connection an attempt was made and how soon its response came, from which one can
// tell whether a response can be the one to its request.
void log_attempt(const AttemptRequest& attempt, EndpointId endpoint, const ExchangeResult& result) {
  const ExchangeTiming& timing = result.timing;
  log::event(log::Level::kDebug, "attempt",
             {{"trace_id", attempt.payload->trace_id()},
              {"endpoint", std::uint64_t{endpoint}},
              {"result", std::string_view(name(result.result))},
              {"reused_after_us", microseconds_or_none(timing.reused_after)},
              {"written_after_us", microseconds_or_none(timing.written_after)},
              {"first_byte_after_us", microseconds_or_none(timing.first_byte_after)},
              {"longest_gap_us", microseconds_or_none(timing.longest_gap)},
              {"body_bytes", std::uint64_t{timing.body_bytes}}});
}

// Whether the outcome of `attempt` is still needed: its client has neither disconnected nor
// received a response. Always true for a health check, for which `attempt` is null.
bool is_wanted(const AttemptRequest* attempt) {
  return !attempt || !attempt->request || attempt->request->awaits_response();
}

}  // namespace

BackendActor::BackendActor(runtime::Scheduler& scheduler, DecisionMailbox& decisions,
                           BackendPool& pool, const Settings& settings, EndpointId endpoint,
                           sockaddr_in address)
    : scheduler_(scheduler),
      decisions_(decisions),
      pool_(pool),
      settings_(settings),
      endpoint_(endpoint),
      status_{EndpointStatus::kRemoved, address},
      inbox_(kInboxCapacity),
      idle_connections_(inbox_.arrived(), settings, pool.settling_time),
      actor_task_(scheduler.spawn(run())) {
  pool_.idle_connections.push_back(&idle_connections_);
}

BackendActor::~BackendActor() {
  scheduler_.cancel(actor_task_);
  for (const auto& [key, task] : attempts_) {
    scheduler_.cancel(task);
  }
  std::erase(pool_.idle_connections, &idle_connections_);
}

bool BackendActor::post(BackendMessage&& message) {
  if (std::holds_alternative<AttemptRequest>(message) && inbox_.size() >= kMaxQueuedAttempts) {
    return false;
  }
  return inbox_.post(std::move(message));
}

Task<> BackendActor::run() {
  for (;;) {
    while (!inbox_.empty()) {
      BackendMessage message = inbox_.take();
      std::visit([this](auto& content) { on(content); }, message);
    }
    idle_connections_.close_stale();
    runtime::Wait wait(scheduler_);
    wait.notified(inbox_.arrived());
    if (!idle_connections_.empty()) {
      wait.until(idle_connections_.next_expiry());
    }
    co_await wait;
  }
}

// ---- Messages

void BackendActor::on(AttemptRequest& attempt) {
  const AttemptKey key{attempt.request_id, attempt.attempt_number};
  attempts_[key] = scheduler_.spawn(run_attempt(std::move(attempt)));
}

void BackendActor::on(CancelAttempt& cancel) {
  const auto it = attempts_.find({cancel.request_id, cancel.attempt_number});
  if (it == attempts_.end()) {
    return;  // The attempt has already ended.
  }
  // Cancelling the task closes the connection, as HTTP/1.1 has no other way to cancel a request.
  scheduler_.cancel(it->second);
  attempts_.erase(it);
  AttemptCompleted outcome{cancel.request_id, cancel.attempt_number, Result::kCancelled, {}, {}};
  scheduler_.spawn(post_reliably(scheduler_, decisions_, std::move(outcome)));
}

void BackendActor::on(CheckHealth&) {
  scheduler_.spawn(run_health_check());
}

void BackendActor::on(BackendStatus& status) {
  if (status.status == EndpointStatus::kRemoved) {
    status.address = status_.address;
  }
  // After a restart or a move, closes the connections to the previous process, because a request
  // that is written to one of them counts as possibly executed.
  const bool restarted = !net::same_address(status.address, status_.address) ||
                         status.started_at != status_.started_at;
  status_ = status;
  if (status.status != EndpointStatus::kUp || restarted) {
    idle_connections_.close_all(EndReason::kBackendDrained);
  }
}

// ---- Attempts

// Whether requests may be sent to the backend. A draining backend receives none, even within its
// drain grace. The grace starts when discovery's agent learns of the drain, so that it may be over
// before this process learns of the drain, for example after the watch broke.
bool BackendActor::may_send() const {
  return pool_.endpoints_are_current() && now() < status_.permitted_until &&
         status_.status == EndpointStatus::kUp;
}

// Returns the result of an attempt that was not sent. While the endpoint list is not current, the
// result does not count against the backend, because it is unknown whether the backend still
// serves.
Result BackendActor::unsent_result(const AttemptRequest* attempt) const {
  return is_wanted(attempt) && pool_.endpoints_are_current() ? Result::kConnectFailed
                                                             : Result::kSkipped;
}

// Whether `connection` leads to the backend's current process.
bool BackendActor::is_current(const BackendConnection& connection) const {
  return net::same_address(connection.address, status_.address) &&
         connection.backend_started_at == status_.started_at;
}

Task<> BackendActor::run_attempt(AttemptRequest attempt) {
  AttemptCompleted outcome{
      attempt.request_id, attempt.attempt_number, Result::kConnectFailed, {}, {}};
  try {
    ExchangeResult exchange_result =
        co_await exchange(*attempt.payload, attempt.connect_deadline, attempt.deadline, &attempt);
    log_attempt(attempt, endpoint_, exchange_result);
    if (exchange_result.posted) {
      attempts_.erase({attempt.request_id, attempt.attempt_number});
      DecisionMessage ended(ResponseStreamEnded{endpoint_});
      co_await post_reliably(scheduler_, decisions_, std::move(ended));
      co_return;
    }
    outcome.result = exchange_result.result;
    outcome.load_report = exchange_result.load_report;
    outcome.response = std::move(exchange_result.response);
  } catch (const std::exception& error) {  // Every attempt must have an outcome.
    log::fault("step_fault", error);
    outcome.result = Result::kError;  // The request may have been executed.
  }
  attempts_.erase({attempt.request_id, attempt.attempt_number});
  DecisionMessage message(std::move(outcome));
  co_await post_reliably(scheduler_, decisions_, std::move(message));
}

Task<> BackendActor::run_health_check() {
  const HealthCheckPayload payload;
  const Time deadline = now() + kHealthCheckTimeoutFactor * settings_.connect_timeout;
  const ExchangeResult exchange_result = co_await exchange(payload, deadline, deadline, nullptr);
  DecisionMessage message(
      HealthCheckCompleted{endpoint_, exchange_result.result, exchange_result.load_report});
  co_await post_reliably(scheduler_, decisions_, std::move(message));
}

// Sends one request and receives its response, on an idle connection if there is one. `attempt` is
// null for a health check.
Task<ExchangeResult> BackendActor::exchange(const Payload& payload, Time connect_deadline,
                                            Time deadline, const AttemptRequest* attempt) {
  ExchangeResult unsent;
  unsent.result = unsent_result(attempt);
  const Time write_deadline = attempt ? std::min(deadline, attempt->write_deadline) : deadline;
  if (!may_send() || !is_wanted(attempt) || now() >= write_deadline) {
    co_return unsent;
  }
  std::unique_ptr<BackendConnection> connection =
      co_await acquire_connection(connect_deadline, write_deadline);
  if (!connection) {
    co_return unsent;
  }
  // While the connection was being acquired, the backend may have begun to drain, moved or
  // restarted, the client may have disconnected or received its response, or the write deadline may
  // have passed.
  const bool usable = may_send() && is_current(*connection);
  if (!usable || !is_wanted(attempt) || now() >= write_deadline) {
    connection->end_reason = usable ? EndReason::kAttemptCancelled : EndReason::kBackendDrained;
    unsent.result = unsent_result(attempt);
    if (usable) {
      idle_connections_.put(std::move(connection));
    }
    co_return unsent;
  }
  BackendExchange exchange(scheduler_, decisions_, pool_, *connection, payload, attempt);
  ExchangeResult result = co_await exchange.run(write_deadline, deadline);
  // A connection to a process that the backend has replaced must not be reused.
  if (exchange.connection_is_reusable() && status_.status == EndpointStatus::kUp &&
      is_current(*connection)) {
    idle_connections_.put(std::move(connection));
  }
  co_return result;
}

// Returns an idle connection, or opens one. Returns null if neither is possible in time.
Task<std::unique_ptr<BackendConnection>> BackendActor::acquire_connection(Time connect_deadline,
                                                                          Time write_deadline) {
  std::unique_ptr<BackendConnection> connection =
      co_await take_idle(std::min(connect_deadline, write_deadline));
  if (!connection) {
    connection = co_await connect(connect_deadline);
  }
  co_return connection;
}

// Takes an idle connection and waits until it is settled. Returns null if there is none that is
// settled by `deadline` and soon enough that waiting is better than opening another.
Task<std::unique_ptr<BackendConnection>> BackendActor::take_idle(Time deadline) {
  deadline = std::min(deadline, now() + SettlingTime::kUsual);
  for (;;) {
    std::unique_ptr<BackendConnection> connection = idle_connections_.take(to_time_point(deadline));
    if (!connection) {
      co_return nullptr;
    }
    const TimePoint settled_at = idle_connections_.settled_at(*connection);
    if (settled_at <= runtime::Clock::now()) {
      co_return connection;
    }
    runtime::Wait wait(scheduler_);
    wait.until(settled_at);
    co_await wait;
    if (idle_connections_.check_unused(*connection)) {
      co_return connection;
    }
  }
}

// Opens a connection. Returns null if no descriptor is free or the connection is not established in
// time.
Task<std::unique_ptr<BackendConnection>> BackendActor::connect(Time connect_deadline) {
  if (!pool_.reserve_descriptor()) {
    co_return nullptr;
  }
  auto connection = std::make_unique<BackendConnection>(pool_.descriptor_budget, status_.address);
  connection->backend_started_at = status_.started_at;
  const TimePoint deadline =
      to_time_point(std::min(connect_deadline, now() + settings_.connect_timeout));
  connection->stream = co_await net::Stream::connect(scheduler_, status_.address, deadline);
  if (!connection->stream) {
    connection->end_reason = EndReason::kConnectFailed;
    co_return nullptr;
  }
  connection->stream->limit_reads(pool_.buffer_budget.max_read_bytes());
  co_return connection;
}

}  // namespace beechhill::proxy
