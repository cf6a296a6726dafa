#include "emulator/backend_fleet.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

#include "emulator/simulation.h"

namespace beechhill::emulator {
namespace {

// Result of wait_s() for a backend that cannot serve requests, in seconds.
constexpr double kUnavailableWaitS = 1e9;
// Maximum share of jobs that fail because of a fault at which wait_s() treats a backend as able to
// serve requests.
constexpr double kUnavailableErrorRate = 0.1;
// Time that a backend takes to send an error response.
constexpr Duration kErrorTime{500};
// Offset between the stream indices of BackendState::random and of the backend's Node, which must
// not share a random stream.
constexpr std::uint64_t kHostStreamOffset = 1ULL << 32;
constexpr unsigned kTierShift = 24;

}  // namespace

BackendState::BackendState(const TierSpec& spec, std::uint64_t seed, std::uint64_t index,
                           std::optional<Time> started_at, Time now)
    : model(spec, seed, index, started_at, now),
      random(seed, Actor::kNode, index + kHostStreamOffset) {
}

BackendFleet::BackendFleet(Simulation& sim)
    : sim_(sim), backends_(sim.scenario.tiers.size()), mean_work_s_(mean_work_s(sim.scenario)) {
}

EndpointId BackendFleet::add(std::uint32_t tier, std::optional<Time> started_at) {
  const auto id = static_cast<EndpointId>(backends_[tier].size());
  const TierSpec& spec = sim_.scenario.tiers[tier];
  const std::uint64_t stream_index = (static_cast<std::uint64_t>(tier) << kTierShift) + id;
  backends_[tier].emplace_back(spec, sim_.scenario.seed, stream_index, started_at, sim_.now);
  BackendState& backend = backends_[tier].back();
  backend.endpoint.id = id;
  backend.endpoint.cell = id / spec.cell_size;
  // All backends of a cell are in the same zone.
  backend.endpoint.zone = backend.endpoint.cell % spec.zones;
  backend.endpoint.started_at = started_at;
  backend.warming_up = started_at.has_value();
  if (tier + 1 < sim_.scenario.tiers.size()) {
    backend.downstream_proxy = sim_.proxies.add(tier + 1, backend.endpoint.zone);
  }
  return id;
}

std::vector<Endpoint> BackendFleet::listed_endpoints(std::uint32_t tier) const {
  std::vector<Endpoint> endpoints;
  for (const BackendState& backend : backends_[tier]) {
    if (backend.endpoint.status != EndpointStatus::kRemoved) {
      endpoints.push_back(backend.endpoint);
    }
  }
  return endpoints;
}

double BackendFleet::wait_s(Time now, std::uint32_t tier, EndpointId endpoint) const {
  const BackendState& backend = backends_[tier][endpoint];
  if (backend.mode != BackendMode::kUp || backend.error_rate > kUnavailableErrorRate) {
    return kUnavailableWaitS;
  }
  const TierSpec& spec = sim_.scenario.tiers[tier];
  if (backend.model.job_count() >= static_cast<std::size_t>(spec.slots) + spec.room) {
    return kUnavailableWaitS;
  }
  const double inbound_work_s = backend.inbound_work_s + mean_work_s_ * spec.work;
  return backend.model.backlog_s(now) + inbound_work_s / backend.model.capacity(now);
}

bool BackendFleet::has_headroom(Time now, std::uint32_t tier, EndpointId endpoint) const {
  const Node& model = backends_[tier][endpoint].model;
  return !model.cold(now) || model.job_count() < sim_.scenario.tiers[tier].cores;
}

void BackendFleet::stop(std::uint32_t tier, EndpointId endpoint, bool silent) {
  BackendState& backend = at(tier, endpoint);
  backend.mode = silent ? BackendMode::kSilent : BackendMode::kDown;
  lose_jobs(tier, endpoint, !silent);
  backend.model.restart(sim_.now, sim_.now);
  sim_.rules.forget_cold_work(tier, endpoint);
  if (!silent) {
    for (const std::uint32_t proxy : sim_.proxies.in_tier(tier)) {
      sim_.proxies[proxy].connections[endpoint].idle = 0;
    }
  }
  if (tier + 1 < sim_.scenario.tiers.size()) {
    sim_.proxies.kill(backend.downstream_proxy);
  }
}

void BackendFleet::restart(std::uint32_t tier, EndpointId endpoint) {
  BackendState& backend = at(tier, endpoint);
  if (backend.endpoint.status == EndpointStatus::kRemoved) {
    return;
  }
  backend.mode = BackendMode::kUp;
  backend.model.restart(sim_.now, sim_.now);
  backend.warming_up = true;
  backend.endpoint.started_at = sim_.now;
  backend.endpoint.status = EndpointStatus::kUp;
  for (const std::uint32_t proxy : sim_.proxies.in_tier(tier)) {
    sim_.proxies[proxy].connections[endpoint].idle = 0;
  }
  if (tier + 1 < sim_.scenario.tiers.size()) {
    sim_.proxies.start(backend.downstream_proxy);
  }
  sim_.discovery.publish(tier, backend.endpoint);
}

void BackendFleet::remove(std::uint32_t tier, EndpointId endpoint) {
  stop(tier, endpoint, false);
  BackendState& backend = at(tier, endpoint);
  backend.endpoint.status = EndpointStatus::kRemoved;
  sim_.discovery.publish(tier, backend.endpoint);
}

BackendJob BackendFleet::make_job(const ProxyState& proxy, const ProxyRequest& request,
                                  const AttemptId& id) {
  const TierSpec& spec = sim_.scenario.tiers[proxy.tier];
  BackendJob job;
  job.tier = proxy.tier;
  job.proxy = proxy.index;
  job.endpoint = request.attempts[id.attempt].endpoint;
  job.request = id.request;
  job.attempt = id.attempt;
  job.class_id = request.class_id;
  job.tenant = request.tenant;
  job.deadline = request.deadline;
  job.work_s = request.work_s;
  if (proxy.tier + 1 < sim_.scenario.tiers.size()) {
    const auto min_calls = static_cast<std::uint32_t>(spec.calls.from);
    const auto max_calls = static_cast<std::uint32_t>(spec.calls.to);
    const std::uint64_t more = backend_of(job).random.below(max_calls - min_calls + 1);
    job.downstream_calls_left = min_calls + static_cast<std::uint32_t>(more);
  }
  const double work_here = request.work_s * spec.work;
  job.first_phase_s = job.downstream_calls_left > 0 ? work_here / 2 : work_here;
  job.second_phase_s = job.downstream_calls_left > 0 ? work_here / 2 : 0;
  return job;
}

void BackendFleet::cancel(JobId id) {
  BackendJob* job = jobs_.find(id);
  if (!job) {
    return;
  }
  job->cancelled = true;
  std::vector<StartedPhase> starts;
  if (job->at_backend && sim_.scenario.tiers[job->tier].drops_cancelled_jobs &&
      backend_of(*job).model.remove_queued(sim_.now, id, starts)) {
    detach_from_backend(id);
    jobs_.remove(id);
    schedule_phases(starts);
  }
}

void BackendFleet::schedule_phases(const std::vector<StartedPhase>& starts) {
  for (const StartedPhase& start : starts) {
    sim_.events.schedule(start.until, JobPhaseDone{start.job});
  }
}

void BackendFleet::on_job_arrived(JobId id) {
  BackendJob* found = jobs_.find(id);
  if (!found) {
    return;
  }
  BackendJob& job = *found;
  BackendState& backend = backend_of(job);
  const ProxyState& proxy = sim_.proxies[job.proxy];
  backend.inbound_work_s = std::max(0.0, backend.inbound_work_s - job.first_phase_s);
  if (backend.mode == BackendMode::kDown) {
    return respond(id, Result::kConnectFailed);
  }
  if (backend.mode == BackendMode::kSilent ||
      sim_.network.blocked(proxy, job.tier, job.endpoint, Direction::kThere)) {
    return jobs_.remove(id);
  }
  if (backend.warming_up && overloads_cold_backend(job)) {
    ++sim_.metrics.tipped;
    stop(job.tier, job.endpoint, false);
    return respond(id, Result::kReset);
  }
  if (backend.error_rate > 0 && backend.random.uniform() < backend.error_rate) {
    job.report = backend.model.report(sim_.now, backend.report_delay);
    return respond(id, Result::kError);
  }
  std::vector<StartedPhase> starts;
  if (!backend.model.accept(sim_.now, id, job.first_phase_s, starts)) {
    job.report = backend.model.report(sim_.now, backend.report_delay);
    return respond(id, Result::kOverloaded);
  }
  job.at_backend = true;
  job.index_in_backend = backend.jobs.size();
  backend.jobs.push_back(id);
  schedule_phases(starts);
}

// Returns whether this job overloads its backend while the backend is cold. Clears `warming_up`
// once the backend is warm.
bool BackendFleet::overloads_cold_backend(const BackendJob& job) {
  BackendState& backend = backend_of(job);
  if (!backend.model.cold(sim_.now)) {
    backend.warming_up = false;
    sim_.rules.forget_cold_work(job.tier, job.endpoint);
    return false;
  }
  const KnownEndpoint& known = sim_.proxies[job.proxy].endpoints[job.endpoint];
  const bool proxy_knows_start =
      known.known && known.endpoint.started_at == backend.endpoint.started_at;
  return sim_.rules.on_cold_work(
      sim_.now, job.tier, job.endpoint, job.first_phase_s + job.second_phase_s,
      backend.model.capacity(sim_.now), mean_work_s_ * sim_.scenario.tiers[job.tier].work,
      proxy_knows_start);
}

void BackendFleet::on_phase_done(JobId id) {
  BackendJob* found = jobs_.find(id);
  if (!found) {
    // The job was lost when its backend stopped.
    return;
  }
  BackendJob& job = *found;
  BackendState& backend = backend_of(job);
  const double done = job.in_second_phase ? job.second_phase_s : job.first_phase_s;
  job.useful_work_s += done - (job.in_second_phase ? 0 : job.handshake_s);
  sim_.metrics.work_done += done;
  if (!job.in_second_phase && job.downstream_calls_left > 0) {
    std::vector<StartedPhase> starts;
    backend.model.phase_done(sim_.now, false, starts);
    schedule_phases(starts);
    sim_.events.schedule(sim_.now, DownstreamCallDue{id});
    return;
  }
  const double error_rate = sim_.scenario.tiers[job.tier].errors;
  const bool fails = error_rate > 0 && backend.random.uniform() < error_rate;
  finish_job(id, fails ? Result::kError : Result::kOk, true);
}

void BackendFleet::on_downstream_call_due(JobId id) {
  BackendJob* job = jobs_.find(id);
  if (!job) {
    return;
  }
  const bool dropped = job->cancelled && sim_.scenario.tiers[job->tier].drops_cancelled_jobs;
  if (sim_.now >= job->deadline || dropped) {
    return finish_job(id, Result::kError, false);
  }
  --job->downstream_calls_left;
  const std::uint32_t proxy = backend_of(*job).downstream_proxy;
  if (!sim_.proxies[proxy].alive) {
    return finish_job(id, Result::kError, false);
  }
  ProxyRequest request;
  request.proxy = proxy;
  request.parent_job = id;
  request.class_id = job->class_id;
  request.tenant = job->tenant;
  request.deadline = job->deadline;
  request.work_s = job->work_s;
  sim_.requests.open(std::move(request));
}

void BackendFleet::on_downstream_answer(JobId id, bool succeeded, double useful_work_s) {
  BackendJob* job = jobs_.find(id);
  if (!job) {
    return;
  }
  if (!succeeded) {
    return finish_job(id, Result::kError, false);
  }
  job->useful_work_s += useful_work_s;
  if (job->downstream_calls_left > 0) {
    sim_.events.schedule(sim_.now, DownstreamCallDue{id});
    return;
  }
  job->in_second_phase = true;
  std::vector<StartedPhase> starts;
  backend_of(*job).model.resume(sim_.now, id, job->second_phase_s, starts);
  schedule_phases(starts);
}

void BackendFleet::finish_job(JobId id, Result result, bool holds_core) {
  BackendJob& job = *jobs_.find(id);
  BackendState& backend = backend_of(job);
  std::vector<StartedPhase> starts;
  if (holds_core) {
    backend.model.phase_done(sim_.now, true, starts);
  } else {
    backend.model.leave(sim_.now, starts);
  }
  detach_from_backend(id);
  schedule_phases(starts);
  job.report = backend.model.report(sim_.now, backend.report_delay);
  respond(id, result);
}

void BackendFleet::detach_from_backend(JobId id) {
  BackendJob& job = *jobs_.find(id);
  std::vector<JobId>& jobs = backend_of(job).jobs;
  jobs[job.index_in_backend] = jobs.back();
  jobs_.find(jobs[job.index_in_backend])->index_in_backend = job.index_in_backend;
  jobs.pop_back();
  job.at_backend = false;
}

// Schedules the delivery of a response to the proxy. Removes the job without a response if the
// backend is silent or a partition blocks the response.
void BackendFleet::respond(JobId id, Result result) {
  BackendJob& job = *jobs_.find(id);
  ProxyState& proxy = sim_.proxies[job.proxy];
  const BackendState& backend = backend_of(job);
  if (backend.mode == BackendMode::kSilent ||
      sim_.network.blocked(proxy, job.tier, job.endpoint, Direction::kBack)) {
    return jobs_.remove(id);
  }
  job.result = result;
  const Duration processing = result == Result::kError ? kErrorTime : Duration{0};
  const Duration transit = sim_.network.one_way_delay(proxy, backend.endpoint.zone) +
                           sim_.network.added_delay(proxy, job.tier, job.endpoint);
  sim_.events.schedule(sim_.now + processing + transit, AttemptResponse{id});
}

void BackendFleet::lose_jobs(std::uint32_t tier, EndpointId endpoint, bool reset) {
  BackendState& backend = at(tier, endpoint);
  const std::vector<JobId> lost = std::exchange(backend.jobs, {});
  for (const JobId id : lost) {
    BackendJob& job = *jobs_.find(id);
    job.at_backend = false;
    if (!reset) {
      jobs_.remove(id);
      continue;
    }
    // The response gets a new id, so that events scheduled for the old one are ignored.
    BackendJob response = job;
    response.result = Result::kReset;
    response.report = {};
    jobs_.remove(id);
    ProxyState& proxy = sim_.proxies[response.proxy];
    const Duration transit = sim_.network.one_way_delay(proxy, backend.endpoint.zone);
    const JobId response_id = jobs_.add(response);
    sim_.events.schedule(sim_.now + transit, AttemptResponse{response_id});
  }
}

void BackendFleet::record_second(std::size_t index) {
  Second& second = sim_.metrics.seconds[index];
  record_peak_rates();
  double busy = 0;
  double max_load = 0;
  double load_sum = 0;
  double backends_up = 0;
  for (std::size_t tier = 0; tier < backends_.size(); ++tier) {
    for (BackendState& backend : backends_[tier]) {
      backend.model.update_totals(sim_.now);
      busy += backend.model.busy_core_s();
      second.waiting += backend.model.waiting();
      if (tier > 0 || backend.mode != BackendMode::kUp ||
          backend.endpoint.status != EndpointStatus::kUp) {
        continue;
      }
      const double load =
          static_cast<double>(backend.model.job_count()) / backend.model.capacity(sim_.now);
      max_load = std::max(max_load, load);
      load_sum += load;
      backends_up += 1;
    }
  }
  second.load_max_over_mean = load_sum > 0 ? max_load * backends_up / load_sum : 1;
  // Stored in core-seconds here; summarize() converts it to a share of the cores.
  second.busy = busy - busy_until_last_second_;
  busy_until_last_second_ = busy;
}

void BackendFleet::record_peak_rates() {
  for (BackendState& backend : backends_[0]) {
    const std::uint64_t connections = std::exchange(backend.connections_this_second, 0);
    const std::uint64_t attempts = std::exchange(backend.attempts_this_second, 0);
    if (sim_.now > sim_.scenario.warm_up) {
      sim_.metrics.max_connections = std::max(sim_.metrics.max_connections, connections);
      sim_.metrics.max_arrivals = std::max(sim_.metrics.max_arrivals, attempts);
    }
  }
}

void BackendFleet::summarize() {
  double cores = 0;
  for (std::uint32_t tier = 0; tier < backends_.size(); ++tier) {
    sim_.metrics.tiers.push_back(summary_of(tier));
    const TierSpec& spec = sim_.scenario.tiers[tier];
    cores += static_cast<double>(spec.nodes) * spec.cores;
  }
  for (Second& second : sim_.metrics.seconds) {
    second.busy /= cores;
  }
  sim_.metrics.seconds.resize(static_cast<std::size_t>(std::ceil(to_s(sim_.scenario.length))));
}

Json::Value BackendFleet::summary_of(std::uint32_t tier) {
  const double length_s = to_s(sim_.scenario.length);
  double busy = 0;
  double waited = 0;
  double present = 0;
  double max_busy = 0;
  std::uint64_t started = 0;
  std::uint64_t max_waiting = 0;
  for (BackendState& backend : backends_[tier]) {
    backend.model.update_totals(sim_.now);
    busy += backend.model.busy_core_s();
    waited += backend.model.total_wait_s();
    present += backend.model.total_job_seconds();
    started += backend.model.started();
    max_waiting = std::max<std::uint64_t>(max_waiting, backend.model.max_waiting());
    max_busy = std::max(max_busy, backend.model.busy_core_s());
  }
  const auto backends = static_cast<double>(backends_[tier].size());
  const TierSpec& spec = sim_.scenario.tiers[tier];
  Json::Value summary;
  summary["name"] = spec.name;
  summary["nodes"] = static_cast<Json::UInt64>(backends_[tier].size());
  summary["jobs"] = static_cast<Json::UInt64>(started);
  summary["utilisation"] = busy / (backends * spec.cores * length_s);
  summary["mean_wait_s"] = started > 0 ? waited / static_cast<double>(started) : 0;
  summary["mean_present"] = present / length_s;
  summary["most_waiting"] = static_cast<Json::UInt64>(max_waiting);
  summary["busy_max_over_mean"] = busy > 0 ? max_busy * backends / busy : 1;
  return summary;
}

}  // namespace beechhill::emulator
