#include "testbed/fake_backend.h"

#include <fmt/format.h>

#include <algorithm>
#include <string_view>

#include "http/field_values.h"
#include "http/message.h"
#include "http/writer.h"
#include "testbed/server_io.h"
#include "testbed/task_helpers.h"

namespace beechhill::testbed {

using namespace std::chrono_literals;
using net::IoResult;
using runtime::Clock;
using runtime::Task;
using runtime::Wait;

namespace {

constexpr std::string_view kWorkParameter = "work_us=";
constexpr double kMaxWorkUs = 3600e6;  // maximum work of one request
// Delay before the next call of accept() when one has failed, for example for lack of file
// descriptors.
constexpr auto kAcceptRetryDelay = 10ms;
// Selects a random stream for error responses that is distinct from that of the node model.
constexpr std::uint64_t kErrorStream = 1ULL << 32;

// Returns the work of a request in core-seconds from its query, or 0 if the query has none.
double work_from_query(const std::string& target) {
  const std::size_t at = target.find(kWorkParameter);
  if (at == std::string::npos) {
    return 0;
  }
  const std::size_t from = at + kWorkParameter.size();
  const std::size_t to = std::min(target.find('&', from), target.size());
  const auto work = http::parse_unsigned(std::string_view(target).substr(from, to - from));
  return work ? std::min(kMaxWorkUs, static_cast<double>(*work)) / 1e6 : 0;
}

// Removes a connection's task from the set when its coroutine frame is destroyed.
class TaskRegistration {
 public:
  TaskRegistration(std::set<runtime::TaskId>& tasks, std::shared_ptr<runtime::TaskId> id)
      : tasks_(tasks), id_(std::move(id)) {}
  ~TaskRegistration() { tasks_.erase(*id_); }
  TaskRegistration(const TaskRegistration&) = delete;
  TaskRegistration& operator=(const TaskRegistration&) = delete;

