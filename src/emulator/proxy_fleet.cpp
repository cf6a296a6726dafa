#include "emulator/proxy_fleet.h"

#include <algorithm>
#include <string>
#include <utility>

#include "emulator/simulation.h"

namespace beechhill::emulator {
namespace {

// Time until a proxy has received the full endpoint list, after a restart or a long pause.
constexpr Duration kListFetchTime{100'000};
// Time without messages from discovery after which a proxy requests the full endpoint list again.
// The real proxy uses the same value.
constexpr Duration kWatchSilence{2'500'000};

}  // namespace

void ProxyState::record(const Endpoint& endpoint, Time now) {
  if (endpoints.size() <= endpoint.id) {
    endpoints.resize(endpoint.id + 1);
  }
  KnownEndpoint& known = endpoints[endpoint.id];
  const bool was_up = known.known && known.endpoint.status == EndpointStatus::kUp;
  known.endpoint = endpoint;
  if (endpoint.status == EndpointStatus::kUp) {
    known.not_up_since.reset();
  } else if (was_up || !known.not_up_since) {
    known.not_up_since = now;
  }
  known.known = true;
}

ProxyFleet::ProxyFleet(Simulation& sim, PolicyFactory make_policy)
    : sim_(sim), make_policy_(std::move(make_policy)), by_tier_(sim.scenario.tiers.size()) {
}

std::uint32_t ProxyFleet::add(std::uint32_t tier, std::uint32_t zone) {
  const auto index = static_cast<std::uint32_t>(proxies_.size());
  ProxyState& proxy = proxies_.emplace_back();
  proxy.tier = tier;
  proxy.zone = zone;
  proxy.index = index;
  proxy.random = Stream(sim_.scenario.seed, Actor::kProxy, index);
  by_tier_[tier].push_back(index);
  return index;
}

bool ProxyFleet::is_current(const ProxyIncarnation& run) const {
  return proxies_[run.proxy].alive && proxies_[run.proxy].incarnation == run.incarnation;
}

void ProxyFleet::start(std::uint32_t index) {
  const Scenario& scenario = sim_.scenario;
  ProxyState& proxy = proxies_[index];
  const bool restarted = proxy.incarnation > 0;
  proxy.alive = true;
  proxy.draining = false;
  ++proxy.incarnation;
  if (scenario.subset.min_endpoints > 0 && proxy.tier == 0) {
    routing::SubsetSettings subset = scenario.subset;
    if (scenario.subset_count_known) {
      subset.proxies = scenario.proxies;
      subset.proxy_index = proxy.index;
    }
    proxy.subset.emplace(subset,
                         routing::subset_unit_for(settings_for(scenario, 0, 0, 1, 0).classes),
                         "proxy-" + std::to_string(index));
  }
  // A lower tier is called by one proxy for each backend of the tier above.
  const auto replicas = static_cast<std::uint32_t>(
      proxy.tier == 0 ? scenario.proxies : scenario.tiers[proxy.tier - 1].nodes);
  const Settings settings =
      settings_for(scenario, proxy.tier, proxy.zone, replicas, proxy.random.bits());
  std::vector<Action> actions;
  proxy.policy = make_policy_(sim_.now, settings, sim_.backends, actions);
  sim_.requests.perform(index, actions);
  if (restarted) {
    restore_after_restart(index);
  } else {
    sim_.discovery.deliver(index, std::nullopt);
  }
}

// Restores the endpoint list and snapshot that the proxy stored, and schedules the delivery of the
// current list.
void ProxyFleet::restore_after_restart(std::uint32_t index) {
  ProxyState& proxy = proxies_[index];
  EndpointUpdate cached{UpdateKind::kCached, {}};
  for (const KnownEndpoint& known : proxy.endpoints) {
    if (known.known) {
      cached.endpoints.push_back(known.endpoint);
    }
  }
  notify_policy(index, cached);
  for (const RestoredStats& stats : proxy.storage.load(sim_.now, proxy.endpoints)) {
    sim_.requests.notify(index, stats);
  }
  sim_.events.schedule(sim_.now + kListFetchTime,
                       EndpointUpdateDelivered{proxy.current(), std::nullopt});
  if (proxy.tier == 0 && sim_.scenario.clients.rebalances_on_return) {
    sim_.clients.rebalance_to(index);
  }
}

void ProxyFleet::kill(std::uint32_t index) {
  ProxyState& proxy = proxies_[index];
  if (!proxy.alive) {
    return;
  }
  proxy.alive = false;
  // Invalidates the proxy's timers and the updates that are in transit to it.
  ++proxy.incarnation;
  proxy.died_at = sim_.now;
  proxy.paused = false;
  proxy.deferred_events.clear();
  lose_unread_requests(proxy);
  proxy.connections.clear();
  const std::vector<RequestId> lost = proxy.requests;
  for (const RequestId id : lost) {
    sim_.requests.lose(id);
  }
  save_snapshot(proxy);
  proxy.policy.reset();
}

void ProxyFleet::lose_unread_requests(ProxyState& proxy) {
  const std::vector<ProxyRequest> unread = std::exchange(proxy.unread_requests, {});
  for (const ProxyRequest& request : unread) {
    if (sim_.clients.waits_unread(request.operation) && sim_.now < request.deadline) {
      sim_.clients.end_attempt(request.operation, {ClientOutcome::kUnreachable});
    }
  }
}

void ProxyFleet::pause(std::uint32_t index) {
  ProxyState& proxy = proxies_[index];
  if (!proxy.alive || proxy.paused) {
    return;
  }
  proxy.paused = true;
  proxy.recovery.emplace(sim_.now, sim_.scenario.drain_grace, kWatchSilence, true);
}

void ProxyFleet::resume(std::uint32_t index) {
  ProxyState& proxy = proxies_[index];
  if (!proxy.alive || !proxy.paused || !proxy.recovery) {
    return;
  }
  recovery::RecoveryTracker& recovery = *proxy.recovery;
  const bool after_gap = recovery.observe_clock(sim_.now);
  if (!after_gap || !recovery.needs_snapshot()) {
    return finish_resume(index, false);
  }
  const Time deadline = recovery.resync_deadline();
  const bool discovery_answers = proxy.discovery_faults == 0;
  const Time resynced_at =
      discovery_answers ? sim_.now + std::min(kListFetchTime, deadline - sim_.now) : deadline;
  sim_.events.schedule(resynced_at, ProxyResynced{proxy.current(), discovery_answers});
}

// As in the real proxy, updates from discovery are handled before all other deferred events.
void ProxyFleet::finish_resume(std::uint32_t index, bool list_received) {
  ProxyState& proxy = proxies_[index];
  proxy.paused = false;
  const std::deque<SimulationEvent> deferred = std::exchange(proxy.deferred_events, {});
  const std::vector<ProxyRequest> unread = std::exchange(proxy.unread_requests, {});
  const std::uint64_t incarnation = proxy.incarnation;
  for (const SimulationEvent& event : deferred) {
    if (std::holds_alternative<EndpointUpdateDelivered>(event)) {
      sim_.dispatch(event);
    }
  }
  if (list_received) {
    sim_.discovery.deliver(index, std::nullopt);
  }
  for (const SimulationEvent& event : deferred) {
    if (!std::holds_alternative<EndpointUpdateDelivered>(event) &&
        proxy.incarnation == incarnation) {
      sim_.dispatch(event);
    }
  }
  for (const ProxyRequest& request : unread) {
    // Skips requests whose clients have disconnected.
    if (sim_.clients.waits_unread(request.operation) && sim_.now < request.deadline) {
      sim_.clients.mark_read(request.operation);
      sim_.requests.open(request);
    }
  }
}

bool ProxyFleet::defer_if_paused(const SimulationEvent& event) {
  if (const auto* response = std::get_if<AttemptResponse>(&event)) {
    const BackendJob* job = sim_.backends.find_job(response->job);
    return job && proxies_[job->proxy].alive && defer(event, job->proxy);
  }
  if (const auto* cancelled = std::get_if<AttemptCancelled>(&event)) {
    const ProxyRequest* request = sim_.requests.find(cancelled->request);
    return request && defer(event, request->proxy);
  }
  if (const auto* deadline = std::get_if<RequestDeadline>(&event)) {
    return defer_deadline(event, deadline->request);
  }
  if (const auto* overdue = std::get_if<AnswerOverdue>(&event)) {
    return defer_overdue(event, overdue->request);
  }
  if (const auto* timer = std::get_if<ProxyTimer>(&event)) {
    return defer_for_run(event, timer->proxy);
  }
  if (const auto* update = std::get_if<EndpointUpdateDelivered>(&event)) {
    return defer_for_run(event, update->proxy);
  }
  if (const auto* check = std::get_if<HealthCheckDone>(&event)) {
    return defer_for_run(event, check->proxy);
  }
  return false;
}

bool ProxyFleet::defer(const SimulationEvent& event, std::uint32_t proxy) {
  if (!proxies_[proxy].paused) {
    return false;
  }
  proxies_[proxy].deferred_events.push_back(event);
  return true;
}

bool ProxyFleet::defer_for_run(const SimulationEvent& event, const ProxyIncarnation& run) {
  return is_current(run) && defer(event, run.proxy);
}

// Defers the deadline of a paused proxy's request. Schedules AnswerOverdue, because the client does
// not wait until the proxy resumes.
bool ProxyFleet::defer_deadline(const SimulationEvent& event, RequestId id) {
  const ProxyRequest* request = sim_.requests.find(id);
  if (!request || !defer(event, request->proxy)) {
    return false;
  }
  sim_.requests.schedule_overdue(id);
  return true;
}

bool ProxyFleet::defer_overdue(const SimulationEvent& event, RequestId id) {
  ProxyRequest* request = sim_.requests.find(id);
  if (!request || !proxies_[request->proxy].paused) {
    return false;
  }
  if (!request->answered) {
    // A paused process cannot answer, so the missing answer is not a violation.
    sim_.rules.excused(sim_.now, id);
    request->answered = true;
    request->client_gone = true;
    sim_.requests.deliver_answer(*request, {ClientOutcome::kFailed});
  }
  return defer(event, request->proxy);
}

void ProxyFleet::apply_delta(std::uint32_t index, const EndpointUpdate& update) {
  for (const Endpoint& endpoint : update.endpoints) {
    proxies_[index].record(endpoint, sim_.now);
  }
  notify_policy(index, update);
}

void ProxyFleet::apply_snapshot(std::uint32_t index, const std::vector<Endpoint>& endpoints) {
  ProxyState& proxy = proxies_[index];
  std::vector<bool> listed(proxy.endpoints.size());
  for (const Endpoint& endpoint : endpoints) {
    if (endpoint.id < listed.size()) {
      listed[endpoint.id] = true;
    }
  }
  for (std::size_t id = 0; id < listed.size(); ++id) {
    KnownEndpoint& known = proxy.endpoints[id];
    if (!listed[id] && known.known && known.endpoint.status == EndpointStatus::kUp) {
      known.endpoint.status = EndpointStatus::kRemoved;
      known.not_up_since = sim_.now;
    }
  }
  for (const Endpoint& endpoint : endpoints) {
    proxy.record(endpoint, sim_.now);
  }
  notify_policy(index, EndpointUpdate{UpdateKind::kSnapshot, endpoints});
}

// Passes on only updates within the proxy's subset. ProxyState::endpoints, which RuleChecker uses,
// holds all endpoints that discovery has sent.
void ProxyFleet::notify_policy(std::uint32_t index, const EndpointUpdate& update) {
  ProxyState& proxy = proxies_[index];
  if (!proxy.subset) {
    return sim_.requests.notify(index, update);
  }
  std::vector<std::uint64_t> hashes;
  hashes.reserve(update.endpoints.size());
  for (const Endpoint& endpoint : update.endpoints) {
    hashes.push_back(endpoint.id + 1);
  }
  sim_.requests.notify(index, proxy.subset->apply(update, hashes));
}

void ProxyFleet::save_snapshot(ProxyState& proxy) {
  if (sim_.scenario.snapshot_every && proxy.policy) {
    proxy.storage.save(sim_.now, *sim_.scenario.snapshot_every, *proxy.policy, proxy.endpoints);
  }
}

void ProxyFleet::begin_state_fault(const FaultSpec& fault, std::uint32_t index) {
  save_snapshot(proxies_[index]);
  proxies_[index].storage.begin_fault(fault);
}

void ProxyFleet::end_state_fault(const FaultSpec& fault, std::uint32_t index) {
  proxies_[index].storage.end_fault(fault);
}

}  // namespace beechhill::emulator
