#include "emulator/gossip_simulation.h"

#include <algorithm>

#include "emulator/units.h"
#include "membership/message_codec.h"

namespace beechhill::emulator {

using membership::MemberState;
using membership::Message;

namespace {

constexpr std::uint64_t kTalkStream = 1ULL << 37;
constexpr std::size_t kSocketHolds = 128;  // datagrams for a process that does not read
constexpr std::size_t kGateAdds =
    32 + 4 + 2 + 9 + 8 * 3 +
    1;  // what stands round a payload: MAC, name, life, number, ticket, channel

}  // namespace

GossipSimulation::GossipSimulation(const GossipSimulationSpec& spec)
    : spec_(spec), random_(spec.seed, Actor::kDiscovery, kTalkStream), members_(spec.members) {
  for (std::size_t i = 0; i < members_.size(); ++i) {
    start(i);
  }
}

void GossipSimulation::start(std::size_t i) {
  Member& m = members_[i];
  ++m.life;
  m.stopped = false;
  m.waiting.clear();
  m.rate = 1 + spec_.drift * (2 * random_.uniform() - 1);
  membership::SwimSettings settings;
  settings.probe_interval = spec_.interval;
  for (std::uint32_t s = 0; s < spec_.seeds; ++s) {
    settings.seed_addresses.push_back(std::to_string(s));
  }
  m.swim = std::make_unique<membership::SwimNode>(clock(m), settings, random_.bits(), name_of(i),
                                                  std::to_string(i), random_.bits());
  m.planned = Time{-1};
  plan(i);
}

void GossipSimulation::kill(std::size_t i) {
  ++members_[i].life;
  members_[i].swim.reset();
  members_[i].waiting.clear();
}

void GossipSimulation::stop(std::size_t i) {
  members_[i].stopped = true;
  members_[i].stopped_at = now_;
}

void GossipSimulation::go_on(std::size_t i) {
  Member& m = members_[i];
  if (!m.swim || !std::exchange(m.stopped, false)) {
    return;
  }
  std::vector<membership::Outgoing> out;
  // As the program does: a gap of more than two periods is noticed before anything is read.
  if (now_ - m.stopped_at > 2 * spec_.interval) {
    m.swim->on_resume(clock(m), out);
  }
  carry_out(i, out);
  for (const auto& [from, message] : std::exchange(m.waiting, {})) {
    hear(i, from, message);
  }
  m.planned = Time{-1};
  plan(i);
}

void GossipSimulation::leave(std::size_t i) {
  std::vector<membership::Outgoing> out;
  members_[i].swim->leave(clock(members_[i]), out);
  carry_out(i, out);
  kill(i);
}

void GossipSimulation::run(Duration length) {
  const Time end = now_ + length;
  while (!queue_.empty() && queue_.top().at <= end) {
    const Event h = queue_.top();
    queue_.pop();
    now_ = h.at;
    Member& m = members_[h.to];
    if (!m.swim || (!h.message && m.life != h.life)) {
      continue;
    }
    if (h.message) {
      if (!m.stopped) {
        hear(h.to, h.from, *h.message);
      } else if (m.waiting.size() < kSocketHolds) {
        m.waiting.emplace_back(h.from, *h.message);
      }
      continue;
    }
    if (m.stopped || h.at != m.planned) {
      continue;
    }
    m.planned = Time{-1};
    std::vector<membership::Outgoing> out;
    m.swim->tick(clock(m), out);
    carry_out(h.to, out);
    plan(h.to);
  }
  now_ = end;
}

void GossipSimulation::hear(std::size_t i, std::size_t from, const Message& message) {
  std::vector<membership::Outgoing> out;
  members_[i].swim->receive(clock(members_[i]), name_of(from), std::to_string(from), message, out);
  carry_out(i, out);
  plan(i);
}

void GossipSimulation::carry_out(std::size_t i, std::vector<membership::Outgoing>& out) {
  for (const membership::Outgoing& o : out) {
    books_.datagrams += 1;
    books_.bytes += membership::encode(o.message).size() + kGateAdds;
    deliver(i, place_of(o.to), o.message);
  }
  for (const membership::SwimNode::MemberChange& c : members_[i].swim->take_changes()) {
    const std::size_t other =
        static_cast<std::size_t>(std::stoul(c.name.substr(c.name.find('-') + 1)));
    books_.false_deaths +=
        c.to == MemberState::kDead && !c.joined && c.from != MemberState::kLeft && running(other);
    books_.restarts_seen += c.restarted;
  }
}

void GossipSimulation::deliver(std::size_t from, std::size_t to, const Message& message) {
  if (to >= members_.size() || (passes_ && !passes_(from, to)) || random_.uniform() < spec_.loss) {
    return;
  }
  for (int copies = random_.uniform() < spec_.doubled ? 2 : 1; copies > 0; --copies) {
    const Duration takes = spec_.delay + to_span(to_s(spec_.delay) * random_.uniform());
    queue_.push({now_ + takes, ++order_, to, from, 0, message});
  }
}

void GossipSimulation::plan(std::size_t i) {
  Member& m = members_[i];
  const Time due = std::max(
      now_,
      Time(static_cast<std::int64_t>(static_cast<double>(m.swim->next_tick().count()) / m.rate) +
           1));
  if (m.planned >= now_ && m.planned <= due) {
    return;
  }
  m.planned = due;
  queue_.push({due, ++order_, i, i, m.life, std::nullopt});
}

bool GossipSimulation::agreed() const {
  for (std::size_t i = 0; i < members_.size(); ++i) {
    if (!running(i)) {
      continue;
    }
    std::size_t up = 0;
    for (const auto& [name, held] : members_[i].swim->members()) {
      const std::size_t other =
          static_cast<std::size_t>(std::stoul(name.substr(name.find('-') + 1)));
      const bool alive =
          held.update.state == MemberState::kAlive || held.update.state == MemberState::kSuspect;
      if (alive != running(other)) {
        return false;
      }
      up += alive;
    }
    std::size_t others = 0;
    for (std::size_t j = 0; j < members_.size(); ++j) {
      others += j != i && running(j);
    }
    if (up != others) {
      return false;
    }
  }
  return true;
}

std::optional<Time> GossipSimulation::dead_since(std::size_t watcher, std::size_t other) const {
  const auto it = members_[watcher].swim->members().find(name_of(other));
  if (it == members_[watcher].swim->members().end() ||
      it->second.update.state != MemberState::kDead) {
    return std::nullopt;
  }
  return Time(static_cast<std::int64_t>(static_cast<double>(it->second.state_since.count()) /
                                        members_[watcher].rate));
}

}  // namespace beechhill::emulator
