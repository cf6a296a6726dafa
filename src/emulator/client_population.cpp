#include "emulator/client_population.h"

#include <algorithm>

#include "emulator/simulation.h"

namespace beechhill::emulator {

ClientPopulation::ClientPopulation(Simulation& sim)
    : sim_(sim), arrivals_(sim.scenario), random_(sim.scenario.seed, Actor::kClients, 0) {
}

void ClientPopulation::assign_connections() {
  const ClientSpec& spec = sim_.scenario.clients;
  std::vector<std::uint32_t> first_zone;
  std::vector<std::uint32_t> others;
  for (const std::uint32_t proxy : sim_.proxies.in_tier(0)) {
    const bool in_first_zone = spec.first_zone_share > 0 && sim_.proxies[proxy].zone == 0;
    (in_first_zone ? first_zone : others).push_back(proxy);
  }
  connections_.resize(spec.connections);
  const auto first_zone_connections =
      static_cast<std::size_t>(spec.first_zone_share * static_cast<double>(connections_.size()));
  for (std::size_t i = 0; i < connections_.size(); ++i) {
    const std::vector<std::uint32_t>& candidates = i < first_zone_connections ? first_zone : others;
    connections_[i] = candidates[i % candidates.size()];
  }
}

void ClientPopulation::rebalance_to(std::uint32_t proxy) {
  std::size_t serving = 0;
  for (const std::uint32_t other : sim_.proxies.in_tier(0)) {
    serving += sim_.proxies[other].accepts_requests();
  }
  rebalance_connections(connections_, proxy, serving, random_);
}

void ClientPopulation::schedule_next_arrival() {
  next_arrival_ = arrivals_.next();
  if (next_arrival_) {
    sim_.events.schedule(next_arrival_->at, ArrivalDue{});
  }
}

void ClientPopulation::on_arrival() {
  if (!next_arrival_) {
    return;
  }
  const Arrival arrival = *next_arrival_;
  ClientOperation operation;
  operation.arrived_at = sim_.now;
  operation.deadline = sim_.now + sim_.scenario.classes[arrival.class_id].settings.deadline;
  operation.class_id = arrival.class_id;
  operation.tenant = arrival.tenant;
  operation.work_s = arrival.work_s;
  operation.weight = arrival.worth;
  operation.connection = arrival.connection;
  sim_.metrics.asked(sim_.now, operation.class_id, operation.tenant, operation.weight);
  start_attempt(operations_.add(operation));
  schedule_next_arrival();
}

void ClientPopulation::on_retry_due(OperationId id) {
  if (operations_.find(id)) {
    start_attempt(id);
  }
}

void ClientPopulation::start_attempt(OperationId id) {
  ClientOperation& operation = *operations_.find(id);
  ++operation.attempts;
  if (sim_.metrics.counted(operation.arrived_at)) {
    ++sim_.metrics.tries;
  }
  if (Second* second = sim_.metrics.second_of(sim_.now)) {
    ++second->tries;
  }
  if (!connect(operation.connection)) {
    ++sim_.metrics.unreachable;
    return end_attempt(id, {ClientOutcome::kUnreachable});
  }
  ProxyRequest request;
  request.proxy = connections_[operation.connection];
  request.operation = id;
  request.class_id = operation.class_id;
  request.tenant = operation.tenant;
  const Duration patience = draw_attempt_timeout(sim_.scenario, operation.class_id, random_);
  request.deadline = std::min(operation.deadline, sim_.now + patience);
  request.work_s = operation.work_s;
  ProxyState& proxy = sim_.proxies[request.proxy];
  if (!proxy.paused) {
    return sim_.requests.open(std::move(request));
  }
  // A paused proxy does not read its socket. The request is kept until the proxy resumes; the
  // client may time out before.
  operation.unread = true;
  sim_.events.schedule(request.deadline, ClientTimeout{id, operation.attempts});
  proxy.unread_requests.push_back(std::move(request));
}

// Keeps the connection if its proxy accepts requests. Otherwise opens it to a random proxy of those
// that the front-end lists, and returns false if none is listed or the drawn proxy does not accept
// requests.
bool ClientPopulation::connect(std::uint32_t connection) {
  std::uint32_t& current = connections_[connection];
  if (sim_.proxies[current].accepts_requests()) {
    return true;
  }
  // The front-end lists a dead proxy until `proxy_notice` has passed since its death. New
  // connections can be routed to the dead proxy until then.
  std::vector<std::uint32_t> offered;
  for (const std::uint32_t index : sim_.proxies.in_tier(0)) {
    const ProxyState& proxy = sim_.proxies[index];
    const bool listed =
        proxy.alive ? !proxy.draining : sim_.now < proxy.died_at + sim_.scenario.proxy_notice;
    if (listed) {
      offered.push_back(index);
    }
  }
  if (offered.empty()) {
    return false;
  }
  current = offered[random_.below(offered.size())];
  return sim_.proxies[current].accepts_requests();
}

void ClientPopulation::on_timeout(OperationId id, std::uint32_t attempt) {
  const ClientOperation* operation = operations_.find(id);
  if (operation && operation->unread && operation->attempts == attempt) {
    end_attempt(id, {ClientOutcome::kConnectionLost});
  }
}

bool ClientPopulation::waits_unread(OperationId id) {
  const ClientOperation* operation = operations_.find(id);
  return operation && operation->unread;
}

void ClientPopulation::mark_read(OperationId id) {
  operations_.find(id)->unread = false;
}

void ClientPopulation::end_attempt(OperationId id, const ClientAttemptResult& result) {
  ClientOperation* operation = operations_.find(id);
  if (!operation) {
    return;
  }
  operation->unread = false;
  if (result.outcome == ClientOutcome::kSucceeded) {
    return finish(id, true, result.useful_work_s);
  }
  const bool rejected = result.outcome == ClientOutcome::kRejected;
  const bool unreachable = result.outcome == ClientOutcome::kUnreachable;
  const bool unanswered = unreachable || result.outcome == ClientOutcome::kConnectionLost;
  operation->rejected = rejected;
  if (Second* second = sim_.metrics.second_of(sim_.now)) {
    (rejected ? second->refused : second->failed) += 1;
  }
  std::optional<Duration> wait = wait_before_retry(
      sim_.scenario,
      {operation->class_id, operation->attempts, rejected, unreachable, result.retry_after},
      random_);
  if (wait && unanswered) {
    // The client detects a refused or reset connection after one network delay.
    wait = std::max(*wait, sim_.scenario.network);
  }
  if (!wait || sim_.now + *wait >= operation->deadline) {
    return finish(id, false, 0);
  }
  sim_.events.schedule(sim_.now + *wait, ClientRetryDue{id});
}

void ClientPopulation::finish(OperationId id, bool succeeded, double useful_work_s) {
  const ClientOperation operation = *operations_.find(id);
  operations_.remove(id);
  if (succeeded) {
    sim_.metrics.work_useful += useful_work_s;
  }
  sim_.metrics.ended(operation.arrived_at, sim_.now - operation.arrived_at, operation.class_id,
                     operation.tenant, operation.weight, succeeded, operation.rejected);
}

}  // namespace beechhill::emulator
