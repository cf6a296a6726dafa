#include "emulator/world.h"

#include <algorithm>
#include <variant>

#include "emulator/simulation.h"

namespace beechhill::emulator {

World::World(Scenario scenario, PolicyFactory make_policy)
    : simulation_(std::make_unique<Simulation>(std::move(scenario), std::move(make_policy))) {
}

World::~World() = default;

const Scenario& World::scenario() const {
  return simulation_->scenario;
}

const Metrics& World::metrics() const {
  return simulation_->metrics;
}

const RuleChecker& World::rules() const {
  return simulation_->rules;
}

std::size_t World::requests_in_flight() const {
  return simulation_->requests.in_flight();
}

void World::run(const ProgressCallback& progress) {
  Simulation& sim = *simulation_;
  sim.clients.schedule_next_arrival();
  while (!sim.events.empty() && sim.events.top().at <= sim.end) {
    const ScheduledEvent next = sim.events.top();
    sim.events.pop();
    sim.now = next.at;
    ++sim.metrics.events;
    sim.dispatch(next.event);
    if (progress && std::holds_alternative<SecondEnds>(next.event)) {
      progress(std::min(1.0, to_s(sim.now) / to_s(sim.end)));
    }
  }
  sim.now = sim.end;
  sim.metrics.close();
  sim.backends.summarize();
}

}  // namespace beechhill::emulator
