// Maps names to dense integers and back.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace beechhill::config {

/// Assigns integers, from 0 upwards, to names. Each operation takes amortised constant time, plus
/// the time to hash the name.
class Interner {
 public:
  /// Returns the integer of `name`. A name without an integer is assigned a released integer if
  /// there is one, otherwise the lowest integer that was never assigned.
  std::uint32_t id(std::string_view name) {
    const auto next =
        unused_ids_.empty() ? static_cast<std::uint32_t>(names_.size()) : unused_ids_.back();
    const auto [it, is_new] = ids_.try_emplace(std::string(name), next);
    if (!is_new) {
      return it->second;
    }
    if (unused_ids_.empty()) {
      names_.emplace_back(name);
    } else {
      names_[next] = name;
      unused_ids_.pop_back();
    }
    return next;
  }
  /// Removes the name of `id` and releases `id` for reuse. `id` must be in use.
  void release(std::uint32_t id) {
    ids_.erase(names_[id]);
    unused_ids_.push_back(id);
  }
  /// Returns the integer of `name`, or nothing if the name has none.
  std::optional<std::uint32_t> find(std::string_view name) const {
    const auto it = ids_.find(std::string(name));
    return it == ids_.end() ? std::nullopt : std::optional(it->second);
  }
  /// Returns the name of `id`, which must be in use. The reference is valid until the next call of
  /// id().
  const std::string& name(std::uint32_t id) const { return names_[id]; }

 private:
  std::unordered_map<std::string, std::uint32_t> ids_;
  std::vector<std::string> names_;
  std::vector<std::uint32_t> unused_ids_;
};

}  // namespace beechhill::config
