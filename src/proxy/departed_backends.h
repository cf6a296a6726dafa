// A bounded memory of the ids of backends that have left the endpoint list.
#pragma once

#include <cstddef>
#include <deque>
#include <string>
#include <unordered_set>

namespace beechhill::proxy {

/// Remembers the ids that departed most recently, so that an operator's command for one of them is
/// told from one for an id that never existed.
class DepartedBackends {
 public:
  /// Ids remembered; beyond it the one that was added first is forgotten.
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
