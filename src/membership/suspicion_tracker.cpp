#include "membership/suspicion_tracker.h"

#include <algorithm>
#include <cmath>

namespace beechhill::membership {
namespace {

// The three constants below are alpha, beta and K of the Lifeguard paper; docs/design/membership.md
// gives measurements with these values.

// Ratio of the shortest timeout in probe intervals to the decimal logarithm of the cluster size.
constexpr double kMinTimeoutIntervals = 4;
// Ratio of the timeout of an unconfirmed suspicion to the shortest timeout.
constexpr double kUnconfirmedFactor = 6;
// Number of confirmations at which the timeout reaches its minimum.
constexpr std::size_t kMaxConfirmations = 3;

}  // namespace

Duration suspicion_timeout(const SuspicionTimeoutInputs& inputs, std::size_t accusers) {
  const double min_intervals =
      kMinTimeoutIntervals *
      std::max(1.0, std::log10(static_cast<double>(inputs.known_members) + 1));
  const std::size_t confirmations = accusers > 0 ? accusers - 1 : 0;
  // Neither the accuser nor the suspect can confirm the suspicion. Without possible confirmations
  // the shortest timeout applies.
  const std::size_t possible_confirmations =
      std::min(kMaxConfirmations, inputs.active_members > 2 ? inputs.active_members - 2 : 0);
  double factor = 1;
  if (possible_confirmations > 0) {
    factor = std::max(
        1.0, kUnconfirmedFactor - (kUnconfirmedFactor - 1) *
                                      std::log(static_cast<double>(confirmations) + 1) /
                                      std::log(static_cast<double>(possible_confirmations) + 1));
  }
  return Duration(static_cast<std::int64_t>(min_intervals * factor *
                                            static_cast<double>(inputs.probe_interval.count())));
}

bool SuspicionTracker::add(Time now, const std::string& member, const std::string& accuser) {
  Suspicion& suspicion = suspicions_.try_emplace(member, Suspicion{{}, now}).first->second;
  if (suspicion.accusers.size() > kMaxConfirmations || accuser.empty()) {
    return false;
  }
  return suspicion.accusers.insert(accuser).second;
}

void SuspicionTracker::restart_timeouts(Time now) {
  for (auto& [member, suspicion] : suspicions_) {
    suspicion.since = now;
  }
}

std::vector<std::string> SuspicionTracker::expired(Time now,
                                                   const SuspicionTimeoutInputs& inputs) const {
  std::vector<std::string> members;
  for (const auto& [member, suspicion] : suspicions_) {
    if (now >= suspicion.since + suspicion_timeout(inputs, suspicion.accusers.size())) {
      members.push_back(member);
    }
  }
  return members;
}

std::optional<Time> SuspicionTracker::next_expiry(const SuspicionTimeoutInputs& inputs) const {
  std::optional<Time> first;
  for (const auto& [member, suspicion] : suspicions_) {
    const Time expiry = suspicion.since + suspicion_timeout(inputs, suspicion.accusers.size());
    first = first ? std::min(*first, expiry) : expiry;
  }
  return first;
}

std::vector<std::string> SuspicionTracker::suspected_by(const std::string& accuser,
                                                        std::size_t max_count) const {
  std::vector<std::string> members;
  for (const auto& [member, suspicion] : suspicions_) {
    if (members.size() == max_count) {
      break;
    }
    if (suspicion.accusers.contains(accuser)) {
      members.push_back(member);
    }
  }
  return members;
}

}  // namespace beechhill::membership
