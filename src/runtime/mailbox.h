// An actor's bounded queue of messages. One actor receives; anyone on the thread may post.
#pragma once

#include <deque>
#include <utility>

#include "runtime/scheduler.h"

namespace beechhill::runtime {

template <typename T>
class Mailbox {
 public:
  explicit Mailbox(std::size_t capacity) : capacity_(capacity) {}

  // False, with the message left as it was, when the box is full: the sender decides what that
  // means.
  [[nodiscard]] bool post(T&& message) {
    if (messages_.size() >= capacity_) {
      return false;
    }
    messages_.push_back(std::move(message));
    arrived_.notify();
    return true;
  }
  // Of the messages that are alike only this one stands, however full the box is: one such more
  // than its capacity at the most.
  template <typename Alike>
  void replace(T message, const Alike& alike) {
    std::erase_if(messages_, alike);
    messages_.push_back(std::move(message));
    arrived_.notify();
  }
  T take() {  // not from an empty box
    T first = std::move(messages_.front());
    messages_.pop_front();
    return first;
  }
  std::size_t size() const { return messages_.size(); }
  bool empty() const { return messages_.empty(); }
  Notifier& arrived() { return arrived_; }

 private:
  std::size_t capacity_;
  std::deque<T> messages_;
  Notifier arrived_;
};

}  // namespace beechhill::runtime
