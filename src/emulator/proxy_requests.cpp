#include "emulator/proxy_requests.h"

#include <algorithm>
#include <utility>

#include "emulator/simulation.h"

namespace beechhill::emulator {

void ProxyRequests::open(ProxyRequest request) {
  ProxyState& proxy = sim_.proxies[request.proxy];
  request.index_in_proxy = proxy.requests.size();
  Request event;
  event.class_id = request.class_id;
  event.tenant = request.tenant;
  event.deadline = request.deadline;
  event.id = requests_.add(std::move(request));
  proxy.requests.push_back(event.id);
  sim_.rules.taken(sim_.now, event.id, event.class_id, event.deadline);
  sim_.events.schedule(event.deadline, RequestDeadline{event.id});
  ++sim_.metrics.decisions;
  notify(proxy.index, event);
}

void ProxyRequests::lose(RequestId id) {
  const ProxyRequest& request = *requests_.find(id);
  const bool client_waits = !request.answered && request.parent_job == 0;
  const OperationId operation = request.operation;
  remove(id);
  if (client_waits) {
    sim_.clients.end_attempt(operation, {ClientOutcome::kConnectionLost});
  }
}

void ProxyRequests::notify(std::uint32_t proxy, const Event& event) {
  std::vector<Action> actions;
  sim_.proxies[proxy].policy->handle(sim_.now, event, actions);
  perform(proxy, actions);
}

void ProxyRequests::perform(std::uint32_t proxy, const std::vector<Action>& actions) {
  for (const Action& action : actions) {
    std::visit([&](const auto& typed) { apply(proxy, typed); }, action);
  }
  report_skipped_attempts();
}

// Notifies the policies of skipped attempts. As in the real proxy, this must happen after all
// actions have been performed.
void ProxyRequests::report_skipped_attempts() {
  if (reporting_skipped_) {
    return;
  }
  reporting_skipped_ = true;
  while (!skipped_attempts_.empty()) {
    const std::vector<AttemptId> skipped = std::exchange(skipped_attempts_, {});
    for (const AttemptId& id : skipped) {
      complete_attempt(id, {Result::kSkipped, {}, 0});
    }
  }
  reporting_skipped_ = false;
}

void ProxyRequests::apply(std::uint32_t proxy_index, const StartAttempt& action) {
  ProxyState& proxy = sim_.proxies[proxy_index];
  ProxyRequest* request = requests_.find(action.id);
  if (!request || request->proxy != proxy_index || action.endpoint >= proxy.endpoints.size()) {
    sim_.rules.sent(sim_.now, action.id, proxy.tier, action.endpoint, {}, std::nullopt);
    return;
  }
  const KnownEndpoint& known = proxy.endpoints[action.endpoint];
  sim_.rules.sent(sim_.now, action.id, proxy.tier, action.endpoint, known.endpoint,
                  known.not_up_since);
  const AttemptId id{action.id, static_cast<std::uint32_t>(request->attempts.size())};
  request->attempts.push_back({action.endpoint, true, 0});
  ++request->open_attempts;
  if (request->answered || sim_.now >= request->deadline ||
      request->attempts.size() > sim_.scenario.tries) {
    skipped_attempts_.push_back(id);
    return;
  }
  count_attempt(proxy, action.endpoint);
  send(proxy, *request, id);
}

void ProxyRequests::count_attempt(const ProxyState& proxy, EndpointId endpoint) {
  if (sim_.metrics.counted(sim_.now)) {
    sim_.metrics.attempts += proxy.tier == 0;
    sim_.metrics.crossings += proxy.zone != sim_.backends.at(proxy.tier, endpoint).endpoint.zone;
  }
  if (Second* second = sim_.metrics.second_of(sim_.now)) {
    ++second->attempts;
  }
}

// Sends an attempt over an idle connection or a new one.
void ProxyRequests::send(ProxyState& proxy, ProxyRequest& request, const AttemptId& id) {
  const EndpointId endpoint = request.attempts[id.attempt].endpoint;
  const TierSpec& tier = sim_.scenario.tiers[proxy.tier];
  BackendState& backend = sim_.backends.at(proxy.tier, endpoint);
  BackendJob job = sim_.backends.make_job(proxy, request, id);
  const bool new_connection = !take_idle_connection(proxy, endpoint);
  Duration transit = sim_.network.one_way_delay(proxy, backend.endpoint.zone) +
                     sim_.network.added_delay(proxy, proxy.tier, endpoint);
  ++backend.attempts_this_second;
  backend.connections_this_second += new_connection;
  if (new_connection) {
    ++sim_.metrics.connections;
    job.handshake_s = to_s(tier.handshake_work);
    job.first_phase_s += job.handshake_s;
    transit += tier.handshake + 2 * sim_.scenario.network;
  }
  backend.inbound_work_s += job.first_phase_s;
  const bool reachable = backend.mode == BackendMode::kUp &&
                         !sim_.network.blocked(proxy, proxy.tier, endpoint, Direction::kBoth);
  const bool connect_times_out = !reachable && new_connection && backend.mode != BackendMode::kDown;
  if (connect_times_out) {
    job.result = Result::kConnectFailed;
  }
  const JobId job_id = sim_.backends.add_job(job);
  request.attempts[id.attempt].job = job_id;
  if (connect_times_out) {
    sim_.events.schedule(sim_.now + sim_.scenario.connect_timeout, AttemptResponse{job_id});
  } else {
    sim_.events.schedule(sim_.now + transit, JobArrived{job_id});
  }
}

// Takes an idle connection from the pool. Returns false if there is none and a new one must be
// opened.
bool ProxyRequests::take_idle_connection(ProxyState& proxy, EndpointId endpoint) {
  PooledConnections& pool = proxy.connections[endpoint];
  if (pool.last_used + sim_.scenario.tiers[proxy.tier].connection_idle_timeout < sim_.now) {
    pool.idle = 0;
  }
  const bool first_use = pool.last_used == Time{0};
  sim_.metrics.pairs += first_use;
  pool.last_used = std::max(sim_.now, Time{1});
  if (pool.idle == 0) {
    return false;
  }
  --pool.idle;
  return true;
}

void ProxyRequests::apply(std::uint32_t, const Cancel& action) {
  const ProxyRequest* request = requests_.find(action.id);
  if (!request || action.attempt >= request->attempts.size() ||
      !request->attempts[action.attempt].open) {
    return;
  }
  sim_.backends.cancel(request->attempts[action.attempt].job);
  sim_.events.schedule(sim_.now, AttemptCancelled{action.id, action.attempt});
}

void ProxyRequests::apply(std::uint32_t proxy, const Reject& action) {
  answer(proxy, action.id, {ClientOutcome::kRejected, action.retry_after});
}

void ProxyRequests::apply(std::uint32_t proxy, const Fail& action) {
  answer(proxy, action.id, {ClientOutcome::kFailed});
}

void ProxyRequests::apply(std::uint32_t proxy_index, const HealthCheck& action) {
  ProxyState& proxy = sim_.proxies[proxy_index];
  ++sim_.metrics.probes;
  const BackendState& backend = sim_.backends.at(proxy.tier, action.endpoint);
  const bool succeeds = backend.mode == BackendMode::kUp &&
                        !sim_.network.blocked(proxy, proxy.tier, action.endpoint, Direction::kBoth);
  Duration took = sim_.scenario.connect_timeout;
  if (succeeds) {
    const Duration outbound = sim_.network.one_way_delay(proxy, backend.endpoint.zone);
    const Duration inbound = sim_.network.one_way_delay(proxy, backend.endpoint.zone);
    took = outbound + inbound;
  }
  sim_.events.schedule(sim_.now + took,
                       HealthCheckDone{proxy.current(), action.endpoint, succeeds});
}

void ProxyRequests::apply(std::uint32_t proxy, const SetTimer& action) {
  sim_.events.schedule(std::max(action.at, sim_.now),
                       ProxyTimer{sim_.proxies[proxy].current(), action.token});
}

void ProxyRequests::answer(std::uint32_t proxy, RequestId id, const ClientAttemptResult& result) {
  ProxyRequest* request = requests_.find(id);
  sim_.rules.answered(sim_.now, id, result.outcome == ClientOutcome::kRejected);
  if (!request || request->proxy != proxy || request->answered) {
    return;
  }
  request->answered = true;
  deliver_answer(*request, result);
  remove_if_done(id);
}

void ProxyRequests::deliver_answer(const ProxyRequest& request, const ClientAttemptResult& result) {
  if (request.parent_job != 0) {
    const bool succeeded = result.outcome == ClientOutcome::kSucceeded;
    return sim_.backends.on_downstream_answer(request.parent_job, succeeded, result.useful_work_s);
  }
  sim_.clients.end_attempt(request.operation, result);
}

void ProxyRequests::complete_attempt(const AttemptId& id, const AttemptResult& result) {
  ProxyRequest* request = requests_.find(id.request);
  if (!request || id.attempt >= request->attempts.size() || !request->attempts[id.attempt].open) {
    return;
  }
  request->attempts[id.attempt].open = false;
  --request->open_attempts;
  sim_.rules.ended(sim_.now, id.request, id.attempt, result.result);
  if (result.result == Result::kOk && !request->answered) {
    request->answered = true;
    sim_.rules.answered(sim_.now, id.request, false);
    deliver_answer(*request, {ClientOutcome::kSucceeded, Duration{0}, result.useful_work_s});
  }
  const Outcome outcome{id.request, id.attempt, result.result, request->answered, result.report};
  notify(request->proxy, outcome);
  remove_if_done(id.request);
}

void ProxyRequests::remove_if_done(RequestId id) {
  const ProxyRequest* request = requests_.find(id);
  if (request && request->answered && request->open_attempts == 0) {
    remove(id);
  }
}

void ProxyRequests::remove(RequestId id) {
  const ProxyRequest& request = *requests_.find(id);
  std::vector<RequestId>& listed = sim_.proxies[request.proxy].requests;
  const std::size_t index = request.index_in_proxy;
  listed[index] = listed.back();
  requests_.find(listed[index])->index_in_proxy = index;
  listed.pop_back();
  sim_.rules.forget(id);
  requests_.remove(id);
}

void ProxyRequests::schedule_overdue(RequestId id) {
  sim_.events.schedule(sim_.now + sim_.scenario.answer_grace + Duration{1}, AnswerOverdue{id});
}

void ProxyRequests::on_response(JobId id) {
  const BackendJob* found = sim_.backends.find_job(id);
  if (!found) {
    return;
  }
  const BackendJob job = *found;
  sim_.backends.remove_job(id);
  // A connection is reused only after a complete response to a proxy that still waits for it.
  const bool complete = job.result == Result::kOk || job.result == Result::kOverloaded ||
                        job.result == Result::kError;
  const ProxyRequest* request = requests_.find(job.request);
  ProxyState& proxy = sim_.proxies[job.proxy];
  if (complete && request && request->attempts[job.attempt].open && proxy.alive) {
    PooledConnections& pool = proxy.connections[job.endpoint];
    ++pool.idle;
    pool.last_used = sim_.now;
  }
  complete_attempt({job.request, job.attempt}, {job.result, job.report, job.useful_work_s});
}

// Ends all open attempts with a time-out, because the proxy waits for no result after the deadline.
void ProxyRequests::on_deadline(RequestId id) {
  const ProxyRequest* request = requests_.find(id);
  if (!request) {
    return;
  }
  if (!request->answered) {
    schedule_overdue(id);
  }
  const std::size_t attempts = request->attempts.size();
  for (std::uint32_t attempt = 0; attempt < attempts; ++attempt) {
    complete_attempt({id, attempt}, {Result::kTimeout, {}, 0});
    if (!requests_.find(id)) {
      return;
    }
  }
}

void ProxyRequests::on_answer_overdue(RequestId id) {
  ProxyRequest* request = requests_.find(id);
  if (!request || (request->answered && !request->client_gone)) {
    return;
  }
  // If the request is already answered, its client disconnected while the proxy was paused. The
  // policy is notified of the disconnect only now.
  if (!request->answered) {
    sim_.rules.overdue(sim_.now, id);
    request->answered = true;
    deliver_answer(*request, {ClientOutcome::kFailed});
  }
  notify(request->proxy, ClientDisconnected{id});
  remove_if_done(id);
}

void ProxyRequests::on_health_check_done(const HealthCheckDone& check) {
  const std::uint32_t proxy = check.proxy.proxy;
  BackendState& backend = sim_.backends.at(sim_.proxies[proxy].tier, check.endpoint);
  HealthCheckResult result{check.endpoint, Result::kConnectFailed, LoadReport{}};
  if (check.succeeded) {
    result.result = Result::kOk;
    result.report = backend.model.report(sim_.now, backend.report_delay);
  }
  notify(proxy, result);
}

void ProxyRequests::reset_connections(const LinkFault& fault) {
  const std::uint32_t tier = sim_.scenario.faults[fault.fault_index].tier;
  std::vector<AttemptId> ended;
  for (EndpointId endpoint = 0; endpoint < fault.backends.size(); ++endpoint) {
    if (!fault.backends[endpoint]) {
      continue;
    }
    for (const std::uint32_t index : sim_.proxies.in_tier(tier)) {
      ProxyState& proxy = sim_.proxies[index];
      if (sim_.network.affects(fault, proxy, tier, endpoint)) {
        proxy.connections[endpoint].idle = 0;
      }
    }
    for (const JobId id : sim_.backends.at(tier, endpoint).jobs) {
      const BackendJob& job = *sim_.backends.find_job(id);
      if (sim_.network.affects(fault, sim_.proxies[job.proxy], tier, endpoint)) {
        ended.push_back({job.request, job.attempt});
      }
    }
  }
  for (const AttemptId& id : ended) {
    const ProxyRequest* request = requests_.find(id.request);
    if (request && !sim_.proxies[request->proxy].paused) {
      complete_attempt(id, {Result::kReset, {}, 0});
    }
  }
}

}  // namespace beechhill::emulator
