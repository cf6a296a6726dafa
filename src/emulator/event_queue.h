// What is to happen, in order of time and, within one instant, of being asked for.
#pragma once

#include <cstdint>
#include <queue>
#include <vector>

#include "beechhill/balancer.h"

namespace beechhill::emulator {

enum class Kind : std::uint8_t {
  kArrival,      // the next first try
  kTry,          // a: operation; a client's retry
  kSubCall,      // a: job; its next call to the tier below
  kJobArrives,   // a: job; an attempt's last byte is at its node
  kPhaseDone,    // a: job; its core is free again
  kOutcome,      // a: job; what became of it is back at the proxy
  kCancelled,    // a: call, b: attempt
  kDeadline,     // a: call
  kOverdue,      // a: call; the grace after its deadline is over too
  kTimer,        // a: proxy, b: its life, c: token
  kTold,         // a: proxy, b: its life, c: index of the message
  kProbeDone,    // a: proxy, b: its life, c: server, d: whether it answered
  kFaultBegins,  // a: fault
  kFaultEnds,    // a: fault
  kReplace,      // a: fault, b: how many nodes have been replaced
  kNodeGone,     // a: tier, b: node; a drained node leaves
  kSecond,       // a: number of the window that ends
  kLeft,         // a: operation, b: its try; the client of a stopped proxy waits no longer
  kWake,  // a: proxy, b: its life, c: whether discovery answers; a continued proxy has heard, or
          // waited enough
};

struct ScheduledEvent {
  Time at{0};
  std::uint64_t order = 0;
  Kind kind = Kind::kArrival;
  std::uint64_t a = 0, b = 0, c = 0, d = 0;

  bool operator>(const ScheduledEvent& o) const { return at != o.at ? at > o.at : order > o.order; }
};

class EventQueue {
 public:
  void add(Time at, Kind kind, std::uint64_t a = 0, std::uint64_t b = 0, std::uint64_t c = 0,
           std::uint64_t d = 0) {
    heap_.push(ScheduledEvent{at, next_++, kind, a, b, c, d});
  }
  bool empty() const { return heap_.empty(); }
  const ScheduledEvent& top() const { return heap_.top(); }
  void pop() { heap_.pop(); }

 private:
  std::priority_queue<ScheduledEvent, std::vector<ScheduledEvent>, std::greater<>> heap_;
  std::uint64_t next_ = 0;
};

// Things with ids that are never mistaken for what stood at the same place before: place and
// generation.
template <typename T>
class Slab {
 public:
  std::uint64_t add(T thing) {
    std::uint32_t place = 0;
    if (free_.empty()) {
      place = static_cast<std::uint32_t>(cells_.size());
      cells_.emplace_back();
    } else {
      place = free_.back();
      free_.pop_back();
    }
    Cell& cell = cells_[place];
    cell.thing = std::move(thing);
    cell.used = true;
    ++live_;
    return (static_cast<std::uint64_t>(cell.generation) << 32) | place;
  }
  // Null where it is no more. Good until the next add.
  T* find(std::uint64_t id) {
    const auto place = static_cast<std::uint32_t>(id);
    if (place >= cells_.size()) {
      return nullptr;
    }
    Cell& cell = cells_[place];
    return cell.used && cell.generation == id >> 32 ? &cell.thing : nullptr;
  }
  void remove(std::uint64_t id) {
    if (!find(id)) {
      return;
    }
    Cell& cell = cells_[static_cast<std::uint32_t>(id)];
    cell.thing = T{};
    cell.used = false;
    ++cell.generation;
    --live_;
    free_.push_back(static_cast<std::uint32_t>(id));
  }
  std::size_t live() const { return live_; }

 private:
  struct Cell {
    T thing{};
    std::uint32_t generation = 1;  // so that no id is 0
    bool used = false;
  };
  std::vector<Cell> cells_;
  std::vector<std::uint32_t> free_;
  std::size_t live_ = 0;
};

}  // namespace beechhill::emulator
