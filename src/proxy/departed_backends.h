// A bounded set of the ids of backends that have left the endpoint list.
#pragma once

#include <cstddef>
#include <deque>
#include <string>
#include <unordered_set>

namespace beechhill::proxy {

/// Holds the ids of the backends that left the endpoint list most recently. They distinguish an
/// operator's command for such a backend from a command for an id that never existed.
class DepartedBackends {
 public:
  /// Maximum number of ids. When it is exceeded, the id that was added first is evicted.
  static constexpr std::size_t kMaxIds = std::size_t{16} * 1024;

  void add(const std::string& id) {
    if (ids_.insert(id).second) {
      oldest_first_.push_back(id);
    }
    if (oldest_first_.size() > kMaxIds) {
      ids_.erase(oldest_first_.front());
      oldest_first_.pop_front();
    }
  }
  bool contains(const std::string& id) const { return ids_.contains(id); }

 private:
  std::unordered_set<std::string> ids_;
  std::deque<std::string> oldest_first_;
};

}  // namespace beechhill::proxy
