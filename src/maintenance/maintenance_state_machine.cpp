#include "maintenance/maintenance_state_machine.h"

#include <algorithm>
#include <cmath>
#include <tuple>

#include "base/byte_codec.h"

namespace beechhill::maintenance {

using base::ByteReader;
using base::ByteWriter;

namespace {

constexpr Seconds kKeepEnded = 86'400;  // ended requests are listed for a day
constexpr const char* kNoChange = "nothing_to_change";

void put(ByteWriter& w, const std::set<std::string>& texts) {
  w.number(static_cast<std::uint32_t>(texts.size()));
  for (const std::string& t : texts) {
    w.text(t);
  }
}

// Counts are bounded by what is left to read: a text takes two bytes at the least.
std::set<std::string> texts(ByteReader& r) {
  std::set<std::string> all;
  for (auto n = r.number<std::uint32_t>(); n > 0 && r.ok(); --n) {
    all.insert(r.text(kMaxTextBytes));
  }
  return all;
}

void put_real(ByteWriter& w, double v) {
  w.number(static_cast<std::int64_t>(std::llround(v * 1e6)));
}
double real(ByteReader& r) {
  return static_cast<double>(r.number<std::int64_t>()) / 1e6;
}

void put(ByteWriter& w, const Machine& m) {
  w.text(m.id)
      .text(m.zone)
      .text(m.cell)
      .text(m.instance_type)
      .number(m.role)
      .number(m.up)
      .number(m.warm)
      .number(m.started_at);
  put_real(w, m.relative_capacity);
}

Machine machine(ByteReader& r) {
  Machine m;
  m.id = r.text(kMaxTextBytes), m.zone = r.text(kMaxTextBytes), m.cell = r.text(kMaxTextBytes),
  m.instance_type = r.text(kMaxTextBytes);
  m.role = r.number<Role>(), m.up = r.number<bool>(), m.warm = r.number<bool>(),
  m.started_at = r.number<std::int64_t>();
  m.relative_capacity = real(r);
  return m;
}

void put(ByteWriter& w, const Request& q) {
  w.text(q.id).number(q.select.role).text(q.select.zone).text(q.select.cell).text(q.select.kind);
  put(w, q.select.ids);
  w.number(q.max_concurrent)
      .number(q.work_duration)
      .number(q.not_before)
      .number(q.not_after)
      .number(q.priority)
      .text(q.requested_by)
      .text(q.reason);
  w.number(q.approved).number(q.on_hold).number(q.cancelled).number(q.ended).number(q.requested_at);
  put(w, q.completed_machines);
  w.number(static_cast<std::uint32_t>(q.deferred_until.size()));
  for (const auto& [id, until] : q.deferred_until) {
    w.text(id).number(until);
  }
}

Request request(ByteReader& r) {
  Request q;
  q.id = r.text(kMaxTextBytes), q.select.role = r.number<Role>();
  q.select.zone = r.text(kMaxTextBytes), q.select.cell = r.text(kMaxTextBytes),
  q.select.kind = r.text(kMaxTextBytes);
  q.select.ids = texts(r);
  q.max_concurrent = r.number<std::uint32_t>(), q.work_duration = r.number<Seconds>(),
  q.not_before = r.number<Seconds>();
  q.not_after = r.number<Seconds>(), q.priority = r.number<std::int32_t>();
  q.requested_by = r.text(kMaxTextBytes), q.reason = r.text(kMaxTextBytes);
  q.approved = r.number<bool>(), q.on_hold = r.number<bool>(), q.cancelled = r.number<bool>(),
  q.ended = r.number<bool>();
  q.requested_at = r.number<Seconds>();
  q.completed_machines = texts(r);
  for (auto n = r.number<std::uint32_t>(); n > 0 && r.ok(); --n) {
    const std::string id = r.text(kMaxTextBytes);
    q.deferred_until[id] = r.number<Seconds>();
  }
  return q;
}

void put(ByteWriter& w, const DisruptionBudget& b) {
  put_real(w, b.capacity_reserve);
  w.number(b.max_out)
      .number(b.max_out_per_zone)
      .number(b.max_out_per_cell)
      .number(b.preserve_last_in_zone)
      .number(b.preserve_last_in_cell)
      .number(b.min_proxies_per_zone);
  w.number(b.drain_timeout)
      .number(b.deferral)
      .number(b.priority_aging_interval)
      .number(b.quiet_period)
      .number(b.needs_approval);
}

DisruptionBudget bounds(ByteReader& r) {
  DisruptionBudget b;
  b.capacity_reserve = real(r);
  b.max_out = r.number<std::uint32_t>(), b.max_out_per_zone = r.number<std::uint32_t>(),
  b.max_out_per_cell = r.number<std::uint32_t>();
  b.preserve_last_in_zone = r.number<bool>(), b.preserve_last_in_cell = r.number<bool>(),
  b.min_proxies_per_zone = r.number<std::uint32_t>();
  b.drain_timeout = r.number<Seconds>(), b.deferral = r.number<Seconds>(),
  b.priority_aging_interval = r.number<Seconds>(), b.quiet_period = r.number<Seconds>();
  b.needs_approval = r.number<bool>();
  return b;
}

void put(ByteWriter& w, const std::map<std::string, Machine>& machines,
         const std::map<std::string, double>& use) {
  w.number(static_cast<std::uint32_t>(machines.size()));
  for (const auto& [id, m] : machines) {
    put(w, m);
  }
  w.number(static_cast<std::uint32_t>(use.size()));
  for (const auto& [zone, u] : use) {
    w.text(zone), put_real(w, u);
  }
}

void read(ByteReader& r, std::vector<Machine>& machines, std::map<std::string, double>& use) {
  for (auto n = r.number<std::uint32_t>(); n > 0 && r.ok(); --n) {
    machines.push_back(machine(r));
  }
  for (auto n = r.number<std::uint32_t>(); n > 0 && r.ok(); --n) {
    const std::string zone = r.text(kMaxTextBytes);
    use[zone] = real(r);
  }
}

}  // namespace

const char* name(WorkflowState step) {
  static constexpr const char* kNames[] = {"announced", "evacuating", "empty", "out", "warming"};
  return kNames[static_cast<std::size_t>(step)];
}

bool MachineSelector::matches(const Machine& m) const {
  return m.role == role && (ids.empty() || ids.contains(m.id)) &&
         (zone.empty() || zone == m.zone) && (cell.empty() || cell == m.cell) &&
         (kind.empty() || kind == m.instance_type);
}

std::string encode(const Command& c) {
  ByteWriter w;
  w.number(c.type)
      .number(c.issued_at)
      .text(c.id)
      .text(c.machine)
      .text(c.proxy)
      .text(c.issued_by)
      .number(c.fencing_token);
  w.number(c.request.has_value());
  if (c.request) {
    put(w, *c.request);
  }
  w.number(c.disruption_budget.has_value());
  if (c.disruption_budget) {
    put(w, *c.disruption_budget);
  }
  std::map<std::string, Machine> machines;
  for (const Machine& m : c.machines) {
    machines[m.id] = m;
  }
  put(w, machines, c.zone_utilization);
  put(w, c.removed_machines);
  w.text(c.incident);
  return w.bytes();
}

std::optional<Command> decode(std::string_view bytes) {
  ByteReader r(bytes);
  Command c;
  c.type = r.number<CommandType>(), c.issued_at = r.number<Seconds>();
  c.id = r.text(kMaxTextBytes), c.machine = r.text(kMaxTextBytes), c.proxy = r.text(kMaxTextBytes),
  c.issued_by = r.text(kMaxTextBytes);
  c.fencing_token = r.number<FencingToken>();
  if (r.number<bool>()) {
    c.request = request(r);
  }
  if (r.number<bool>()) {
    c.disruption_budget = bounds(r);
  }
  read(r, c.machines, c.zone_utilization);
  c.removed_machines = texts(r);
  c.incident = r.text(kMaxTextBytes);
  if (!r.done() || c.type > CommandType::kCallBack || c.machines.size() > kMaxMachines) {
    return std::nullopt;
  }
  return c;
}

// ---- What is settled

const char* MaintenanceStateMachine::apply(LogIndex index, const Command& c) {
  index_ = std::max(index_, index);
  time_ = std::max(time_, c.issued_at);  // clocks step, and leaders change
  switch (c.type) {
    case CommandType::kSubmitRequest:
      return ask(c);
    case CommandType::kApproveRequest:
    case CommandType::kHoldRequest:
    case CommandType::kResumeRequest:
    case CommandType::kCancelRequest:
      return of_request(c);
    case CommandType::kSetDisruptionBudget:
      if (!c.disruption_budget || *c.disruption_budget == bounds_) {
        return kNoChange;
      }
      bounds_ = *c.disruption_budget;
      return nullptr;
    case CommandType::kUpdateObservations:
      facts(c);
      return nullptr;
    case CommandType::kAdvanceTime:
      tidy();
      return nullptr;
    case CommandType::kAddProxy:
      if (roster_.size() >= kMaxProxies) {
        return "too_many_proxies";
      }
      return roster_.insert(c.proxy).second ? nullptr : kNoChange;
    case CommandType::kRemoveProxy:
    case CommandType::kForgetProxy:
      return roster_.erase(c.proxy) > 0 ? nullptr : "unknown_proxy";
    case CommandType::kAnnounceDrain:
      return announce(c);
    case CommandType::kConfirmDrained:
      return confirm(c);
    case CommandType::kCompleteWork:
    case CommandType::kStartDrain:
    case CommandType::kMarkOut:
    case CommandType::kMarkWarming:
    case CommandType::kCallBack:
      return advance(c);
  }
  return "unknown";
}

// A request of the same id is the same request: it was sent twice.
const char* MaintenanceStateMachine::ask(const Command& c) {
  if (!c.request || c.request->id.empty()) {
    return "no_request";
  }
  const auto there = requests_.find(c.request->id);
  if (there != requests_.end()) {
    return there->second.select.ids == c.request->select.ids &&
                   there->second.requested_by == c.request->requested_by
               ? kNoChange
               : "id_is_taken";
  }
  if (requests_.size() >= kMaxRequests) {
    return "too_many_requests";
  }
  Request q = *c.request;
  q.approved = !bounds_.needs_approval;
  q.on_hold = q.cancelled = q.ended = false;
  q.requested_at = time_;
  q.completed_machines.clear(), q.deferred_until.clear();
  q.max_concurrent = std::max<std::uint32_t>(1, q.max_concurrent);
  requests_.emplace(q.id, std::move(q));
  return nullptr;
}

const char* MaintenanceStateMachine::of_request(const Command& c) {
  const auto it = requests_.find(c.id);
  if (it == requests_.end()) {
    return "unknown_request";
  }
  Request& q = it->second;
  if (!q.open()) {
    return "ended";
  }
  bool* const flag = c.type == CommandType::kApproveRequest  ? &q.approved
                     : c.type == CommandType::kCancelRequest ? &q.cancelled
                                                             : &q.on_hold;
  const bool value = c.type != CommandType::kResumeRequest;
  if (*flag == value) {
    return kNoChange;
  }
  *flag = value;
  // What has not been said to be out is called back; staff end the work on what is.
  if (c.type == CommandType::kHoldRequest || c.type == CommandType::kCancelRequest) {
    std::vector<std::string> back;
    for (const auto& [id, course] : courses_) {
      if (course.request == c.id && course.state < WorkflowState::kOut) {
        back.push_back(id);
      }
    }
    for (const std::string& id : back) {
      drop(id, false);
    }
  }
  tidy();
  return nullptr;
}

void MaintenanceStateMachine::facts(const Command& c) {
  for (const std::string& id : c.removed_machines) {
    machines_.erase(id);
  }
  for (const Machine& m : c.machines) {
    if (machines_.contains(m.id) || machines_.size() < kMaxMachines) {
      machines_[m.id] = m;
    }
  }
  use_ = c.zone_utilization;
  trouble_ = c.incident;
  if (!trouble_.empty()) {
    calm_from_ = time_ + bounds_.quiet_period;
  }
  tidy();
}

// The bounds are looked at once more: what was true when the leader reckoned may not be so any
// more.
const char* MaintenanceStateMachine::announce(const Command& c) {
  const auto q = requests_.find(c.id);
  const auto m = machines_.find(c.machine);
  if (q == requests_.end() || m == machines_.end()) {
    return "unknown";
  }
  if (!stands_in_way(q->second, m->second, room(m->second.role)).empty()) {
    return "bound";
  }
  courses_[c.machine] = {c.id,   c.machine, next_fence_++,        WorkflowState::kAnnounced,
                         index_, time_,     m->second.started_at, {}};
  return nullptr;
}

// A course goes on by its fence alone: a word that belongs to an earlier one changes nothing.
const char* MaintenanceStateMachine::advance(const Command& c) {
  const auto it = courses_.find(c.machine);
  if (it == courses_.end() ||
      (c.fencing_token != 0 && it->second.fencing_token != c.fencing_token)) {
    return "other_course";
  }
  MaintenanceWorkflow& course = it->second;
  const auto to = [&](WorkflowState from, WorkflowState step) -> const char* {
    if (course.state != from) {
      return "other_step";
    }
    course.state = step, course.state_since = time_, course.state_index = index_;
    return nullptr;
  };
  switch (c.type) {
    case CommandType::kStartDrain:
      if (paused()) {
        return "paused";
      }
      return to(WorkflowState::kAnnounced, WorkflowState::kDraining);
    case CommandType::kMarkOut:
      if (paused()) {
        return "paused";
      }
      if (const auto m = machines_.find(c.machine); m != machines_.end()) {
        course.started_at = m->second.started_at;
      }
      return to(WorkflowState::kDrained, WorkflowState::kOut);
    case CommandType::kCompleteWork:  // staff's word alone: a start that the list tells late may be
                                      // one from before the work
      if (course.request != c.id) {
        return "other_request";
      }
      return to(WorkflowState::kOut, WorkflowState::kWarming);
    case CommandType::kMarkWarming:
      if (course.state != WorkflowState::kWarming) {
        return "other_step";
      }
      drop(c.machine, true);
      return nullptr;
    case CommandType::kCallBack:
      if (course.state >= WorkflowState::kOut) {
        return "other_step";
      }
      drop(c.machine, false);
      return nullptr;
    default:
      return "unknown";
  }
}

const char* MaintenanceStateMachine::confirm(const Command& c) {
  const auto it = courses_.find(c.machine);
  if (it == courses_.end() || it->second.fencing_token != c.fencing_token) {
    return "other_course";
  }
  MaintenanceWorkflow& course = it->second;
  if (course.state != WorkflowState::kDraining) {
    return "other_step";
  }
  if (!course.confirmed_proxies.insert(c.proxy).second) {
    return kNoChange;
  }
  if (waits_for(course, {}).empty()) {
    course.state = WorkflowState::kDrained, course.state_since = time_, course.state_index = index_;
  }
  return nullptr;
}

void MaintenanceStateMachine::drop(const std::string& machine, bool done) {
  const auto it = courses_.find(machine);
  const auto q = requests_.find(it->second.request);
  if (q != requests_.end() && done) {
    q->second.completed_machines.insert(machine), q->second.deferred_until.erase(machine);
  }
  if (q != requests_.end() && !done) {
    q->second.deferred_until[machine] = time_ + bounds_.deferral;
  }
  courses_.erase(it);
  tidy();
}

// A request ends once all that match it are done; ended ones are forgotten after a day.
void MaintenanceStateMachine::tidy() {
  for (auto& [id, q] : requests_) {
    if (!q.open()) {
      continue;
    }
    bool left = machines_.empty();
    for (const auto& [m, machine] : machines_) {
      left = left || (q.select.matches(machine) && !q.completed_machines.contains(m));
    }
    for (const auto& [m, course] : courses_) {
      left = left || course.request == id;
    }
    // One that nothing has matched yet waits: the list may be behind.
    if (!left && !q.completed_machines.empty()) {
      q.ended = true;
    }
  }
  std::erase_if(requests_, [this](const auto& r) {
    const bool busy = std::any_of(courses_.begin(), courses_.end(),
                                  [&](const auto& c) { return c.second.request == r.first; });
    return !r.second.open() && !busy && time_ > r.second.requested_at + kKeepEnded;
  });
}

// ---- The order

std::int64_t MaintenanceStateMachine::rank(const Request& q) const {
  return q.priority + (bounds_.priority_aging_interval > 0
                           ? (time_ - q.requested_at) / bounds_.priority_aging_interval
                           : 0);
}

std::vector<const Request*> MaintenanceStateMachine::in_order() const {
  std::vector<const Request*> all;
  for (const auto& [id, q] : requests_) {
    if (q.open() && q.approved && !q.on_hold) {
      all.push_back(&q);
    }
  }
  std::sort(all.begin(), all.end(), [this](const Request* a, const Request* b) {
    return std::tuple(-rank(*a), a->requested_at, a->id) <
           std::tuple(-rank(*b), b->requested_at, b->id);
  });
  return all;
}

MaintenanceStateMachine::Room MaintenanceStateMachine::room(Role role) const {
  Room r;
  for (const auto& [id, m] : machines_) {
    if (m.role != role) {
      continue;
    }
    const auto use = use_.find(m.zone);
    const double needed = use == use_.end() ? 0 : use->second * m.relative_capacity;
    for (Place* p : {&r.whole, &r.zones[m.zone], &r.cells[{m.zone, m.cell}]}) {
      p->needed += needed;
      p->out += out(m);
      if (serves(m)) {
        p->left += m.relative_capacity, ++p->serving;
      }
    }
  }
  for (const auto& [id, c] : courses_) {
    r.unlisted += !machines_.contains(id);
  }
  return r;
}

std::string MaintenanceStateMachine::stands_in_way(const Request& q, const Machine& m,
                                                   const Room& room) const {
  if (!q.open()) {
    return "the request has ended";
  }
  if (!q.approved) {
    return "not approved";
  }
  if (q.on_hold) {
    return "held by staff";
  }
  if (q.not_before > time_) {
    return "its window is not open yet";
  }
  if (q.not_after > 0 && q.not_after < time_) {
    return "its window is over";
  }
  if (paused()) {
    return "an incident: " +
           (trouble_.empty() ? "it is over, and the calm after it is not" : trouble_);
  }
  if (!q.select.matches(m) || q.completed_machines.contains(m.id)) {
    return "not of this request";
  }
  if (const auto off = q.deferred_until.find(m.id);
      off != q.deferred_until.end() && off->second > time_) {
    return m.id + " was called back and is put off";
  }
  if (const auto there = courses_.find(m.id); there != courses_.end()) {
    return m.id + " is in work for " + there->second.request;
  }
  const auto own = std::count_if(courses_.begin(), courses_.end(),
                                 [&q](const auto& c) { return c.second.request == q.id; });
  if (own >= q.max_concurrent) {
    return "at_once: " + std::to_string(own) + " of this request are out";
  }
  const Place& zone = room.zones.at(m.zone);
  const Place& cell = room.cells.at({m.zone, m.cell});
  const std::uint32_t all_out = room.whole.out + room.unlisted, zone_out = zone.out + room.unlisted,
                      cell_out = cell.out + room.unlisted;
  if (all_out >= bounds_.max_out) {
    return "most_out: " + std::to_string(all_out) + " are out";
  }
  if (zone_out >= bounds_.max_out_per_zone) {
    return "most_out_zone: " + std::to_string(zone_out) + " are out in " + m.zone;
  }
  if (cell_out >= bounds_.max_out_per_cell) {
    return "most_out_cell: " + std::to_string(cell_out) + " are out in " + m.cell;
  }
  // What would be left without this one, if it serves.
  const std::uint32_t one = serves(m);
  const double width = one > 0 ? m.relative_capacity : 0;
  if (m.role == Role::kProxy) {
    return zone.serving - one < bounds_.min_proxies_per_zone
               ? "least_proxies: " + std::to_string(zone.serving - one) + " would be left in " +
                     m.zone
               : "";
  }
  if (room.whole.left - width < room.whole.needed * (1 + bounds_.capacity_reserve)) {
    return "reserve: what would be left does not bear the load with the reserve";
  }
  if (zone.left - width < zone.needed * (1 + bounds_.capacity_reserve)) {
    return "reserve: what would be left in " + m.zone + " does not bear its load with the reserve";
  }
  if (bounds_.preserve_last_in_zone && zone.serving == one) {
    return "keep_zone: the last in " + m.zone;
  }
  if (bounds_.preserve_last_in_cell && cell.serving == one) {
    return "keep_cell: the last in " + m.cell;
  }
  return {};
}

std::string MaintenanceStateMachine::waits_for(const MaintenanceWorkflow& c,
                                               const std::map<std::string, LogIndex>& shown) const {
  std::string who;
  const Role role = role_of(c);
  for (const std::string& proxy : roster_) {
    if (role == Role::kProxy && proxy != c.machine) {
      continue;  // what a proxy still has open only it knows
    }
    if (c.state == WorkflowState::kAnnounced) {
      const auto it = shown.find(proxy);
      if (it != shown.end() && it->second >= c.state_index) {
        continue;
      }
    } else if (c.confirmed_proxies.contains(proxy)) {
      continue;
    }
    who += (who.empty() ? "" : ", ") + proxy;
  }
  return who;
}

std::vector<Command> MaintenanceStateMachine::next_commands(
    const std::map<std::string, LogIndex>& shown) const {
  std::vector<Command> commands;
  const auto say = [&](CommandType what, const std::string& request, const std::string& machine,
                       FencingToken fence) {
    Command c;
    c.type = what, c.issued_at = time_, c.id = request, c.machine = machine,
    c.fencing_token = fence;
    commands.push_back(std::move(c));
  };
  for (const auto& [id, c] : courses_) {
    const auto m = machines_.find(id);
    const bool late = time_ > c.state_since + bounds_.drain_timeout;
    if (c.state < WorkflowState::kOut && (late || paused())) {
      say(CommandType::kCallBack, c.request, id, c.fencing_token);
    } else if (c.state == WorkflowState::kAnnounced && waits_for(c, shown).empty()) {
      say(CommandType::kStartDrain, c.request, id, c.fencing_token);
    } else if (c.state == WorkflowState::kDraining && waits_for(c, shown).empty()) {
      say(CommandType::kConfirmDrained, c.request, id,
          c.fencing_token);  // of nobody: whom it waited for has left
    } else if (c.state == WorkflowState::kDrained) {
      say(CommandType::kMarkOut, c.request, id, c.fencing_token);
    } else if (c.state == WorkflowState::kWarming && m != machines_.end() && m->second.up &&
               m->second.warm) {
      say(CommandType::kMarkWarming, c.request, id, c.fencing_token);
    }
  }
  // One at a time: each announcement changes what the next may be.
  const std::map<Role, Room> rooms{{Role::kBackend, room(Role::kBackend)},
                                   {Role::kProxy, room(Role::kProxy)}};
  for (const Request* q : in_order()) {
    bool starved = false;
    for (const auto& [id, m] : machines_) {
      if (!q->select.matches(m) || q->completed_machines.contains(id) || courses_.contains(id)) {
        continue;
      }
      if (!stands_in_way(*q, m, rooms.at(m.role)).empty()) {
        starved = starved || (time_ - q->requested_at > bounds_.priority_aging_interval &&
                              q->not_before <= time_);
        continue;
      }
      say(CommandType::kAnnounceDrain, q->id, id, 0);
      return commands;
    }
    // One that has waited for long is not passed by later ones, which would take its turn for ever.
    if (starved && !paused() && (q->not_after == 0 || q->not_after >= time_)) {
      break;
    }
  }
  return commands;
}

std::vector<std::string> MaintenanceStateMachine::explain(
    const std::string& id, const std::map<std::string, LogIndex>& shown) const {
  std::vector<std::string> lines;
  const auto it = requests_.find(id);
  if (it == requests_.end()) {
    return {"unknown request"};
  }
  const Request& q = it->second;
  if (q.cancelled) {
    return {"cancelled"};
  }
  if (q.ended) {
    return {"done"};
  }
  for (const auto& [m, c] : courses_) {
    if (c.request != id) {
      continue;
    }
    std::string line = m + " is " + name(c.state);
    if (c.state == WorkflowState::kAnnounced || c.state == WorkflowState::kDraining) {
      if (const std::string who = waits_for(c, shown); !who.empty()) {
        line += ", waiting for " + who;
      }
    }
    const auto listed = machines_.find(m);
    if (c.state == WorkflowState::kOut && listed != machines_.end() && listed->second.up &&
        listed->second.started_at > c.started_at) {
      line += ", and has started again since: done?";
    }
    if (c.state == WorkflowState::kOut && q.work_duration > 0 &&
        time_ > c.state_since + q.work_duration) {
      line += ", longer than expected";
    }
    lines.push_back(line);
  }
  std::set<std::string> reasons;
  const Room now = room(q.select.role);
  bool any = false, free = false;
  for (const auto& [m, machine] : machines_) {
    if (!q.select.matches(machine) || q.completed_machines.contains(m) || courses_.contains(m)) {
      continue;
    }
    any = true;
    const std::string reason = stands_in_way(q, machine, now);
    free = free || reason.empty();
    if (!reason.empty()) {
      reasons.insert(reason);
    }
  }
  if (!any && lines.empty()) {
    lines.push_back("no machine of the list matches it");
  }
  if (!free) {
    lines.insert(lines.end(), reasons.begin(), reasons.end());
  }
  for (const Request* other : in_order()) {
    if (other == &q || !free) {
      break;
    }
    if (time_ - other->requested_at > bounds_.priority_aging_interval) {
      lines.push_back("waits behind " + other->id + ", which has waited longer");
      break;
    }
  }
  return lines;
}

Role MaintenanceStateMachine::role_of(const MaintenanceWorkflow& c) const {
  const auto q = requests_.find(c.request);
  return q == requests_.end() ? Role::kBackend : q->second.select.role;
}

std::map<std::string, MaintenanceStateMachine::DispatchPermission>
MaintenanceStateMachine::dispatch_permissions(Role role) const {
  std::map<std::string, DispatchPermission> all;
  for (const auto& [id, c] : courses_) {
    if (role_of(c) != role || c.state == WorkflowState::kWarming) {
      continue;
    }
    all[id] = {c.state != WorkflowState::kAnnounced, c.state == WorkflowState::kAnnounced,
               c.fencing_token};
  }
  return all;
}

// ---- Snapshots

std::string MaintenanceStateMachine::snapshot() const {
  ByteWriter w;
  w.number(index_).number(time_).number(calm_from_).number(next_fence_);
  put(w, bounds_);
  w.text(trouble_).number(static_cast<std::uint32_t>(requests_.size()));
  for (const auto& [id, q] : requests_) {
    put(w, q);
  }
  w.number(static_cast<std::uint32_t>(courses_.size()));
  for (const auto& [id, c] : courses_) {
    w.text(c.request)
        .text(c.machine)
        .number(c.fencing_token)
        .number(c.state)
        .number(c.state_index)
        .number(c.state_since)
        .number(c.started_at);
    put(w, c.confirmed_proxies);
  }
  put(w, machines_, use_);
  put(w, roster_);
  return w.bytes();
}

bool MaintenanceStateMachine::restore(std::string_view bytes) {
  ByteReader r(bytes);
  MaintenanceStateMachine l;
  l.index_ = r.number<LogIndex>(), l.time_ = r.number<Seconds>(),
  l.calm_from_ = r.number<Seconds>(), l.next_fence_ = r.number<FencingToken>();
  l.bounds_ = maintenance::bounds(r);
  l.trouble_ = r.text(kMaxTextBytes);
  for (auto n = r.number<std::uint32_t>(); n > 0 && r.ok(); --n) {
    Request q = request(r);
    l.requests_.emplace(q.id, std::move(q));
  }
  for (auto n = r.number<std::uint32_t>(); n > 0 && r.ok(); --n) {
    MaintenanceWorkflow c;
    c.request = r.text(kMaxTextBytes), c.machine = r.text(kMaxTextBytes),
    c.fencing_token = r.number<FencingToken>(), c.state = r.number<WorkflowState>();
    c.state_index = r.number<LogIndex>(), c.state_since = r.number<Seconds>(),
    c.started_at = r.number<std::int64_t>();
    c.confirmed_proxies = texts(r);
    if (c.state > WorkflowState::kWarming) {
      return false;
    }
    l.courses_.emplace(c.machine, std::move(c));
  }
  std::vector<Machine> machines;
  read(r, machines, l.use_);
  for (Machine& m : machines) {
    l.machines_.emplace(m.id, std::move(m));
  }
  l.roster_ = texts(r);
  if (!r.done()) {
    return false;
  }
  *this = std::move(l);
  return true;
}

}  // namespace beechhill::maintenance
