#include "emulator/maintenance_simulation.h"

#include <fmt/format.h>

#include <algorithm>

#include "emulator/units.h"

namespace beechhill::emulator {

using maintenance::Channel;
using maintenance::Command;
using maintenance::CommandType;
using maintenance::FencingToken;
using maintenance::Machine;
using maintenance::MaintenanceCoordinator;
using maintenance::WorkflowState;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t kWorksStream = 1ULL << 36;
constexpr Duration kStep{10'000};
constexpr std::size_t kSocketHolds = 128, kMostTold = 5;
constexpr Duration kLease{2'000'000}, kGrace{500'000};
constexpr maintenance::Seconds kUnixStart = 1'800'000'000;

}  // namespace

MaintenanceSimulation::MaintenanceSimulation(const MaintenanceSimulationSpec& spec)
    : spec_(spec),
      random_(spec.seed, Actor::kFaults, kWorksStream),
      proxies_(spec.voters + spec.followers),
      backends_(spec.backends) {
  for (std::size_t i = 0; i < backends_.size(); ++i) {
    Machine& m = backends_[i].machine;
    m.id = backend_name(i), m.instance_type = i % 3 == 0 ? "big" : "small";
    m.zone = fmt::format("zone-{}", i % spec_.zones), m.cell = fmt::format("cell-{}", i / 4);
    m.relative_capacity = i % 3 == 0 ? 2 : 1;
  }
  std::vector<std::string> voters;
  for (std::size_t i = 0; i < spec_.voters; ++i) {
    voters.push_back(proxy_name(i));
  }
  for (std::size_t i = 0; i < proxies_.size(); ++i) {
    Proxy& p = proxies_[i];
    p.votes = i < spec_.voters;
    if (p.votes) {
      p.storage = std::make_unique<maintenance::MemoryRaftStorage>();
      for (maintenance::LogRecord& r : maintenance::initial_records(voters)) {
        p.storage->append(std::move(r));
      }
      p.storage->lazy = spec_.disk > Duration{0};
    }
    start(i);
  }
}

MaintenanceSimulation::~MaintenanceSimulation() = default;

maintenance::CoordinatorSettings MaintenanceSimulation::settings(std::size_t i) const {
  maintenance::CoordinatorSettings s;
  s.self = proxy_name(i);
  s.zone = fmt::format("zone-{}", i % spec_.zones);
  for (std::size_t v = 0; v < spec_.voters; ++v) {
    s.voters.push_back(proxy_name(v));
  }
  s.lease_duration = kLease, s.drain_grace = kGrace, s.max_request_duration = spec_.call;
  s.isolation_timeout = spec_.isolated_after;
  s.disruption_budget = spec_.bounds;
  return s;
}

void MaintenanceSimulation::make(std::size_t i) {
  Proxy& p = proxies_[i];
  p.works = std::make_unique<MaintenanceCoordinator>(
      now_, settings(i), p.storage.get(), p.generation, ++p.life << 8 | i, random_.bits(),
      [this, i] { return kUnixStart + now_ / 1s + proxies_[i].unix_shift; });
}

void MaintenanceSimulation::start(std::size_t i) {
  Proxy& p = proxies_[i];
  p.stopped = false;
  p.waiting.clear(), p.barred_since.clear(), p.syncs.clear();
  if (p.storage) {
    p.storage->crash();
  }
  make(i);
}

void MaintenanceSimulation::kill(std::size_t i) {
  Proxy& p = proxies_[i];
  p.works.reset();
  p.open.clear();  // its connections end with it
  p.stopped = false;
  if (p.storage) {
    p.storage->crash();
  }
}

void MaintenanceSimulation::stop(std::size_t i) {
  proxies_[i].stopped = proxies_[i].works != nullptr;
  proxies_[i].stopped_at = now_;
}

void MaintenanceSimulation::go_on(std::size_t i) {
  Proxy& p = proxies_[i];
  if (!std::exchange(p.stopped, false)) {
    return;
  }
  p.works->on_resume(now_);
  // What it had decided on before is sent first, if its rights still hold: the worst order.
  call(i);
  for (const auto& [from, line, bytes] : std::exchange(p.waiting, {})) {
    p.works->receive(now_, proxy_name(from), line, bytes);
  }
}

void MaintenanceSimulation::wipe(std::size_t i) {
  proxies_[i].storage.reset();
}
void MaintenanceSimulation::fail_disk(std::size_t i) {
  if (proxies_[i].storage) {
    proxies_[i].storage->fail();
  }
}

void MaintenanceSimulation::keep_copy(std::size_t i) {
  Proxy& p = proxies_[i];
  p.copy = p.storage ? std::make_unique<maintenance::MemoryRaftStorage>(*p.storage) : nullptr;
  if (p.copy) {
    p.copy->crash();
  }
  p.copy_generation = p.generation;
}

void MaintenanceSimulation::put_back(std::size_t i) {
  Proxy& p = proxies_[i];
  if (!p.copy) {
    return;
  }
  p.storage = std::make_unique<maintenance::MemoryRaftStorage>(*p.copy);
  p.generation = p.copy_generation;
}

void MaintenanceSimulation::backend_down(std::size_t i, bool down) {
  Backend& b = backends_[i];
  if (b.in_work || b.down == down) {
    return;
  }
  b.down = down;
  b.machine.up = !down;
  if (!down) {
    b.machine.started_at = now_.count(), b.back = now_, b.machine.warm = false;
  }
}

void MaintenanceSimulation::order(std::size_t at, Command command) {
  if (running(at)) {
    proxies_[at].works->submit_command(now_, std::move(command), [](bool, const std::string&) {});
  }
}

std::optional<std::size_t> MaintenanceSimulation::leader() const {
  std::optional<std::size_t> found;
  for (std::size_t i = 0; i < proxies_.size(); ++i) {
    if (running(i) && coordinator(i).is_leader() &&
        (!found || coordinator(i).state_machine().applied_index() >
                       coordinator(*found).state_machine().applied_index())) {
      found = i;
    }
  }
  return found;
}

bool MaintenanceSimulation::whole() const {
  const auto lead = leader();
  if (!lead) {
    return false;
  }
  std::size_t known = 0;
  for (const maintenance::Voter& v : coordinator(*lead).voters()) {
    for (std::size_t i = 0; i < spec_.voters; ++i) {
      known += proxy_name(i) == v.name && running(i) && coordinator(i).is_voter() &&
               proxies_[i].generation == v.generation;
    }
  }
  return known == spec_.voters && coordinator(*lead).voters().size() == spec_.voters;
}

void MaintenanceSimulation::run(Duration length) {
  for (const Time end = now_ + length; now_ < end;) {
    now_ += kStep;
    step();
  }
}

void MaintenanceSimulation::step() {
  while (!flying_.empty() && flying_.begin()->first <= now_) {
    const Flying f = std::move(flying_.begin()->second);
    flying_.erase(flying_.begin());
    Proxy& p = proxies_[f.to];
    if (!p.works) {
      continue;
    }
    if (!p.stopped) {
      p.works->receive(now_, proxy_name(f.from), f.line, f.bytes);
    } else if (p.waiting.size() < kSocketHolds) {
      p.waiting.emplace_back(f.from, f.line, f.bytes);
    }
  }
  for (Backend& b : backends_) {
    if (!b.machine.warm && b.machine.up && now_ >= b.back + spec_.warm) {
      b.machine.warm = true;
    }
  }
  for (std::size_t i = 0; i < proxies_.size(); ++i) {
    drive(i);
  }
  staff();
  check();
}

void MaintenanceSimulation::drive(std::size_t i) {
  Proxy& p = proxies_[i];
  for (auto& [machine, ends] : p.open) {
    while (!ends.empty() && ends.front() <= now_) {
      ends.pop_front();
    }
  }
  if (!p.works || p.stopped) {
    return;
  }
  if (p.storage && p.storage->lazy) {
    if (p.storage->appended_records() > p.storage->durable_records() && p.syncs.empty()) {
      p.syncs.emplace_back(p.storage->appended_records(), now_ + spec_.disk);
    }
    if (!p.syncs.empty() && now_ >= p.syncs.front().second) {
      p.syncs.pop_front(), p.storage->sync();
    }
  }
  p.works->update_local_view(view(i));
  p.works->tick(now_);
  if (p.votes && (p.works->rolled_back() || !p.storage)) {
    // As the program does: what cannot be relied on is set aside, and the voter waits to be let in
    // anew.
    if (p.storage) {
      p.works.reset(), p.storage.reset(), make(i);
    }
    if (const auto generation = p.works->readmitted()) {
      p.storage = std::make_unique<maintenance::MemoryRaftStorage>();
      p.storage->lazy = spec_.disk > Duration{0};
      p.generation = *generation;
      make(i);
    }
  }
  for (const MaintenanceCoordinator::Outgoing& o : p.works->take_outgoing()) {
    send(i, o);
  }
  if (to_s(now_) >= p.next_call) {
    p.next_call = to_s(now_) + random_.exponential(1 / spec_.calls_per_s);
    call(i);
  }
}

void MaintenanceSimulation::call(std::size_t i) {
  Proxy& p = proxies_[i];
  std::vector<std::size_t> usable;
  for (std::size_t b = 0; b < backends_.size(); ++b) {
    if (now_ < right_ends(p, backends_[b].machine.id)) {
      usable.push_back(b);
    }
  }
  if (usable.empty()) {
    ++kept_back_;
    return;
  }
  const Backend& b = backends_[usable[random_.below(usable.size())]];
  ++calls_made_;
  if (b.out_since) {
    tell(verdict_.sent_to_out, fmt::format("{} sent to {}, which was said to be out at {:.2f} s",
                                           proxy_name(i), b.machine.id, to_s(*b.out_since)));
  }
  if (!b.machine.up) {
    return;  // refused there
  }
  p.open[b.machine.id].push_back(now_ + spec_.call);
}

// The program's own rule, or what a bug makes of it.
Time MaintenanceSimulation::right_ends(const Proxy& p, const std::string& machine) const {
  const Time until = p.works->dispatch_permitted_until(machine);
  const auto right = p.works->dispatch_permissions().find(machine);
  if (right == p.works->dispatch_permissions().end() || !right->second.lease_required) {
    return until;
  }
  if (spec_.bug == SeededBug::kLongLease) {
    return until + 4 * kLease;
  }
  return spec_.bug == SeededBug::kNoLease ? Time::max() : until;
}

maintenance::LocalView MaintenanceSimulation::view(std::size_t i) {
  Proxy& p = proxies_[i];
  maintenance::LocalView v;
  for (const Backend& b : backends_) {
    v.machines.push_back(b.machine);
  }
  for (std::size_t z = 0; z < spec_.zones; ++z) {
    v.zone_utilization[fmt::format("zone-{}", z)] = spec_.use;
  }
  std::set<std::string> barred;
  for (const auto& [id, right] : p.works->dispatch_permissions()) {
    if (right.dispatch_forbidden) {
      barred.insert(id), p.barred_since.try_emplace(id, now_);
    }
  }
  std::erase_if(p.barred_since, [&](const auto& b) { return !barred.contains(b.first); });
  for (const auto& [id, since] : p.barred_since) {
    const auto open = p.open.find(id);
    if (spec_.bug == SeededBug::kConfirmsBusy) {
      continue;
    }
    if (now_ < since + kGrace || (open != p.open.end() && !open->second.empty())) {
      v.busy_machines.insert(id);
    }
  }
  v.is_idle = p.works->is_self_out();
  v.served_requests = 100 * static_cast<std::uint64_t>(now_ / 1s);
  return v;
}

void MaintenanceSimulation::send(std::size_t from, const MaintenanceCoordinator::Outgoing& o) {
  const auto to = static_cast<std::size_t>(std::stoul(o.to.substr(o.to.find('-') + 1)));
  if (to >= proxies_.size() || (passes_ && !passes_(from, to)) || random_.uniform() < spec_.loss) {
    return;
  }
  for (int copies = random_.uniform() < spec_.doubled ? 2 : 1; copies > 0; --copies) {
    flying_.emplace(now_ + spec_.delay + to_span(to_s(spec_.delay) * random_.uniform()),
                    Flying{to, from, o.line, o.bytes});
  }
}

// Staff look at what the one that leads says, work on what is out, and switch it on again.
void MaintenanceSimulation::staff() {
  const auto lead = leader();
  if (!lead) {
    return;
  }
  const auto& courses = coordinator(*lead).state_machine().workflows();
  for (Backend& b : backends_) {
    const auto c = courses.find(b.machine.id);
    const bool out = c != courses.end() && c->second.state == WorkflowState::kOut;
    if (out && !b.in_work && c->second.fencing_token != b.fence) {
      b.in_work = true, b.out_since = now_, b.fence = c->second.fencing_token,
      b.request = c->second.request;
      b.machine.up = false, b.work_ends = now_ + spec_.work;
      for (std::size_t i = 0; i < proxies_.size(); ++i) {
        if (const auto open = proxies_[i].open.find(b.machine.id);
            open != proxies_[i].open.end() && !open->second.empty()) {
          tell(verdict_.sent_to_out,
               fmt::format("{} has a call open at {}, which was said to be out", proxy_name(i),
                           b.machine.id));
        }
      }
    }
    if (b.in_work && staff_works_ && now_ >= b.work_ends) {
      b.in_work = false, b.out_since.reset();
      b.machine.up = true, b.machine.warm = false, b.machine.started_at = now_.count(),
      b.back = now_;
      ++taken_out_;
      b.say_done_at = now_;
    }
    // Until it is heard.
    if (out && !b.in_work && now_ >= b.say_done_at) {
      b.say_done_at = now_ + 500ms;
      Command done;
      done.type = CommandType::kCompleteWork, done.id = b.request, done.machine = b.machine.id;
      order(*lead, done);
    }
  }
}

void MaintenanceSimulation::check() {
  for (std::size_t i = 0; i < spec_.voters; ++i) {
    if (!proxies_[i].works) {
      continue;
    }
    const maintenance::MaintenanceStateMachine& ledger = coordinator(i).state_machine();
    if (checked_[i] == ledger.applied_index() || ledger.applied_index() == 0) {
      continue;
    }
    checked_[i] = ledger.applied_index();
    const std::size_t hash = std::hash<std::string>{}(ledger.snapshot());
    const auto [state, fresh] = states_.try_emplace(ledger.applied_index(), hash);
    if (!fresh && state->second != hash) {
      tell(verdict_.split_minds, fmt::format("two states of index {}", ledger.applied_index()));
    }
    std::map<std::string, std::uint32_t> zones;
    std::uint32_t out = 0;
    for (const auto& [id, c] : ledger.workflows()) {
      const auto [whose, first] = fences_.try_emplace(c.fencing_token, id);
      if (!first && whose->second != id) {
        tell(verdict_.split_minds,
             fmt::format("fence {} of {} and of {}", c.fencing_token, id, whose->second));
      }
      if (id.starts_with("backend")) {
        ++out, ++zones[ledger.machines().contains(id) ? ledger.machines().at(id).zone : ""];
      }
    }
    bool over = out > spec_.bounds.max_out;
    for (const auto& [zone, count] : zones) {
      over = over || count > spec_.bounds.max_out_per_zone;
    }
    if (over) {
      tell(verdict_.too_many, fmt::format("{} are out", out));
    }
  }
  // By the machines themselves: however many leaders there may be.
  const auto working = static_cast<std::uint32_t>(std::count_if(
      backends_.begin(), backends_.end(), [](const Backend& b) { return b.in_work; }));
  if (working > spec_.bounds.max_out) {
    tell(verdict_.too_many, fmt::format("{} are worked on", working));
  }
}

void MaintenanceSimulation::tell(std::uint64_t& count, const std::string& what) {
  ++count;
  if (verdict_.all() <= kMostTold) {
    verdict_.text += fmt::format("{:.2f} s: {}\n", to_s(now_), what);
  }
}

std::vector<std::string> MaintenanceSimulation::open_requests() const {
  std::vector<std::string> open;
  if (const auto lead = leader()) {
    for (const auto& [id, q] : coordinator(*lead).state_machine().requests()) {
      if (q.open()) {
        open.push_back(id);
      }
    }
  }
  return open;
}

std::vector<std::string> MaintenanceSimulation::silent_requests() const {
  std::vector<std::string> silent;
  const auto lead = leader();
  if (!lead) {
    return {"nobody leads"};
  }
  for (const std::string& id : open_requests()) {
    if (coordinator(*lead).state_machine().explain(id, {}).empty()) {
      silent.push_back(id);
    }
  }
  return silent;
}

MaintenanceRun run_drawn_maintenance(std::uint64_t seed, std::uint32_t most_followers) {
  Stream dice(seed, Actor::kFaults, kWorksStream + 1);
  MaintenanceSimulationSpec s;
  s.seed = seed;
  s.voters = static_cast<std::uint32_t>(3 + 2 * dice.below(3));
  s.followers = static_cast<std::uint32_t>(dice.below(most_followers + 1));
  s.loss = dice.uniform({0, 0.1}), s.doubled = dice.uniform({0, 0.1});
  s.delay = to_span(dice.uniform({0.0005, 0.03}));
  s.disk = dice.below(2) ? to_span(dice.uniform({0.001, 0.05})) : Duration{0};
  s.isolated_after = dice.below(2) ? Duration{4'000'000} : Duration{0};
  s.bounds.max_out = 1 + static_cast<std::uint32_t>(dice.below(3)), s.bounds.max_out_per_zone = 2,
  s.bounds.max_out_per_cell = 2;
  s.bounds.drain_timeout = 30, s.bounds.deferral = 3, s.bounds.quiet_period = 3;
  s.bounds.needs_approval = false;
  MaintenanceSimulation w(s);
  MaintenanceRun play;
  const auto did = [&](const std::string& what) {
    play.plan += fmt::format("{:.2f} s: {}\n", to_s(w.now()), what);
  };
  w.run(4s);
  for (const char* zone : {"zone-0", "zone-1"}) {  // two of staff, who do not know of each other
    Command ask;
    ask.type = CommandType::kSubmitRequest;
    ask.request = maintenance::Request{};
    ask.request->id = std::string("all-of-") + zone, ask.request->requested_by = "staff",
    ask.request->max_concurrent = 2;
    ask.request->select.zone = zone;
    for (int i = 0; i < 3; ++i) {  // till somebody takes it; it counts once
      w.order(dice.below(w.size()), ask);
      w.run(1s);
    }
  }
  const std::size_t n = w.size();
  std::set<std::size_t> down, stopped;
  for (std::uint64_t turns = 4 + dice.below(8); turns > 0; --turns) {
    const std::size_t i = dice.below(2) ? dice.below(s.voters) : dice.below(n);
    const std::size_t half = 1 + dice.below(n - 1);
    switch (dice.below(10)) {
      case 0:
        did(fmt::format("kill {}", i)), w.kill(i), down.insert(i);
        break;
      case 1:
        if (const auto lead = w.leader()) {
          did(fmt::format("kill {}, which leads", *lead)), w.kill(*lead), down.insert(*lead);
        }
        break;
      case 2:
        if (!down.contains(i)) {
          did(fmt::format("stop {}", i)), w.stop(i), stopped.insert(i);
        }
        break;
      case 3:
        did(fmt::format("split at {}", half)),
            w.cut([half](std::size_t a, std::size_t b) { return (a < half) == (b < half); });
        break;
      case 4:
        did(fmt::format("nothing passes from below {} up", half)),
            w.cut([half](std::size_t a, std::size_t b) { return a >= half || b < half; });
        break;
      case 5:
        did(fmt::format("nothing passes to {}", i)),
            w.cut([i](std::size_t, std::size_t b) { return b != i; });
        break;
      case 6:
        // One at a time: with most disks gone nothing could be known.
        if (i < s.voters && w.whole()) {
          did(fmt::format("kill {} and wipe its disk", i)), w.kill(i), w.wipe(i), down.insert(i);
        }
        break;
      case 7:
        if (i < s.voters && w.whole()) {
          // It is found out by those who have seen more of it: they run, and hear it.
          did(fmt::format("all links stand; kill {} and put its disk back by some seconds", i));
          w.cut({});
          w.run(2s);
          w.keep_copy(i);
          w.run(3s);
          w.kill(i);
          w.put_back(i);
          w.run(500ms);
          w.start(i);
          w.run(3s);
        }
        break;
      case 8:
        did(fmt::format("shift the clock of {}", i)),
            w.shift_clock(i, static_cast<maintenance::Seconds>(dice.below(2'000)) - 1'000);
        break;
      case 9: {
        const std::size_t b = dice.below(s.backends);
        did(fmt::format("backend {} goes down", b)), w.backend_down(b, true);
        w.run(to_span(dice.uniform({0.5, 4})));
        w.backend_down(b, false);
        break;
      }
    }
    w.run(to_span(dice.uniform({0.2, 8})));
    if (dice.below(2)) {
      did("all links stand, all processes run");
      w.cut({});
      for (const std::size_t k : down) {
        w.start(k);
      }
      for (const std::size_t k : stopped) {
        w.go_on(k);
      }
      down.clear(), stopped.clear();
      w.run(to_span(dice.uniform({1, 6})));
    }
  }
  did("the end of faults");
  w.cut({});
  for (const std::size_t k : down) {
    w.start(k);
  }
  for (const std::size_t k : stopped) {
    w.go_on(k);
  }
  for (int i = 0; i < 60 && (i < 10 || !w.open_requests().empty() || !w.leader()); ++i) {
    w.run(5s);
  }
  play.verdict = w.verdict();
  play.taken_out = w.taken_out(), play.backends = s.backends;
  play.silent = w.silent_requests(), play.open = w.open_requests();
  return play;
}

}  // namespace beechhill::emulator
