#include "runtime/wait.h"

#include <sys/epoll.h>

#include <cerrno>
#include <system_error>

#include "runtime/scheduler.h"

namespace beechhill::runtime {

IoSource::IoSource(Scheduler& scheduler, int fd) : scheduler_(scheduler), fd_(fd) {
  epoll_event event{};
  event.events = EPOLLIN | EPOLLOUT | EPOLLRDHUP | EPOLLET;
  event.data.ptr = this;
  if (::epoll_ctl(scheduler_.epoll_fd_, EPOLL_CTL_ADD, fd, &event) < 0) {
    throw std::system_error(errno, std::generic_category(), "epoll_ctl");
  }
}

IoSource::~IoSource() {
  ::epoll_ctl(scheduler_.epoll_fd_, EPOLL_CTL_DEL, fd_, nullptr);
  if (reader_) {
    reader_->read_source_ = nullptr;
  }
  if (writer_) {
    writer_->write_source_ = nullptr;
  }
}

Notifier::~Notifier() {
  if (waiter_) {
    waiter_->notifier_ = nullptr;
  }
}

void Notifier::notify() {
  if (waiter_) {
    waiter_->fire(Wake::kNotified);
    return;
  }
  notified_ = true;
}

Wait::~Wait() {
  withdraw();
}

Wait& Wait::readable(IoSource& source) {
  read_source_ = &source;
  return *this;
}

Wait& Wait::writable(IoSource& source) {
  write_source_ = &source;
  return *this;
}

Wait& Wait::until(TimePoint deadline) {
  deadline_ = deadline;
  return *this;
}

Wait& Wait::notified(Notifier& notifier) {
  notifier_ = &notifier;
  return *this;
}

bool Wait::await_ready() {
  if (!notifier_ || !notifier_->notified_) {
    return false;
  }
  notifier_->notified_ = false;
  cause_ = Wake::kNotified;
  return true;
}

void Wait::await_suspend(std::coroutine_handle<> handle) {
  ready_entry_.handle = handle;
  if (read_source_) {
    read_source_->reader_ = this;
  }
  if (write_source_) {
    write_source_->writer_ = this;
  }
  if (notifier_) {
    notifier_->waiter_ = this;
  }
  if (deadline_) {
    timer_ = scheduler_.timers_.emplace(*deadline_, this);
  }
}

void Wait::fire(Wake cause) {
  withdraw();
  cause_ = cause;
  scheduler_.enqueue(ready_entry_);
}

void Wait::withdraw() {
  if (read_source_ && read_source_->reader_ == this) {
    read_source_->reader_ = nullptr;
  }
  if (write_source_ && write_source_->writer_ == this) {
    write_source_->writer_ = nullptr;
  }
  if (notifier_ && notifier_->waiter_ == this) {
    notifier_->waiter_ = nullptr;
  }
  if (timer_) {
    scheduler_.timers_.erase(*timer_);
  }
  timer_.reset();
  // Prevents the scheduler from resuming a coroutine that has been destroyed.
  scheduler_.dequeue(ready_entry_);
}

}  // namespace beechhill::runtime
