// Names to dense integers, and back. A forgotten name's integer is given out again.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace beechhill::config {

class Interner {
 public:
  std::uint32_t id(std::string_view name) {
    const auto next = free_.empty() ? static_cast<std::uint32_t>(names_.size()) : free_.back();
    const auto [it, fresh] = ids_.try_emplace(std::string(name), next);
    if (!fresh) {
      return it->second;
    }
    if (free_.empty()) {
      names_.emplace_back(name);
    } else {
      names_[next] = name;
      free_.pop_back();
    }
    return next;
  }
  void forget(std::uint32_t id) {
    ids_.erase(names_[id]);
    free_.push_back(id);
  }
  std::optional<std::uint32_t> known(std::string_view name) const {
    const auto it = ids_.find(std::string(name));
    return it == ids_.end() ? std::nullopt : std::optional(it->second);
  }
  const std::string& name(std::uint32_t id) const { return names_[id]; }

 private:
  std::unordered_map<std::string, std::uint32_t> ids_;
  std::vector<std::string> names_;
  std::vector<std::uint32_t> free_;
};

}  // namespace beechhill::config
