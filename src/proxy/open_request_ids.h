// The trace ids of requests that are open, or were a moment ago.
#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <unordered_set>

#include "beechhill/balancer.h"

namespace beechhill::proxy {

/// A set whose members expire. O(log n) for each call.
class OpenRequestIds {
 public:
  /// Ids held; beyond it the ones that expire first are forgotten early.
  static constexpr std::size_t kMaxIds = std::size_t{32} * 1024;

  /// Inserts `id` until `expiry`. False where it is a member already.
  bool insert(const std::string& id, Time now, Time expiry);

 private:
  std::unordered_set<std::string> ids_;
  std::multimap<Time, std::string> by_expiry_;
};

}  // namespace beechhill::proxy
