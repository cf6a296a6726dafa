/// A container whose ids stay unique: a slot that is reused gets a new id.
#pragma once

#include <cstddef>
#include <cstdint>
#include <utility>
#include <vector>

namespace beechhill::emulator {

/// Owns elements of `T` and identifies each by a 64-bit id, made of its slot and the slot's
/// generation. No id is 0. All operations take O(1) time, amortised for add().
template <typename T>
class Slab {
 public:
  std::uint64_t add(T element) {
    std::uint32_t index = 0;
    if (free_slots_.empty()) {
      index = static_cast<std::uint32_t>(slots_.size());
      slots_.emplace_back();
    } else {
      index = free_slots_.back();
      free_slots_.pop_back();
    }
    Slot& slot = slots_[index];
    slot.element = std::move(element);
    slot.used = true;
    ++live_;
    return (static_cast<std::uint64_t>(slot.generation) << 32) | index;
  }

  /// Returns null if the element has been removed. The pointer is valid until the next add().
  T* find(std::uint64_t id) {
    const auto index = static_cast<std::uint32_t>(id);
    if (index >= slots_.size()) {
      return nullptr;
    }
    Slot& slot = slots_[index];
    return slot.used && slot.generation == id >> 32 ? &slot.element : nullptr;
  }

  /// Does nothing if the element has already been removed.
  void remove(std::uint64_t id) {
    if (!find(id)) {
      return;
    }
    Slot& slot = slots_[static_cast<std::uint32_t>(id)];
    slot.element = T{};
    slot.used = false;
    ++slot.generation;
    --live_;
    free_slots_.push_back(static_cast<std::uint32_t>(id));
  }

  /// Number of elements in the container.
  std::size_t live() const { return live_; }

 private:
  struct Slot {
    T element{};
    // Starts at 1, so that no id is 0.
    std::uint32_t generation = 1;
    bool used = false;
  };
  std::vector<Slot> slots_;
  std::vector<std::uint32_t> free_slots_;
  std::size_t live_ = 0;
};

}  // namespace beechhill::emulator
