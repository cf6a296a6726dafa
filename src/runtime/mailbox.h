// An actor's bounded queue of messages.
#pragma once

#include <algorithm>
#include <cstddef>
#include <deque>
#include <utility>

#include "runtime/wait.h"

namespace beechhill::runtime {

/// A bounded FIFO queue. One actor receives; any actor on the event loop thread may post. Not
/// thread-safe.
template <typename T>
class Mailbox {
 public:
  explicit Mailbox(std::size_t capacity) : capacity_(capacity) {}

  /// Queues `message`. Returns false and leaves `message` unmoved if the mailbox is full. The
  /// sender must handle a full mailbox.
  [[nodiscard]] bool post(T&& message) {
    if (messages_.size() >= capacity_) {
      return false;
    }
    messages_.push_back(std::move(message));
    arrived_.notify();
    return true;
  }

  /// Removes all queued messages for which `is_replaced` holds and queues `message`, even if the
  /// mailbox is full, so that it may exceed its capacity by one message. Takes linear time.
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
  /// Notified whenever a message is queued.
  Notifier& arrived() { return arrived_; }

 private:
  std::size_t capacity_;
  std::deque<T> messages_;
  Notifier arrived_;
};

}  // namespace beechhill::runtime
