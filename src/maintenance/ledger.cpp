#include "maintenance/ledger.h"

#include <algorithm>
#include <cmath>
#include <tuple>

#include "membership/bytes.h"

namespace beechhill::maintenance {

using membership::Reader;
using membership::Writer;

namespace {

constexpr Seconds kKeepEnded = 86'400;  // ended requests are listed for a day
constexpr const char* kNoChange = "nothing_to_change";

void put(Writer& w, const std::set<std::string>& texts) {
  w.number(static_cast<std::uint32_t>(texts.size()));
  for (const std::string& t : texts) {
    w.text(t);
  }
}

// Counts are bounded by what is left to read: a text takes two bytes at the least.
std::set<std::string> texts(Reader& r) {
  std::set<std::string> all;
  for (auto n = r.number<std::uint32_t>(); n > 0 && r.ok(); --n) {
    all.insert(r.text(kLongestText));
  }
  return all;
}

void put_real(Writer& w, double v) {
  w.number(static_cast<std::int64_t>(std::llround(v * 1e6)));
}
double real(Reader& r) {
  return static_cast<double>(r.number<std::int64_t>()) / 1e6;
}

void put(Writer& w, const Machine& m) {
  w.text(m.id)
      .text(m.zone)
      .text(m.cell)
      .text(m.kind)
      .number(m.role)
      .number(m.up)
      .number(m.warm)
      .number(m.born);
  put_real(w, m.width);
}

Machine machine(Reader& r) {
  Machine m;
  m.id = r.text(kLongestText), m.zone = r.text(kLongestText), m.cell = r.text(kLongestText),
  m.kind = r.text(kLongestText);
  m.role = r.number<Role>(), m.up = r.number<bool>(), m.warm = r.number<bool>(),
  m.born = r.number<std::int64_t>();
  m.width = real(r);
  return m;
}

void put(Writer& w, const Request& q) {
  w.text(q.id).number(q.select.role).text(q.select.zone).text(q.select.cell).text(q.select.kind);
  put(w, q.select.ids);
  w.number(q.at_once)
      .number(q.length)
      .number(q.not_before)
      .number(q.not_after)
      .number(q.priority)
      .text(q.by)
      .text(q.why);
  w.number(q.approved).number(q.held).number(q.cancelled).number(q.ended).number(q.asked);
  put(w, q.done);
  w.number(static_cast<std::uint32_t>(q.put_off.size()));
  for (const auto& [id, until] : q.put_off) {
    w.text(id).number(until);
  }
}

Request request(Reader& r) {
  Request q;
  q.id = r.text(kLongestText), q.select.role = r.number<Role>();
  q.select.zone = r.text(kLongestText), q.select.cell = r.text(kLongestText),
  q.select.kind = r.text(kLongestText);
  q.select.ids = texts(r);
  q.at_once = r.number<std::uint32_t>(), q.length = r.number<Seconds>(),
  q.not_before = r.number<Seconds>();
  q.not_after = r.number<Seconds>(), q.priority = r.number<std::int32_t>();
  q.by = r.text(kLongestText), q.why = r.text(kLongestText);
  q.approved = r.number<bool>(), q.held = r.number<bool>(), q.cancelled = r.number<bool>(),
  q.ended = r.number<bool>();
  q.asked = r.number<Seconds>();
  q.done = texts(r);
  for (auto n = r.number<std::uint32_t>(); n > 0 && r.ok(); --n) {
    const std::string id = r.text(kLongestText);
    q.put_off[id] = r.number<Seconds>();
  }
  return q;
}

void put(Writer& w, const Bounds& b) {
  put_real(w, b.reserve);
  w.number(b.most_out)
      .number(b.most_out_zone)
      .number(b.most_out_cell)
      .number(b.keep_zone)
      .number(b.keep_cell)
      .number(b.least_proxies);
  w.number(b.evacuate_within)
      .number(b.put_off)
      .number(b.age_step)
      .number(b.calm)
      .number(b.needs_approval);
}

Bounds bounds(Reader& r) {
  Bounds b;
  b.reserve = real(r);
  b.most_out = r.number<std::uint32_t>(), b.most_out_zone = r.number<std::uint32_t>(),
  b.most_out_cell = r.number<std::uint32_t>();
  b.keep_zone = r.number<bool>(), b.keep_cell = r.number<bool>(),
  b.least_proxies = r.number<std::uint32_t>();
  b.evacuate_within = r.number<Seconds>(), b.put_off = r.number<Seconds>(),
  b.age_step = r.number<Seconds>(), b.calm = r.number<Seconds>();
  b.needs_approval = r.number<bool>();
  return b;
}

void put(Writer& w, const std::map<std::string, Machine>& machines,
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

void read(Reader& r, std::vector<Machine>& machines, std::map<std::string, double>& use) {
  for (auto n = r.number<std::uint32_t>(); n > 0 && r.ok(); --n) {
    machines.push_back(machine(r));
  }
  for (auto n = r.number<std::uint32_t>(); n > 0 && r.ok(); --n) {
    const std::string zone = r.text(kLongestText);
    use[zone] = real(r);
  }
}

}  // namespace

const char* name(Step step) {
  static constexpr const char* kNames[] = {"announced", "evacuating", "empty", "out", "warming"};
  return kNames[static_cast<std::size_t>(step)];
}

bool Select::matches(const Machine& m) const {
  return m.role == role && (ids.empty() || ids.contains(m.id)) &&
         (zone.empty() || zone == m.zone) && (cell.empty() || cell == m.cell) &&
         (kind.empty() || kind == m.kind);
}

std::string encode(const Command& c) {
  Writer w;
  w.number(c.what).number(c.at).text(c.id).text(c.machine).text(c.proxy).text(c.by).number(c.fence);
  w.number(c.request.has_value());
  if (c.request) {
    put(w, *c.request);
  }
  w.number(c.bounds.has_value());
  if (c.bounds) {
    put(w, *c.bounds);
  }
  std::map<std::string, Machine> machines;
  for (const Machine& m : c.machines) {
    machines[m.id] = m;
  }
  put(w, machines, c.use);
  put(w, c.gone);
  w.text(c.trouble);
  return w.bytes();
}

std::optional<Command> decode(std::string_view bytes) {
  Reader r(bytes);
  Command c;
  c.what = r.number<What>(), c.at = r.number<Seconds>();
  c.id = r.text(kLongestText), c.machine = r.text(kLongestText), c.proxy = r.text(kLongestText),
  c.by = r.text(kLongestText);
  c.fence = r.number<Fence>();
  if (r.number<bool>()) {
    c.request = request(r);
  }
  if (r.number<bool>()) {
    c.bounds = bounds(r);
  }
  read(r, c.machines, c.use);
  c.gone = texts(r);
  c.trouble = r.text(kLongestText);
  if (!r.done() || c.what > What::kCallBack || c.machines.size() > kMostMachines) {
    return std::nullopt;
  }
  return c;
}

// ---- What is settled

const char* Ledger::apply(Index index, const Command& c) {
  index_ = std::max(index_, index);
  time_ = std::max(time_, c.at);  // clocks step, and leaders change
  switch (c.what) {
    case What::kAsk:
      return ask(c);
    case What::kApprove:
    case What::kHold:
    case What::kResume:
    case What::kCancel:
      return of_request(c);
    case What::kBounds:
      if (!c.bounds || *c.bounds == bounds_) {
        return kNoChange;
      }
      bounds_ = *c.bounds;
      return nullptr;
    case What::kFacts:
      facts(c);
      return nullptr;
    case What::kTime:
      tidy();
      return nullptr;
    case What::kJoin:
      if (roster_.size() >= kMostRoster) {
        return "too_many_proxies";
      }
      return roster_.insert(c.proxy).second ? nullptr : kNoChange;
    case What::kLeave:
    case What::kForget:
      return roster_.erase(c.proxy) > 0 ? nullptr : "unknown_proxy";
    case What::kAnnounce:
      return announce(c);
    case What::kConfirm:
      return confirm(c);
    case What::kDone:
    case What::kGrant:
    case What::kOut:
    case What::kWarm:
    case What::kCallBack:
      return advance(c);
  }
  return "unknown";
}

// A request of the same id is the same request: it was sent twice.
const char* Ledger::ask(const Command& c) {
  if (!c.request || c.request->id.empty()) {
    return "no_request";
  }
  const auto there = requests_.find(c.request->id);
  if (there != requests_.end()) {
    return there->second.select.ids == c.request->select.ids && there->second.by == c.request->by
               ? kNoChange
               : "id_is_taken";
  }
  if (requests_.size() >= kMostRequests) {
    return "too_many_requests";
  }
  Request q = *c.request;
  q.approved = !bounds_.needs_approval;
  q.held = q.cancelled = q.ended = false;
  q.asked = time_;
  q.done.clear(), q.put_off.clear();
  q.at_once = std::max<std::uint32_t>(1, q.at_once);
  requests_.emplace(q.id, std::move(q));
  return nullptr;
}

const char* Ledger::of_request(const Command& c) {
  const auto it = requests_.find(c.id);
  if (it == requests_.end()) {
    return "unknown_request";
  }
  Request& q = it->second;
  if (!q.open()) {
    return "ended";
  }
  bool* const flag = c.what == What::kApprove  ? &q.approved
                     : c.what == What::kCancel ? &q.cancelled
                                               : &q.held;
  const bool value = c.what != What::kResume;
  if (*flag == value) {
    return kNoChange;
  }
  *flag = value;
  // What has not been said to be out is called back; staff end the work on what is.
  if (c.what == What::kHold || c.what == What::kCancel) {
    std::vector<std::string> back;
    for (const auto& [id, course] : courses_) {
      if (course.request == c.id && course.step < Step::kOut) {
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

void Ledger::facts(const Command& c) {
  for (const std::string& id : c.gone) {
    machines_.erase(id);
  }
  for (const Machine& m : c.machines) {
    if (machines_.contains(m.id) || machines_.size() < kMostMachines) {
      machines_[m.id] = m;
    }
  }
  use_ = c.use;
  trouble_ = c.trouble;
  if (!trouble_.empty()) {
    calm_from_ = time_ + bounds_.calm;
  }
  tidy();
}

// The bounds are looked at once more: what was true when the leader reckoned may not be so any
// more.
const char* Ledger::announce(const Command& c) {
  const auto q = requests_.find(c.id);
  const auto m = machines_.find(c.machine);
  if (q == requests_.end() || m == machines_.end()) {
    return "unknown";
  }
  if (!stands_in_way(q->second, m->second, room(m->second.role)).empty()) {
    return "bound";
  }
  courses_[c.machine] = {c.id,   c.machine, next_fence_++,  Step::kAnnounced,
                         index_, time_,     m->second.born, {}};
  return nullptr;
}

// A course goes on by its fence alone: a word that belongs to an earlier one changes nothing.
const char* Ledger::advance(const Command& c) {
  const auto it = courses_.find(c.machine);
  if (it == courses_.end() || (c.fence != 0 && it->second.fence != c.fence)) {
    return "other_course";
  }
  Course& course = it->second;
  const auto to = [&](Step from, Step step) -> const char* {
    if (course.step != from) {
      return "other_step";
    }
    course.step = step, course.since = time_, course.since_index = index_;
    return nullptr;
  };
  switch (c.what) {
    case What::kGrant:
      if (paused()) {
        return "paused";
      }
      return to(Step::kAnnounced, Step::kEvacuating);
    case What::kOut:
      if (paused()) {
        return "paused";
      }
      if (const auto m = machines_.find(c.machine); m != machines_.end()) {
        course.born = m->second.born;
      }
      return to(Step::kEmpty, Step::kOut);
    case What::kDone:  // staff's word alone: a start that the list tells late may be one from
                       // before the work
      if (course.request != c.id) {
        return "other_request";
      }
      return to(Step::kOut, Step::kWarming);
    case What::kWarm:
      if (course.step != Step::kWarming) {
        return "other_step";
      }
      drop(c.machine, true);
      return nullptr;
    case What::kCallBack:
      if (course.step >= Step::kOut) {
        return "other_step";
      }
      drop(c.machine, false);
      return nullptr;
    default:
      return "unknown";
  }
}

const char* Ledger::confirm(const Command& c) {
  const auto it = courses_.find(c.machine);
  if (it == courses_.end() || it->second.fence != c.fence) {
    return "other_course";
  }
  Course& course = it->second;
  if (course.step != Step::kEvacuating) {
    return "other_step";
  }
  if (!course.confirmed.insert(c.proxy).second) {
    return kNoChange;
  }
  if (waits_for(course, {}).empty()) {
    course.step = Step::kEmpty, course.since = time_, course.since_index = index_;
  }
  return nullptr;
}

void Ledger::drop(const std::string& machine, bool done) {
  const auto it = courses_.find(machine);
  const auto q = requests_.find(it->second.request);
  if (q != requests_.end() && done) {
    q->second.done.insert(machine), q->second.put_off.erase(machine);
  }
  if (q != requests_.end() && !done) {
    q->second.put_off[machine] = time_ + bounds_.put_off;
  }
  courses_.erase(it);
  tidy();
}

// A request ends once all that match it are done; ended ones are forgotten after a day.
void Ledger::tidy() {
  for (auto& [id, q] : requests_) {
    if (!q.open()) {
      continue;
    }
    bool left = machines_.empty();
    for (const auto& [m, machine] : machines_) {
      left = left || (q.select.matches(machine) && !q.done.contains(m));
    }
    for (const auto& [m, course] : courses_) {
      left = left || course.request == id;
    }
    // One that nothing has matched yet waits: the list may be behind.
    if (!left && !q.done.empty()) {
      q.ended = true;
    }
  }
  std::erase_if(requests_, [this](const auto& r) {
    const bool busy = std::any_of(courses_.begin(), courses_.end(),
                                  [&](const auto& c) { return c.second.request == r.first; });
    return !r.second.open() && !busy && time_ > r.second.asked + kKeepEnded;
  });
}

// ---- The order

std::int64_t Ledger::rank(const Request& q) const {
  return q.priority + (bounds_.age_step > 0 ? (time_ - q.asked) / bounds_.age_step : 0);
}

std::vector<const Request*> Ledger::in_order() const {
  std::vector<const Request*> all;
  for (const auto& [id, q] : requests_) {
    if (q.open() && q.approved && !q.held) {
      all.push_back(&q);
    }
  }
  std::sort(all.begin(), all.end(), [this](const Request* a, const Request* b) {
    return std::tuple(-rank(*a), a->asked, a->id) < std::tuple(-rank(*b), b->asked, b->id);
  });
  return all;
}

Ledger::Room Ledger::room(Role role) const {
  Room r;
  for (const auto& [id, m] : machines_) {
    if (m.role != role) {
      continue;
    }
    const auto use = use_.find(m.zone);
    const double needed = use == use_.end() ? 0 : use->second * m.width;
    for (Place* p : {&r.whole, &r.zones[m.zone], &r.cells[{m.zone, m.cell}]}) {
      p->needed += needed;
      p->out += out(m);
      if (serves(m)) {
        p->left += m.width, ++p->serving;
      }
    }
  }
  for (const auto& [id, c] : courses_) {
    r.unlisted += !machines_.contains(id);
  }
  return r;
}

std::string Ledger::stands_in_way(const Request& q, const Machine& m, const Room& room) const {
  if (!q.open()) {
    return "the request has ended";
  }
  if (!q.approved) {
    return "not approved";
  }
  if (q.held) {
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
  if (!q.select.matches(m) || q.done.contains(m.id)) {
    return "not of this request";
  }
  if (const auto off = q.put_off.find(m.id); off != q.put_off.end() && off->second > time_) {
    return m.id + " was called back and is put off";
  }
  if (const auto there = courses_.find(m.id); there != courses_.end()) {
    return m.id + " is in work for " + there->second.request;
  }
  const auto own = std::count_if(courses_.begin(), courses_.end(),
                                 [&q](const auto& c) { return c.second.request == q.id; });
  if (own >= q.at_once) {
    return "at_once: " + std::to_string(own) + " of this request are out";
  }
  const Place& zone = room.zones.at(m.zone);
  const Place& cell = room.cells.at({m.zone, m.cell});
  const std::uint32_t all_out = room.whole.out + room.unlisted, zone_out = zone.out + room.unlisted,
                      cell_out = cell.out + room.unlisted;
  if (all_out >= bounds_.most_out) {
    return "most_out: " + std::to_string(all_out) + " are out";
  }
  if (zone_out >= bounds_.most_out_zone) {
    return "most_out_zone: " + std::to_string(zone_out) + " are out in " + m.zone;
  }
  if (cell_out >= bounds_.most_out_cell) {
    return "most_out_cell: " + std::to_string(cell_out) + " are out in " + m.cell;
  }
  // What would be left without this one, if it serves.
  const std::uint32_t one = serves(m);
  const double width = one > 0 ? m.width : 0;
  if (m.role == Role::kProxy) {
    return zone.serving - one < bounds_.least_proxies
               ? "least_proxies: " + std::to_string(zone.serving - one) + " would be left in " +
                     m.zone
               : "";
  }
  if (room.whole.left - width < room.whole.needed * (1 + bounds_.reserve)) {
    return "reserve: what would be left does not bear the load with the reserve";
  }
  if (zone.left - width < zone.needed * (1 + bounds_.reserve)) {
    return "reserve: what would be left in " + m.zone + " does not bear its load with the reserve";
  }
  if (bounds_.keep_zone && zone.serving == one) {
    return "keep_zone: the last in " + m.zone;
  }
  if (bounds_.keep_cell && cell.serving == one) {
    return "keep_cell: the last in " + m.cell;
  }
  return {};
}

std::string Ledger::waits_for(const Course& c, const std::map<std::string, Index>& shown) const {
  std::string who;
  const Role role = role_of(c);
  for (const std::string& proxy : roster_) {
    if (role == Role::kProxy && proxy != c.machine) {
      continue;  // what a proxy still has open only it knows
    }
    if (c.step == Step::kAnnounced) {
      const auto it = shown.find(proxy);
      if (it != shown.end() && it->second >= c.since_index) {
        continue;
      }
    } else if (c.confirmed.contains(proxy)) {
      continue;
    }
    who += (who.empty() ? "" : ", ") + proxy;
  }
  return who;
}

std::vector<Command> Ledger::next(const std::map<std::string, Index>& shown) const {
  std::vector<Command> commands;
  const auto say = [&](What what, const std::string& request, const std::string& machine,
                       Fence fence) {
    Command c;
    c.what = what, c.at = time_, c.id = request, c.machine = machine, c.fence = fence;
    commands.push_back(std::move(c));
  };
  for (const auto& [id, c] : courses_) {
    const auto m = machines_.find(id);
    const bool late = time_ > c.since + bounds_.evacuate_within;
    if (c.step < Step::kOut && (late || paused())) {
      say(What::kCallBack, c.request, id, c.fence);
    } else if (c.step == Step::kAnnounced && waits_for(c, shown).empty()) {
      say(What::kGrant, c.request, id, c.fence);
    } else if (c.step == Step::kEvacuating && waits_for(c, shown).empty()) {
      say(What::kConfirm, c.request, id, c.fence);  // of nobody: whom it waited for has left
    } else if (c.step == Step::kEmpty) {
      say(What::kOut, c.request, id, c.fence);
    } else if (c.step == Step::kWarming && m != machines_.end() && m->second.up && m->second.warm) {
      say(What::kWarm, c.request, id, c.fence);
    }
  }
  // One at a time: each announcement changes what the next may be.
  const std::map<Role, Room> rooms{{Role::kBackend, room(Role::kBackend)},
                                   {Role::kProxy, room(Role::kProxy)}};
  for (const Request* q : in_order()) {
    bool starved = false;
    for (const auto& [id, m] : machines_) {
      if (!q->select.matches(m) || q->done.contains(id) || courses_.contains(id)) {
        continue;
      }
      if (!stands_in_way(*q, m, rooms.at(m.role)).empty()) {
        starved = starved || (time_ - q->asked > bounds_.age_step && q->not_before <= time_);
        continue;
      }
      say(What::kAnnounce, q->id, id, 0);
      return commands;
    }
    // One that has waited for long is not passed by later ones, which would take its turn for ever.
    if (starved && !paused() && (q->not_after == 0 || q->not_after >= time_)) {
      break;
    }
  }
  return commands;
}

std::vector<std::string> Ledger::explain(const std::string& id,
                                         const std::map<std::string, Index>& shown) const {
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
    std::string line = m + " is " + name(c.step);
    if (c.step == Step::kAnnounced || c.step == Step::kEvacuating) {
      if (const std::string who = waits_for(c, shown); !who.empty()) {
        line += ", waiting for " + who;
      }
    }
    const auto listed = machines_.find(m);
    if (c.step == Step::kOut && listed != machines_.end() && listed->second.up &&
        listed->second.born > c.born) {
      line += ", and has started again since: done?";
    }
    if (c.step == Step::kOut && q.length > 0 && time_ > c.since + q.length) {
      line += ", longer than expected";
    }
    lines.push_back(line);
  }
  std::set<std::string> reasons;
  const Room now = room(q.select.role);
  bool any = false, free = false;
  for (const auto& [m, machine] : machines_) {
    if (!q.select.matches(machine) || q.done.contains(m) || courses_.contains(m)) {
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
    if (time_ - other->asked > bounds_.age_step) {
      lines.push_back("waits behind " + other->id + ", which has waited longer");
      break;
    }
  }
  return lines;
}

Role Ledger::role_of(const Course& c) const {
  const auto q = requests_.find(c.request);
  return q == requests_.end() ? Role::kBackend : q->second.select.role;
}

std::map<std::string, Ledger::Right> Ledger::rights(Role role) const {
  std::map<std::string, Right> all;
  for (const auto& [id, c] : courses_) {
    if (role_of(c) != role || c.step == Step::kWarming) {
      continue;
    }
    all[id] = {c.step != Step::kAnnounced, c.step == Step::kAnnounced, c.fence};
  }
  return all;
}

// ---- Snapshots

std::string Ledger::snapshot() const {
  Writer w;
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
        .number(c.fence)
        .number(c.step)
        .number(c.since_index)
        .number(c.since)
        .number(c.born);
    put(w, c.confirmed);
  }
  put(w, machines_, use_);
  put(w, roster_);
  return w.bytes();
}

bool Ledger::restore(std::string_view bytes) {
  Reader r(bytes);
  Ledger l;
  l.index_ = r.number<Index>(), l.time_ = r.number<Seconds>(), l.calm_from_ = r.number<Seconds>(),
  l.next_fence_ = r.number<Fence>();
  l.bounds_ = maintenance::bounds(r);
  l.trouble_ = r.text(kLongestText);
  for (auto n = r.number<std::uint32_t>(); n > 0 && r.ok(); --n) {
    Request q = request(r);
    l.requests_.emplace(q.id, std::move(q));
  }
  for (auto n = r.number<std::uint32_t>(); n > 0 && r.ok(); --n) {
    Course c;
    c.request = r.text(kLongestText), c.machine = r.text(kLongestText), c.fence = r.number<Fence>(),
    c.step = r.number<Step>();
    c.since_index = r.number<Index>(), c.since = r.number<Seconds>(),
    c.born = r.number<std::int64_t>();
    c.confirmed = texts(r);
    if (c.step > Step::kWarming) {
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
