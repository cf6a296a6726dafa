#include "membership/probe_schedule.h"

#include <algorithm>
#include <utility>

namespace beechhill::membership {

void LocalHealth::adjust(int delta) {
  const int adjusted = static_cast<int>(penalty_) + delta;
  penalty_ =
      static_cast<unsigned>(std::clamp(adjusted, 0, static_cast<int>(kMaxLocalHealthPenalty)));
}

std::optional<std::string> ProbeRound::next(const MemberTable& table, std::mt19937_64& random) {
  const auto is_active_member = [&table](const std::string& name) {
    const Member* member = table.find(name);
    return member != nullptr && is_active(member->update.state);
  };
  while (!pending_.empty() && !is_active_member(pending_.back())) {
    pending_.pop_back();
  }
  if (pending_.empty()) {
    for (const auto& [name, member] : table.members()) {
      if (is_active(member.update.state)) {
        pending_.push_back(name);
      }
    }
    for (std::size_t i = pending_.size(); i > 1; --i) {
      std::swap(pending_[i - 1], pending_[random() % i]);
    }
  }
  if (pending_.empty()) {
    return std::nullopt;
  }
  std::string member = std::move(pending_.back());
  pending_.pop_back();
  return member;
}

}  // namespace beechhill::membership
