// An actor's bounded queue of messages.
#pragma once

#include <algorithm>
#include <cstddef>
#include <deque>
#include <utility>

#include "runtime/wait.h"

namespace beechhill::runtime {

/// One actor receives; any other on the event loop thread may post. Not thread-safe.
template <typename T>
class Mailbox {
 public:
  explicit Mailbox(std::size_t capacity) : capacity_(capacity) {}

  /// Queues `message`. Where the mailbox is full, returns false and leaves `message` unmoved: the
  /// sender decides what that means.
  [[nodiscard]] bool post(T&& message) {
    if (messages_.size() >= capacity_) {
      return false;
    }
    messages_.push_back(std::move(message));
    arrived_.notify();
    return true;
  }

  /// Queues `message` in place of all queued ones for which `is_replaced` holds, also where the
  /// mailbox is full: it exceeds its capacity by at most one such message. O(n).
  template <typename Predicate>
  void replace(T message, const Predicate& is_replaced) {
    std::erase_if(messages_, is_replaced);
    messages_.push_back(std::move(message));
    arrived_.notify();
  }

  /// Removes and returns the oldest message. The mailbox must not be empty.
  T take() {
    T first = std::move(messages_.front());
    messages_.pop_front();
    return first;
  }

  std::size_t size() const { return messages_.size(); }
  bool empty() const { return messages_.empty(); }
  /// Notified with each message.
  Notifier& arrived() { return arrived_; }

 private:
  std::size_t capacity_;
  std::deque<T> messages_;
  Notifier arrived_;
};

}  // namespace beechhill::runtime