 private:
  std::set<runtime::TaskId>& tasks_;
  std::shared_ptr<runtime::TaskId> id_;
};

}  // namespace

FakeBackend::FakeBackend(runtime::Scheduler& scheduler, const TestbedClock& clock,
                         const emulator::Scenario& scenario, EndpointId id,
                         ObservationLog* observations)
    : scheduler_(scheduler),
      clock_(clock),
      spec_(scenario.tiers[0]),
      model_(spec_, scenario.seed, id, std::nullopt, clock.now()),
      random_(scenario.seed, emulator::Actor::kNode, id + kErrorStream),
      id_(id),
      observations_(observations) {
  listen();
  scheduler_.spawn(run_phase_timer());
}

void FakeBackend::listen() {
  listener_ = std::make_unique<net::Listener>(scheduler_, address());
  accept_task_ = scheduler_.spawn(accept());
}

void FakeBackend::set_state(State state) {
  if (state == state_) {
    return;
  }
  state_ = state;
  const Time now = clock_.now();
  phases_ = {};
  if (state != State::kServing) {
    model_.restart(now, now);  // discards the work in progress
    jobs_.clear();
  }
  if (state == State::kUnresponsive) {
    return;
  }
  const std::set<runtime::TaskId> connections = std::move(connection_tasks_);
  connection_tasks_.clear();
  for (const runtime::TaskId task : connections) {
    scheduler_.cancel(task);
  }
  if (state == State::kStopped) {
    scheduler_.cancel(accept_task_);
    listener_.reset();
    return;
  }
  model_.restart(now, now);
  in_slow_start_ = true;
  if (!listener_) {
    listen();
  }
}

Task<> FakeBackend::accept() {
  for (;;) {
    net::FileDescriptor accepted;
    sockaddr_in from{};
    const IoResult io = co_await listener_->accept(Clock::now() + kNoTimeout, accepted, from);
    if (io == IoResult::kError) {
      co_await sleep_for(scheduler_, kAcceptRetryDelay);
    }
    if (io != IoResult::kOk) {
      continue;
    }
    ++connections_accepted_;
    if (observations_) {
      observations_->connection_accepted(id_);
    }
    auto stream = std::make_shared<net::Stream>(scheduler_, std::move(accepted));
    const auto self = std::make_shared<runtime::TaskId>(0);
    *self = scheduler_.spawn(serve(std::move(stream), self));
    connection_tasks_.insert(*self);
  }
}

Task<> FakeBackend::serve(std::shared_ptr<net::Stream> stream,
                          std::shared_ptr<runtime::TaskId> self) {
  const TaskRegistration registration(connection_tasks_, std::move(self));
  std::string buffer;
  bool handshake_due = true;
  for (;;) {
    http::Message request;
    const bool complete = co_await read_request(*stream, buffer, request);
    if (!complete) {
      co_return;
    }
    if (state_ == State::kUnresponsive) {
      continue;
    }
    ++requests_received_;
    const std::string* trace_id = request.headers.find("X-Trace-Id");
    Exchange exchange;
    exchange.work = work_from_query(request.target) * spec_.work;
    if (observations_ && trace_id) {
      exchange.observed_id = ObservationLog::parse_trace_id(*trace_id);
    }
    observe_arrival(exchange);
    if (std::exchange(handshake_due, false)) {
      exchange.work += std::chrono::duration<double>(spec_.handshake_work).count();
    }
    if (trace_id) {
      co_await execute(exchange);
    } else {
      exchange.status = 404;
    }
    observe_completion(exchange);
    const std::string headers =
        (exchange.status == 503 ? "X-Never-Ran: 1\r\n" : "") + load_report_header(clock_.now());
    const std::string body = (trace_id ? *trace_id : "") + " served\n";
    const std::string response = http::write_response(exchange.status, headers, body, false);
    const IoResult io = co_await stream->write(response, Clock::now() + kNoTimeout);
    if (io != IoResult::kOk) {
      co_return;
    }
  }
}

// Runs the request in the node model, waits until the model has finished it, and sets the status of
// the response.
Task<> FakeBackend::execute(Exchange& exchange) {
  const emulator::JobId id = next_job_++;
  if (error_rate_ > 0 && random_.uniform() < error_rate_) {
    exchange.status = 500;
    co_return;
  }
  std::vector<emulator::StartedPhase> starts;
  if (!model_.accept(clock_.now(), id, exchange.work, starts)) {
    exchange.status = 503;
    co_return;
  }
  Job job;
  jobs_[id] = &job;
  schedule(starts);
  Wait wait(scheduler_);
  wait.notified(job.done);
  co_await wait;
}

// Passes the end of each due phase to the node model with the time that the model determined, even
// if the timer fires late, so that the timer's granularity does not slow the backend down.
Task<> FakeBackend::run_phase_timer() {
  for (;;) {
    finish_due_phases();
    Wait wait(scheduler_);
    wait.notified(phases_changed_);
    if (!phases_.empty()) {
      wait.until(clock_.time_point(phases_.top().until));
    }
    co_await wait;
  }
}

void FakeBackend::finish_due_phases() {
  while (!phases_.empty() && phases_.top().until <= clock_.now()) {
    const emulator::StartedPhase phase = phases_.top();
    phases_.pop();
    const auto it = jobs_.find(phase.job);
    if (it != jobs_.end()) {
      it->second->done.notify();
      jobs_.erase(it);
    }
    std::vector<emulator::StartedPhase> starts;
    model_.phase_done(phase.until, true, starts);
    schedule(starts);
  }
}

void FakeBackend::schedule(const std::vector<emulator::StartedPhase>& starts) {
  for (const emulator::StartedPhase& start : starts) {
    phases_.push(start);
  }
  if (!starts.empty()) {
    phases_changed_.notify();
  }
}

Endpoint FakeBackend::endpoint() const {
  Endpoint endpoint;
  endpoint.id = id_;
  endpoint.zone = zone();
  endpoint.cell = cell();
  return endpoint;
}

void FakeBackend::observe_arrival(Exchange& exchange) {
  if (!exchange.observed_id) {
    return;
  }
  exchange.attempt = observations_->attempt_received(*exchange.observed_id, endpoint());
  const Time now = clock_.now();
  if (in_slow_start_ && !model_.cold(now)) {
    in_slow_start_ = false;
    observations_->slow_start_ended(id_);
  }
  const std::optional<Time> started = started_at();
  if (in_slow_start_ && started) {
    observations_->work_received_in_slow_start(*exchange.observed_id, id_, exchange.work,
                                               model_.capacity(now), *started);
  }
}

void FakeBackend::observe_completion(const Exchange& exchange) {
  if (!exchange.observed_id) {
    return;
  }
  Result result = Result::kError;
  if (exchange.status == 200) {
    result = Result::kOk;
  } else if (exchange.status == 503) {
    result = Result::kOverloaded;
  }
  observations_->attempt_completed(*exchange.observed_id, exchange.attempt, result);
}

std::string FakeBackend::load_report_header(Time now) {
  const LoadReport report = model_.report(now, report_delay_);
  if (!report.utilization || !report.requests_per_s) {
    return "";
  }
  return fmt::format(
      "Endpoint-Load-Metrics: TEXT cpu_share={:.4f}, served_ps={:.2f}, pending={}\r\n",
      *report.utilization, *report.requests_per_s, model_.waiting());
}

}  // namespace beechhill::testbed
