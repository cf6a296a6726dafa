#include "emulator/maintenance_simulation.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "emulator/units.h"
#include "maintenance/maintenance_planner.h"

namespace beechhill::emulator {

using maintenance::Command;
using maintenance::CommandType;
using maintenance::Machine;
using maintenance::MaintenanceCoordinator;
using maintenance::WorkflowState;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t kRandomStream = 1ULL << 36;
constexpr Duration kStep{10'000};
// Number of datagrams that the socket of a suspended process buffers.
constexpr std::size_t kSocketBufferDatagrams = 128;
constexpr Duration kLeaseDuration{2'000'000};
constexpr Duration kDrainGrace{500'000};
constexpr maintenance::Seconds kUnixStart = 1'800'000'000;
constexpr std::size_t kBackendsPerCell = 4;
constexpr Duration kDoneCommandInterval = 500ms;
constexpr std::uint64_t kServedRequestsPerSecond = 100;
// Number of lease durations by which SeededBug::kLongLease extends a dispatch permission.
constexpr int kLongLeaseFactor = 4;

}  // namespace

// ---- Set-up

MaintenanceSimulation::MaintenanceSimulation(const MaintenanceSimulationSpec& spec)
    : spec_(spec),
      random_(spec.seed, Actor::kFaults, kRandomStream),
      proxies_(spec.voters + spec.followers),
      backends_(spec.backends),
      invariants_(spec.budget) {
  for (std::size_t i = 0; i < backends_.size(); ++i) {
    const bool is_big = i % 3 == 0;
    Machine& machine = backends_[i].machine;
    machine.id = backend_name(i);
    machine.instance_type = is_big ? "big" : "small";
    machine.relative_capacity = is_big ? 2 : 1;
    machine.zone = fmt::format("zone-{}", i % spec_.zones);
    machine.cell = fmt::format("cell-{}", i / kBackendsPerCell);
  }
  std::vector<std::string> voters;
  voters.reserve(spec_.voters);
  for (std::size_t i = 0; i < spec_.voters; ++i) {
    voters.push_back(proxy_name(i));
  }
  for (std::size_t i = 0; i < proxies_.size(); ++i) {
    Proxy& proxy = proxies_[i];
    proxy.is_voter = i < spec_.voters;
    if (proxy.is_voter) {
      proxy.storage = std::make_unique<maintenance::MemoryRaftStorage>();
      for (maintenance::LogRecord& record : maintenance::initial_records(voters)) {
        proxy.storage->append(std::move(record));
      }
      proxy.storage->lazy = spec_.disk_delay > Duration{0};
    }
    start(i);
  }
}

MaintenanceSimulation::~MaintenanceSimulation() = default;

std::string MaintenanceSimulation::proxy_name(std::size_t proxy) {
  return fmt::format("proxy-{}", proxy);
}

std::string MaintenanceSimulation::backend_name(std::size_t backend) {
  return fmt::format("backend-{:05}", backend);
}

maintenance::CoordinatorSettings MaintenanceSimulation::settings_of(std::size_t proxy) const {
  maintenance::CoordinatorSettings settings;
  settings.self = proxy_name(proxy);
  settings.zone = fmt::format("zone-{}", proxy % spec_.zones);
  for (std::size_t voter = 0; voter < spec_.voters; ++voter) {
    settings.voters.push_back(proxy_name(voter));
  }
  settings.lease_duration = kLeaseDuration;
  settings.drain_grace = kDrainGrace;
  settings.max_request_duration = spec_.request_duration;
  settings.isolation_timeout = spec_.isolation_timeout;
  settings.disruption_budget = spec_.budget;
  return settings;
}

std::unique_ptr<maintenance::MemoryRaftStorage> MaintenanceSimulation::new_storage() const {
  auto storage = std::make_unique<maintenance::MemoryRaftStorage>();
  storage->lazy = spec_.disk_delay > Duration{0};
  return storage;
}

void MaintenanceSimulation::create_coordinator(std::size_t i) {
  Proxy& proxy = proxies_[i];
  const std::uint64_t boot_id = ++proxy.starts << 8 | i;
  const auto unix_time = [this, i] { return kUnixStart + now_ / 1s + proxies_[i].clock_shift; };
  proxy.coordinator = std::make_unique<MaintenanceCoordinator>(
      now_, settings_of(i), proxy.storage.get(), proxy.generation, boot_id, random_.bits(),
      unix_time);
}

// ---- Faults

void MaintenanceSimulation::start(std::size_t i) {
  Proxy& proxy = proxies_[i];
  proxy.suspended = false;
  proxy.socket_buffer.clear();
  proxy.excluded_since.clear();
  proxy.syncs.clear();
  if (proxy.storage) {
    proxy.storage->crash();
  }
  create_coordinator(i);
}

void MaintenanceSimulation::kill(std::size_t i) {
  Proxy& proxy = proxies_[i];
  proxy.coordinator.reset();
  // The process's connections are closed when it ends.
  proxy.in_flight.clear();
  proxy.suspended = false;
  if (proxy.storage) {
    proxy.storage->crash();
  }
}

void MaintenanceSimulation::suspend(std::size_t i) {
  proxies_[i].suspended = proxies_[i].coordinator != nullptr;
}

void MaintenanceSimulation::resume(std::size_t i) {
  Proxy& proxy = proxies_[i];
  if (!std::exchange(proxy.suspended, false)) {
    return;
  }
  proxy.coordinator->on_resume(now_);
  // Simulates the worst case: the proxy sends a request before it handles the buffered datagrams.
  send_request(i);
  for (const Datagram& datagram : std::exchange(proxy.socket_buffer, {})) {
    proxy.coordinator->receive(now_, proxy_name(datagram.from), datagram.channel, datagram.bytes);
  }
}

void MaintenanceSimulation::wipe_storage(std::size_t i) {
  proxies_[i].storage.reset();
}

void MaintenanceSimulation::fail_storage(std::size_t i) {
  if (proxies_[i].storage) {
    proxies_[i].storage->fail();
  }
}

void MaintenanceSimulation::copy_storage(std::size_t i) {
  Proxy& proxy = proxies_[i];
  proxy.copy_generation = proxy.generation;
  proxy.storage_copy.reset();
  if (proxy.storage) {
    proxy.storage_copy = std::make_unique<maintenance::MemoryRaftStorage>(*proxy.storage);
    proxy.storage_copy->crash();
  }
}

void MaintenanceSimulation::restore_storage(std::size_t i) {
  Proxy& proxy = proxies_[i];
  if (!proxy.storage_copy) {
    return;
  }
  proxy.storage = std::make_unique<maintenance::MemoryRaftStorage>(*proxy.storage_copy);
  proxy.generation = proxy.copy_generation;
}

void MaintenanceSimulation::set_backend_down(std::size_t i, bool down) {
  Backend& backend = backends_[i];
  if (backend.in_work || backend.down == down) {
    return;
  }
  backend.down = down;
  backend.machine.up = !down;
  if (!down) {
    backend.started_at = now_;
    backend.machine.started_at = now_.count();
    backend.machine.warm = false;
  }
}

// ---- State of the cluster

void MaintenanceSimulation::submit_command(std::size_t proxy, Command command) {
  if (running(proxy)) {
    proxies_[proxy].coordinator->submit_command(now_, std::move(command),
                                                [](const maintenance::OperatorResponse&) {});
  }
}

std::optional<std::size_t> MaintenanceSimulation::leader() const {
  std::optional<std::size_t> found;
  for (std::size_t i = 0; i < proxies_.size(); ++i) {
    if (!running(i) || !coordinator(i).is_leader()) {
      continue;
    }
    if (!found || coordinator(i).state_machine().applied_index() >
                      coordinator(*found).state_machine().applied_index()) {
      found = i;
    }
  }
  return found;
}

bool MaintenanceSimulation::has_all_voters() const {
  const auto leader_index = leader();
  if (!leader_index) {
    return false;
  }
  const std::vector<maintenance::Voter> voters = coordinator(*leader_index).voters();
  std::size_t voting = 0;
  for (std::size_t i = 0; i < spec_.voters; ++i) {
    if (!running(i) || !coordinator(i).is_voter()) {
      continue;
    }
    voting += static_cast<std::size_t>(
        std::count_if(voters.begin(), voters.end(), [&](const maintenance::Voter& voter) {
          return voter.name == proxy_name(i) && voter.generation == proxies_[i].generation;
        }));
  }
  return voting == spec_.voters && voters.size() == spec_.voters;
}

std::vector<std::string> MaintenanceSimulation::open_requests() const {
  std::vector<std::string> open;
  if (const auto leader_index = leader()) {
    for (const auto& [id, request] : coordinator(*leader_index).state_machine().requests()) {
      if (request.open()) {
        open.push_back(id);
      }
    }
  }
  return open;
}

std::vector<std::string> MaintenanceSimulation::unexplained_requests() const {
  const auto leader_index = leader();
  if (!leader_index) {
    return {"no leader"};
  }
  const maintenance::MaintenancePlanner planner(coordinator(*leader_index).state_machine());
  std::vector<std::string> silent = open_requests();
  std::erase_if(silent,
                [&planner](const std::string& id) { return !planner.explain(id, {}).empty(); });
  return silent;
}

// ---- Simulated time

void MaintenanceSimulation::run(Duration length) {
  for (const Time end = now_ + length; now_ < end;) {
    now_ += kStep;
    step();
  }
}

void MaintenanceSimulation::step() {
  deliver_datagrams();
  warm_up_backends();
  for (std::size_t i = 0; i < proxies_.size(); ++i) {
    step_proxy(i);
  }
  act_as_operators();
  check_invariants();
}

void MaintenanceSimulation::deliver_datagrams() {
  while (!datagrams_.empty() && datagrams_.begin()->first <= now_) {
    Datagram datagram = std::move(datagrams_.begin()->second);
    datagrams_.erase(datagrams_.begin());
    Proxy& receiver = proxies_[datagram.to];
    if (!receiver.coordinator) {
      continue;
    }
    if (!receiver.suspended) {
      receiver.coordinator->receive(now_, proxy_name(datagram.from), datagram.channel,
                                    datagram.bytes);
    } else if (receiver.socket_buffer.size() < kSocketBufferDatagrams) {
      receiver.socket_buffer.push_back(std::move(datagram));
    }
  }
}

void MaintenanceSimulation::warm_up_backends() {
  for (Backend& backend : backends_) {
    if (backend.machine.up && now_ >= backend.started_at + spec_.warm) {
      backend.machine.warm = true;
    }
  }
}

void MaintenanceSimulation::step_proxy(std::size_t i) {
  Proxy& proxy = proxies_[i];
  finish_requests(proxy, now_);
  if (!proxy.coordinator || proxy.suspended) {
    return;
  }
  sync_storage(proxy);
  proxy.coordinator->update_local_view(local_view(proxy));
  proxy.coordinator->tick(now_);
  replace_lost_storage(i);
  for (const MaintenanceCoordinator::Outgoing& message : proxy.coordinator->take_outgoing()) {
    send(i, message);
  }
  if (to_s(now_) >= proxy.next_request_s) {
    proxy.next_request_s = to_s(now_) + random_.exponential(1 / spec_.calls_per_s);
    send_request(i);
  }
}

void MaintenanceSimulation::finish_requests(Proxy& proxy, Time now) {
  for (auto& [machine, ends] : proxy.in_flight) {
    while (!ends.empty() && ends.front() <= now) {
      ends.pop_front();
    }
  }
}

void MaintenanceSimulation::sync_storage(Proxy& proxy) {
  if (!proxy.storage || !proxy.storage->lazy) {
    return;
  }
  maintenance::MemoryRaftStorage& storage = *proxy.storage;
  if (storage.appended_records() > storage.durable_records() && proxy.syncs.empty()) {
    proxy.syncs.push_back({storage.appended_records(), now_ + spec_.disk_delay});
  }
  if (!proxy.syncs.empty() && now_ >= proxy.syncs.front().due) {
    proxy.syncs.pop_front();
    storage.sync();
  }
}

// Discards a voter's storage if it was rolled back, as MaintenanceActor does. A voter without
// storage gets a new one when it has been readmitted.
void MaintenanceSimulation::replace_lost_storage(std::size_t i) {
  Proxy& proxy = proxies_[i];
  if (!proxy.is_voter || (proxy.storage && !proxy.coordinator->rolled_back())) {
    return;
  }
  if (proxy.storage) {
    proxy.coordinator.reset();
    proxy.storage.reset();
    create_coordinator(i);
  }
  if (const auto generation = proxy.coordinator->readmitted()) {
    proxy.storage = new_storage();
    proxy.generation = *generation;
    create_coordinator(i);
  }
}

void MaintenanceSimulation::send(std::size_t from,
                                 const MaintenanceCoordinator::Outgoing& message) {
  const std::string number = message.to.substr(message.to.find('-') + 1);
  const auto to = static_cast<std::size_t>(std::stoul(number));
  if (to >= proxies_.size() || (link_filter_ && !link_filter_(from, to)) ||
      random_.uniform() < spec_.loss) {
    return;
  }
  for (int copies = random_.uniform() < spec_.duplication ? 2 : 1; copies > 0; --copies) {
    const Duration extra_delay = to_duration(to_s(spec_.delay) * random_.uniform());
    datagrams_.emplace(now_ + spec_.delay + extra_delay,
                       Datagram{from, to, message.channel, message.bytes});
  }
}

// ---- Requests to backends

bool MaintenanceSimulation::Proxy::has_in_flight(const std::string& machine) const {
  const auto found = in_flight.find(machine);
  return found != in_flight.end() && !found->second.empty();
}

void MaintenanceSimulation::send_request(std::size_t i) {
  Proxy& proxy = proxies_[i];
  std::vector<std::size_t> permitted;
  for (std::size_t b = 0; b < backends_.size(); ++b) {
    if (now_ < dispatch_permitted_until(proxy, backends_[b].machine.id)) {
      permitted.push_back(b);
    }
  }
  if (permitted.empty()) {
    ++requests_withheld_;
    return;
  }
  const Backend& backend = backends_[permitted[random_.below(permitted.size())]];
  ++requests_sent_;
  if (backend.out_since) {
    invariants_.report_dispatch_during_maintenance(
        now_, fmt::format("{} sent a request to {}, which has been out of service since {:.2f} s",
                          proxy_name(i), backend.machine.id, to_s(*backend.out_since)));
  }
  // A backend that is down rejects the request immediately, so that it is never in flight.
  if (backend.machine.up) {
    proxy.in_flight[backend.machine.id].push_back(now_ + spec_.request_duration);
  }
}

// Returns the end of the coordinator's dispatch permission for the machine, as modified by the
// seeded bug.
Time MaintenanceSimulation::dispatch_permitted_until(const Proxy& proxy,
                                                     const std::string& machine) const {
  const Time permitted_until = proxy.coordinator->dispatch_permitted_until(machine);
  const auto& permissions = proxy.coordinator->dispatch_permissions();
  const auto permission = permissions.find(machine);
  if (permission == permissions.end() || !permission->second.lease_required) {
    return permitted_until;
  }
  if (spec_.bug == SeededBug::kLongLease) {
    return permitted_until + kLongLeaseFactor * kLeaseDuration;
  }
  return spec_.bug == SeededBug::kNoLease ? Time::max() : permitted_until;
}

maintenance::LocalView MaintenanceSimulation::local_view(Proxy& proxy) {
  maintenance::LocalView view;
  for (const Backend& backend : backends_) {
    view.machines.push_back(backend.machine);
  }
  for (std::size_t zone = 0; zone < spec_.zones; ++zone) {
    view.zone_utilization[fmt::format("zone-{}", zone)] = spec_.utilization;
  }
  track_exclusions(proxy);
  for (const auto& [machine, since] : proxy.excluded_since) {
    const bool is_busy = now_ < since + kDrainGrace || proxy.has_in_flight(machine);
    if (is_busy && spec_.bug != SeededBug::kConfirmsBusy) {
      view.busy_machines.insert(machine);
    }
  }
  view.is_idle = proxy.coordinator->is_self_in_maintenance();
  view.served_requests = kServedRequestsPerSecond * static_cast<std::uint64_t>(now_ / 1s);
  return view;
}

void MaintenanceSimulation::track_exclusions(Proxy& proxy) const {
  std::set<std::string> excluded;
  for (const auto& [machine, permission] : proxy.coordinator->dispatch_permissions()) {
    if (permission.dispatch_forbidden) {
      excluded.insert(machine);
      proxy.excluded_since.try_emplace(machine, now_);
    }
  }
  std::erase_if(proxy.excluded_since,
                [&excluded](const auto& entry) { return !excluded.contains(entry.first); });
}

// ---- Operators

// Operators read the leader's state, work on machines that are out of service, and then start them
// again.
void MaintenanceSimulation::act_as_operators() {
  const auto leader_index = leader();
  if (!leader_index) {
    return;
  }
  const auto& workflows = coordinator(*leader_index).state_machine().workflows();
  for (Backend& backend : backends_) {
    const auto workflow = workflows.find(backend.machine.id);
    const bool out = workflow != workflows.end() && workflow->second.state == WorkflowState::kOut;
    if (out && !backend.in_work && workflow->second.fencing_token != backend.fencing_token) {
      begin_work(backend, workflow->second);
    }
    if (backend.in_work && operators_working_ && now_ >= backend.work_ends_at) {
      end_work(backend);
    }
    if (out && !backend.in_work && now_ >= backend.next_done_command) {
      backend.next_done_command = now_ + kDoneCommandInterval;
      Command done;
      done.type = CommandType::kCompleteWork;
      done.id = backend.request;
      done.machine = backend.machine.id;
      submit_command(*leader_index, done);
    }
  }
}

void MaintenanceSimulation::begin_work(Backend& backend,
                                       const maintenance::MaintenanceWorkflow& workflow) {
  backend.in_work = true;
  backend.out_since = now_;
  backend.fencing_token = workflow.fencing_token;
  backend.request = workflow.request;
  backend.machine.up = false;
  backend.work_ends_at = now_ + spec_.work;
  for (std::size_t i = 0; i < proxies_.size(); ++i) {
    if (proxies_[i].has_in_flight(backend.machine.id)) {
      invariants_.report_dispatch_during_maintenance(
          now_, fmt::format("{} has a request in flight to {}, which is out of service",
                            proxy_name(i), backend.machine.id));
    }
  }
}

void MaintenanceSimulation::end_work(Backend& backend) {
  backend.in_work = false;
  backend.out_since.reset();
  backend.started_at = now_;
  backend.machine.up = true;
  backend.machine.warm = false;
  backend.machine.started_at = now_.count();
  backend.next_done_command = now_;
  ++completed_works_;
}

void MaintenanceSimulation::check_invariants() {
  for (std::size_t i = 0; i < spec_.voters; ++i) {
    if (proxies_[i].coordinator) {
      invariants_.check_replica(now_, i, coordinator(i).state_machine());
    }
  }
  const auto in_work = std::count_if(backends_.begin(), backends_.end(),
                                     [](const Backend& backend) { return backend.in_work; });
  invariants_.check_machines_in_work(now_, static_cast<std::uint32_t>(in_work));
}

}  // namespace beechhill::emulator
