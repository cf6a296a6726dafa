#include "membership/member_table.h"

#include <xxhash.h>

#include <algorithm>

#include "base/byte_codec.h"

namespace beechhill::membership {

std::uint64_t digest_of(const MemberUpdate& update) {
  const MemberState agreed_state =
      update.state == MemberState::kSuspect ? MemberState::kAlive : update.state;
  base::ByteWriter writer;
  writer.text(update.name);
  writer.number(agreed_state);
  writer.number(update.incarnation);
  writer.number(update.boot_id);
  return XXH64(writer.bytes().data(), writer.bytes().size(), 0);
}

const Member* MemberTable::find(const std::string& name) const {
  const auto it = members_.find(name);
  return it == members_.end() ? nullptr : &it->second;
}

const MemberUpdate& MemberTable::update_of(const std::string& name) const {
  return members_.at(name).update;
}

std::size_t MemberTable::active_count() const {
  return static_cast<std::size_t>(
      std::count_if(members_.begin(), members_.end(),
                    [](const auto& entry) { return is_active(entry.second.update.state); }));
}

void MemberTable::set(Time now, const MemberUpdate& update) {
  const auto [it, joined] = members_.try_emplace(update.name);
  Member& member = it->second;
  const MemberState previous_state = joined ? MemberState::kDead : member.update.state;
  const bool restarted = !joined && update.boot_id != member.update.boot_id;
  if (!joined) {
    digest_ ^= digest_of(member.update);
  }
  if (joined || previous_state != update.state || restarted) {
    changes_.push_back({update.name, previous_state, update.state, restarted, joined});
    member.state_since = now;
  }
  member.update = update;
  digest_ ^= digest_of(update);
}

void MemberTable::forget_inactive(Time now, Duration age) {
  std::erase_if(members_, [&](const auto& entry) {
    const Member& member = entry.second;
    if (is_active(member.update.state) || now < member.state_since + age) {
      return false;
    }
    digest_ ^= digest_of(member.update);
    return true;
  });
}

std::vector<MemberUpdate> MemberTable::page_after(const std::string& after) const {
  Message page;
  for (auto it = members_.upper_bound(after); it != members_.end() && fits(page, it->second.update);
       ++it) {
    page.updates.push_back(it->second.update);
  }
  return std::move(page.updates);
}

std::vector<std::string> MemberTable::sample(std::size_t count,
                                             const std::function<bool(const Member&)>& predicate,
                                             std::mt19937_64& random) const {
  std::vector<std::string> candidates;
  for (const auto& [name, member] : members_) {
    if (predicate(member)) {
      candidates.push_back(name);
    }
  }
  std::vector<std::string> chosen;
  while (chosen.size() < count && !candidates.empty()) {
    const std::size_t i = random() % candidates.size();
    chosen.push_back(std::exchange(candidates[i], candidates.back()));
    candidates.pop_back();
  }
  return chosen;
}

}  // namespace beechhill::membership
