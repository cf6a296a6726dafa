// A bounded set of the trace ids of requests that are open or ended recently.
#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <unordered_set>

#include "beechhill/balancer.h"

namespace beechhill::proxy {

/// A set of ids that expire. Each call takes O(log n).
class OpenRequestIds {
 public:
  /// Maximum number of ids. When it is reached, the ids that expire first are evicted early.
  static constexpr std::size_t kMaxIds = std::size_t{32} * 1024;

  /// Inserts `id` until `expiry`. Returns false if the set already contains it.
  bool insert(const std::string& id, Time now, Time expiry);

 private:
  std::unordered_set<std::string> ids_;
  std::multimap<Time, std::string> by_expiry_;
};

}  // namespace beechhill::proxy
