#include "membership/dissemination_queue.h"

#include <cmath>

namespace beechhill::membership {
namespace {

// Number of transmissions of an update per unit of the binary logarithm of the cluster size (lambda
// in the SWIM paper). docs/design/membership.md gives measurements with this value.
constexpr unsigned kTransmissionFactor = 3;

}  // namespace

unsigned max_transmissions(std::size_t known_members) {
  return static_cast<unsigned>(kTransmissionFactor *
                               std::ceil(std::log2(static_cast<double>(known_members) + 2)));
}

void DisseminationQueue::enqueue(const MemberUpdate& update) {
  const auto it = updates_.find(update.name);
  if (it != updates_.end()) {
    order_.erase({it->second.transmissions, update.name});
  }
  updates_[update.name] = {update, 0};
  order_.insert({0, update.name});
}

std::vector<std::string> DisseminationQueue::piggyback(Message& message,
                                                       const std::string& excluded_a,
                                                       const std::string& excluded_b) const {
  std::vector<std::string> sent;
  for (const auto& [transmissions, name] : order_) {
    if (name == excluded_a || name == excluded_b) {
      continue;
    }
    const MemberUpdate& update = updates_.at(name).update;
    if (!fits(message, update)) {
      break;
    }
    message.updates.push_back(update);
    sent.push_back(name);
  }
  return sent;
}

void DisseminationQueue::count_transmissions(const std::vector<std::string>& members,
                                             unsigned max_transmissions) {
  for (const std::string& name : members) {
    const auto it = updates_.find(name);
    if (it == updates_.end()) {
      continue;
    }
    order_.erase({it->second.transmissions, name});
    if (++it->second.transmissions >= max_transmissions) {
      updates_.erase(it);
    } else {
      order_.insert({it->second.transmissions, name});
    }
  }
}

}  // namespace beechhill::membership
