#include "maintenance/leadership_check.h"

#include <algorithm>

namespace beechhill::maintenance {

void LeadershipCheckRounds::begin(Time now) {
  ++round_;
  in_progress_ = true;
  deadline_ = now + timeout_;
  confirmed_ = {self_};
}

void LeadershipCheckRounds::confirm(const std::string& voter, std::uint64_t round) {
  if (in_progress_ && round == round_) {
    confirmed_.insert(voter);
  }
}

bool LeadershipCheckRounds::has_majority(const std::vector<Voter>& voters) const {
  const auto confirmed = std::count_if(voters.begin(), voters.end(), [this](const Voter& voter) {
    return confirmed_.contains(voter.name);
  });
  return 2 * static_cast<std::size_t>(confirmed) > voters.size();
}

}  // namespace beechhill::maintenance
