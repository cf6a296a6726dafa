// The members of DecisionActor for requests, their attempts, and health checks.
#include <algorithm>
#include <utility>

#include "log/log.h"
#include "net/socket.h"
#include "proxy/decision_actor.h"

namespace beechhill::proxy {

using runtime::now;

namespace {

// Maximum percentage of a request's time until its deadline that establishing the first connection
// may take. If it takes longer, a rejection, which the client can retry, is better than waiting for
// the connection.
constexpr int kFirstConnectPercent = 45;

}  // namespace

void DecisionActor::on(RequestReceived& message) {
  ClientRequest& client_request = *message.request;
  if (client_request.abandoned) {
    return;
  }
  const RequestId id = next_request_id_++;
  client_request.id = id;
  ActiveRequest& active = requests_.try_emplace(id, message.request).first->second;
  if (!serving_permitted()) {
    active.respond(Rejection{max_retry_after_});
    return release_request_if_finished(id);
  }
  Request request;
  request.id = id;
  request.class_id = client_request.class_id;
  request.tenant = client_request.tenant;
  request.deadline = client_request.deadline;
  request.streams_body = client_request.streams_body();
  handle_event(request);
  release_request_if_finished(id);
}

void DecisionActor::on(RequestAbandoned& message) {
  const RequestId id = message.request->id;
  ActiveRequest* active = find_request(id);
  if (!active || active->closed()) {
    return;
  }
  active->abandon();
  handle_event(ClientDisconnected{id});
  release_request_if_finished(id);
}

void DecisionActor::on(AttemptCompleted& outcome) {
  ActiveRequest* active = find_request(outcome.request_id);
  if (!active) {
    return;
  }
  active->record_outcome(outcome.attempt_number, outcome.result);
  const ClientRequest& request = *active->request();
  const bool body_consumed =
      request.streams_body() && request.payload->streamed_body()->reading_started();
  const std::shared_ptr<BodyPipe> response_stream = outcome.response.remaining_body;
  if (response_stream) {
    // The response stream holds a reference to the endpoint until ResponseStreamEnded arrives.
    add_reference(active->attempts()[outcome.attempt_number].endpoint);
  }
  if (outcome.result == Result::kOk && !active->closed()) {
    active->respond(std::move(outcome.response));
  } else if (response_stream) {
    response_stream->close_reader();
  }
  bool reassigned = false;
  if (outcome.attempt_number < active->attempts().size()) {
    const EndpointId endpoint = active->attempts()[outcome.attempt_number].endpoint;
    zone_utilization_.record(backends_[endpoint].zone, outcome.load_report);
    reassigned = outcome.result != Result::kOk && address_is_reassigned(endpoint);
  }
  handle_event(Outcome{outcome.request_id, outcome.attempt_number, outcome.result, active->closed(),
                       outcome.load_report, body_consumed, reassigned});
  release_request_if_finished(outcome.request_id);
}

// Whether the endpoint list now has another endpoint at the address of `endpoint`. A request that
// was sent to the address before the list arrived may have run at either of them.
bool DecisionActor::address_is_reassigned(EndpointId endpoint) const {
  const BackendEntry& entry = backends_[endpoint];
  return std::any_of(backends_.begin(), backends_.end(), [&entry](const BackendEntry& other) {
    return &other != &entry && other.status != EndpointStatus::kRemoved &&
           net::same_address(other.address, entry.address);
  });
}

void DecisionActor::on(ResponseStreamEnded& message) {
  drop_reference(message.endpoint);
}

void DecisionActor::on(HealthCheckCompleted& outcome) {
  handle_event(HealthCheckResult{outcome.endpoint, outcome.result, outcome.load_report});
  drop_reference(outcome.endpoint);
}

ActiveRequest* DecisionActor::find_request(RequestId id) {
  const auto it = requests_.find(id);
  return it == requests_.end() ? nullptr : &it->second;
}

void DecisionActor::release_request_if_finished(RequestId id) {
  const auto it = requests_.find(id);
  if (it == requests_.end() || !it->second.finished()) {
    return;
  }
  const std::vector<ActiveRequest::Attempt> attempts = it->second.attempts();
  requests_.erase(it);
  for (const ActiveRequest::Attempt& attempt : attempts) {
    drop_reference(attempt.endpoint);
  }
}

void DecisionActor::drop_reference(EndpointId endpoint) {
  --backends_[endpoint].references;
  release_backend_if_unused(endpoint);
}

void DecisionActor::perform(const StartAttempt& action) {
  ActiveRequest* active = find_request(action.id);
  if (!active) {
    return;
  }
  AttemptRequest attempt = make_attempt(*active);
  attempt.attempt_number = active->start_attempt(action.endpoint, now());
  add_reference(action.endpoint);
  const std::uint32_t attempt_number = attempt.attempt_number;
  const Result result = post_attempt(*active, action.endpoint, std::move(attempt));
  if (result != Result::kOk) {
    immediate_outcomes_.push_back(AttemptCompleted{action.id, attempt_number, result, {}, {}});
  }
}

AttemptRequest DecisionActor::make_attempt(const ActiveRequest& active) const {
  const ClientRequest& request = *active.request();
  AttemptRequest attempt;
  attempt.request_id = request.id;
  attempt.connect_deadline = request.deadline;
  attempt.deadline = request.deadline;
  attempt.payload = request.payload;
  attempt.request = active.request();
  if (!active.may_have_reached_backend() && !request.streams_body()) {
    attempt.connect_deadline =
        request.arrived_at + (request.deadline - request.arrived_at) * kFirstConnectPercent / 100;
  }
  // A retry must be written before the deduplication window of the first possibly executed attempt
  // ends, however long it waits in a mailbox or for a connection.
  const std::optional<Duration>& window = deduplication_windows_[request.class_id];
  const std::optional<Time> executed_at = active.possibly_executed_at();
  if (window && executed_at) {
    attempt.write_deadline = *executed_at + *window;
  }
  return attempt;
}

// Returns kOk if the attempt was posted. Otherwise returns the outcome of the attempt, which was
// not started.
Result DecisionActor::post_attempt(const ActiveRequest& active, EndpointId endpoint,
                                   AttemptRequest&& attempt) {
  const BackendEntry& backend = backends_[endpoint];
  if (active.closed() || active.request()->abandoned || attempt.deadline <= now() ||
      active.attempts().size() > max_attempts_) {
    return Result::kSkipped;
  }
  const bool may_receive =
      backend.status == EndpointStatus::kUp && !backend.excluded && now() < backend.permitted_until;
  return may_receive && backend.backend->post(std::move(attempt)) ? Result::kOk
                                                                  : Result::kConnectFailed;
}

void DecisionActor::perform(const Cancel& action) {
  const ActiveRequest* active = find_request(action.id);
  if (!active || action.attempt >= active->attempts().size()) {
    return;
  }
  const EndpointId endpoint = active->attempts()[action.attempt].endpoint;
  if (!backends_[endpoint].backend->post(CancelAttempt{action.id, action.attempt})) {
    log::dropped_message("cancel");
  }
}

void DecisionActor::perform(const Reject& action) {
  if (ActiveRequest* active = find_request(action.id)) {
    active->respond(Rejection{action.retry_after});
  }
}

void DecisionActor::perform(const Fail& action) {
  if (ActiveRequest* active = find_request(action.id)) {
    active->respond(Failure{});
  }
}

void DecisionActor::perform(const HealthCheck& action) {
  add_reference(action.endpoint);
  if (!backends_[action.endpoint].backend->post(CheckHealth{})) {
    immediate_outcomes_.push_back(
        HealthCheckCompleted{action.endpoint, Result::kConnectFailed, {}});
  }
}

}  // namespace beechhill::proxy
