#include "emulator/simulation.h"

#include <variant>

namespace beechhill::emulator {
namespace {

struct EventDispatcher {
  Simulation& sim;

  void operator()(const ArrivalDue&) const { sim.clients.on_arrival(); }
  void operator()(const ClientRetryDue& e) const { sim.clients.on_retry_due(e.operation); }
  void operator()(const ClientTimeout& e) const { sim.clients.on_timeout(e.operation, e.attempt); }
  void operator()(const DownstreamCallDue& e) const { sim.backends.on_downstream_call_due(e.job); }
  void operator()(const JobArrived& e) const { sim.backends.on_job_arrived(e.job); }
  void operator()(const JobPhaseDone& e) const { sim.backends.on_phase_done(e.job); }
  void operator()(const AttemptResponse& e) const { sim.requests.on_response(e.job); }
  void operator()(const AttemptCancelled& e) const {
    sim.requests.complete_attempt({e.request, e.attempt}, {Result::kCancelled, {}, 0});
  }
  void operator()(const RequestDeadline& e) const { sim.requests.on_deadline(e.request); }
  void operator()(const AnswerOverdue& e) const { sim.requests.on_answer_overdue(e.request); }
  void operator()(const ProxyTimer& e) const {
    if (sim.proxies.is_current(e.proxy)) {
      sim.requests.notify(e.proxy.proxy, Timer{e.token});
    }
  }
  void operator()(const EndpointUpdateDelivered& e) const {
    if (sim.proxies.is_current(e.proxy)) {
      sim.discovery.deliver(e.proxy.proxy, e.update);
    }
  }
  void operator()(const HealthCheckDone& e) const {
    if (sim.proxies.is_current(e.proxy)) {
      sim.requests.on_health_check_done(e);
    }
  }
  void operator()(const ProxyResynced& e) const {
    if (sim.proxies.is_current(e.proxy) && sim.proxies[e.proxy.proxy].paused) {
      sim.proxies.finish_resume(e.proxy.proxy, e.list_received);
    }
  }
  void operator()(const FaultBegins& e) const { sim.faults.begin(e.fault); }
  void operator()(const FaultEnds& e) const { sim.faults.end(e.fault); }
  void operator()(const ReplacementDue& e) const { sim.faults.replace(e.fault, e.endpoint); }
  void operator()(const DrainedBackendStops& e) const { sim.backends.remove(e.tier, e.endpoint); }
  void operator()(const SecondEnds& e) const { sim.backends.record_second(e.second); }
};

}  // namespace

Simulation::Simulation(Scenario scenario_to_run, PolicyFactory make_policy)
    : scenario(std::move(scenario_to_run)),
      metrics(scenario),
      rules(scenario),
      network(*this),
      clients(*this),
      proxies(*this, std::move(make_policy)),
      requests(*this),
      backends(*this),
      discovery(*this),
      faults(*this) {
  build_fleets();
  clients.assign_connections();
  faults.schedule();
  end = scenario.length + longest_deadline(scenario) + scenario.answer_grace +
        std::chrono::seconds(1);
  schedule_seconds();
}

void Simulation::build_fleets() {
  for (std::uint32_t i = 0; i < scenario.proxies; ++i) {
    proxies.add(0, i % scenario.tiers[0].zones);
  }
  for (std::uint32_t tier = 0; tier < scenario.tiers.size(); ++tier) {
    for (std::uint32_t i = 0; i < scenario.tiers[tier].nodes; ++i) {
      backends.add(tier, std::nullopt);
    }
  }
  for (std::uint32_t proxy = 0; proxy < proxies.size(); ++proxy) {
    proxies.start(proxy);
  }
}

void Simulation::schedule_seconds() {
  metrics.seconds.resize(static_cast<std::size_t>(to_s(end)) + 1);
  for (std::size_t i = 0; i < metrics.seconds.size(); ++i) {
    events.schedule(std::chrono::seconds(i + 1), SecondEnds{i});
  }
}

void Simulation::dispatch(const SimulationEvent& event) {
  if (!proxies.defer_if_paused(event)) {
    std::visit(EventDispatcher{*this}, event);
  }
}

}  // namespace beechhill::emulator
