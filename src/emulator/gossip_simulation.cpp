#include "emulator/gossip_simulation.h"

#include <algorithm>

#include "emulator/units.h"
#include "membership/message_codec.h"

namespace beechhill::emulator {

using membership::MemberState;
using membership::Message;
using membership::Outgoing;

namespace {

constexpr std::uint64_t kGossipStream = 1ULL << 37;
// Number of datagrams that the socket of a stopped process buffers.
constexpr std::size_t kSocketBufferDatagrams = 128;
// Number of bytes that a datagram adds to its payload: MAC, magic number, name with its length,
// boot id, counter, session nonce and channel. Names are about 9 bytes long in this simulation.
constexpr std::size_t kDatagramOverheadBytes = 32 + 4 + 2 + 9 + 8 * 3 + 1;
// A member that was stopped for more than this many probe intervals calls SwimNode::on_resume(), as
// in GossipActor.
constexpr int kResumeGapIntervals = 2;
constexpr Time kNoTick{-1};

// The address of a member is its index.
std::string address_of(std::size_t i) {
  return std::to_string(i);
}

std::size_t index_of_address(const std::string& address) {
  return static_cast<std::size_t>(std::stoul(address));
}

std::size_t index_of_name(const std::string& name) {
  return static_cast<std::size_t>(std::stoul(name.substr(name.find('-') + 1)));
}

}  // namespace

GossipSimulation::GossipSimulation(const GossipSimulationSpec& spec)
    : spec_(spec), random_(spec.seed, Actor::kDiscovery, kGossipStream), members_(spec.members) {
  for (std::size_t i = 0; i < members_.size(); ++i) {
    start(i);
  }
}

void GossipSimulation::start(std::size_t i) {
  Member& member = members_[i];
  ++member.generation;
  member.stopped = false;
  member.pending_messages.clear();
  member.clock_rate = 1 + spec_.drift * (2 * random_.uniform() - 1);
  membership::SwimSettings settings;
  settings.probe_interval = spec_.interval;
  for (std::uint32_t seed = 0; seed < spec_.seeds; ++seed) {
    settings.seed_addresses.push_back(address_of(seed));
  }
  member.swim = std::make_unique<membership::SwimNode>(clock(member), settings, random_.bits(),
                                                       name_of(i), address_of(i), random_.bits());
  member.scheduled_tick = kNoTick;
  schedule_tick(i);
}

void GossipSimulation::kill(std::size_t i) {
  Member& member = members_[i];
  ++member.generation;
  member.swim.reset();
  member.pending_messages.clear();
}

void GossipSimulation::pause(std::size_t i) {
  members_[i].stopped = true;
  members_[i].stopped_at = now_;
}

void GossipSimulation::resume(std::size_t i) {
  Member& member = members_[i];
  if (!member.swim || !std::exchange(member.stopped, false)) {
    return;
  }
  std::vector<Outgoing> out;
  if (now_ - member.stopped_at > kResumeGapIntervals * spec_.interval) {
    member.swim->on_resume(clock(member), out);
  }
  send(i, out);
  for (const auto& [from, message] : std::exchange(member.pending_messages, {})) {
    receive(i, from, message);
  }
  member.scheduled_tick = kNoTick;
  schedule_tick(i);
}

void GossipSimulation::leave(std::size_t i) {
  std::vector<Outgoing> out;
  members_[i].swim->leave(clock(members_[i]), out);
  send(i, out);
  kill(i);
}

void GossipSimulation::run(Duration length) {
  const Time end = now_ + length;
  while (!events_.empty() && events_.top().at <= end) {
    const Event event = events_.top();
    events_.pop();
    now_ = event.at;
    handle(event);
  }
  now_ = end;
}

void GossipSimulation::handle(const Event& event) {
  Member& member = members_[event.to];
  if (!member.swim) {
    return;
  }
  if (!event.message) {
    const bool outdated =
        member.generation != event.generation || event.at != member.scheduled_tick;
    if (!outdated && !member.stopped) {
      tick(event.to);
    }
    return;
  }
  if (!member.stopped) {
    receive(event.to, event.from, *event.message);
  } else if (member.pending_messages.size() < kSocketBufferDatagrams) {
    member.pending_messages.emplace_back(event.from, *event.message);
  }
}

void GossipSimulation::tick(std::size_t i) {
  Member& member = members_[i];
  member.scheduled_tick = kNoTick;
  std::vector<Outgoing> out;
  member.swim->tick(clock(member), out);
  send(i, out);
  schedule_tick(i);
}

void GossipSimulation::receive(std::size_t i, std::size_t from, const Message& message) {
  Member& member = members_[i];
  std::vector<Outgoing> out;
  member.swim->receive(clock(member), name_of(from), address_of(from), message, out);
  send(i, out);
  schedule_tick(i);
}

void GossipSimulation::send(std::size_t i, const std::vector<Outgoing>& out) {
  for (const Outgoing& outgoing : out) {
    traffic_.datagrams += 1;
    traffic_.bytes += membership::encode(outgoing.message).size() + kDatagramOverheadBytes;
    transmit(i, index_of_address(outgoing.to), outgoing.message);
  }
  count_changes(i);
}

void GossipSimulation::count_changes(std::size_t i) {
  for (const membership::MemberChange& change : members_[i].swim->take_changes()) {
    const bool died =
        change.to == MemberState::kDead && !change.joined && change.from != MemberState::kLeft;
    if (died && running(index_of_name(change.name))) {
      ++traffic_.false_deaths;
    }
    if (change.restarted) {
      ++traffic_.restarts_seen;
    }
  }
}

void GossipSimulation::transmit(std::size_t from, std::size_t to, const Message& message) {
  if (to >= members_.size() || (reaches_ && !reaches_(from, to)) ||
      random_.uniform() < spec_.loss) {
    return;
  }
  for (int copies = random_.uniform() < spec_.duplication ? 2 : 1; copies > 0; --copies) {
    const Duration delay = spec_.delay + to_duration(to_s(spec_.delay) * random_.uniform());
    events_.push({now_ + delay, ++next_order_, to, from, 0, message});
  }
}

void GossipSimulation::schedule_tick(std::size_t i) {
  Member& member = members_[i];
  const auto own_time = static_cast<double>(member.swim->next_tick().count());
  // Without the additional microsecond, rounding could make the tick early on the member's clock.
  const Time simulated_time(static_cast<std::int64_t>(own_time / member.clock_rate) + 1);
  const Time due = std::max(now_, simulated_time);
  if (member.scheduled_tick >= now_ && member.scheduled_tick <= due) {
    return;
  }
  member.scheduled_tick = due;
  events_.push({due, ++next_order_, i, i, member.generation, std::nullopt});
}

bool GossipSimulation::has_converged() const {
  for (std::size_t i = 0; i < members_.size(); ++i) {
    if (running(i) && !agrees_with_cluster(i)) {
      return false;
    }
  }
  return true;
}

bool GossipSimulation::agrees_with_cluster(std::size_t i) const {
  std::size_t active = 0;
  for (const auto& [name, member] : members_[i].swim->members()) {
    const bool considered_active = membership::is_active(member.update.state);
    if (considered_active != running(index_of_name(name))) {
      return false;
    }
    active += considered_active;
  }
  std::size_t running_others = 0;
  for (std::size_t other = 0; other < members_.size(); ++other) {
    running_others += other != i && running(other);
  }
  return active == running_others;
}

std::optional<Time> GossipSimulation::dead_since(std::size_t observer, std::size_t other) const {
  const auto& members = members_[observer].swim->members();
  const auto it = members.find(name_of(other));
  if (it == members.end() || it->second.update.state != MemberState::kDead) {
    return std::nullopt;
  }
  const auto own_time = static_cast<double>(it->second.state_since.count());
  return Time(static_cast<std::int64_t>(own_time / members_[observer].clock_rate));
}

}  // namespace beechhill::emulator
