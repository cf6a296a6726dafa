#include "runtime/scheduler.h"

#include <sys/epoll.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <system_error>

namespace beechhill::runtime {

IoSource::IoSource(Scheduler& scheduler, int fd) : scheduler_(scheduler), fd_(fd) {
  epoll_event event{};
  event.events = EPOLLIN | EPOLLOUT | EPOLLRDHUP | EPOLLET;
  event.data.ptr = this;
  if (::epoll_ctl(scheduler_.epoll_, EPOLL_CTL_ADD, fd, &event) < 0) {
    throw std::system_error(errno, std::generic_category(), "epoll_ctl");
  }
}
IoSource::~IoSource() {
  ::epoll_ctl(scheduler_.epoll_, EPOLL_CTL_DEL, fd_, nullptr);
  if (reader_) {
    reader_->reading_ = nullptr;
  }
  if (writer_) {
    writer_->writing_ = nullptr;
  }
}

Notifier::~Notifier() {
  if (waiter_) {
    waiter_->notifier_ = nullptr;
  }
}
void Notifier::notify() {
  if (waiter_) {
    return waiter_->fire(Wake::kNotified);
  }
  set_ = true;
}

Wait::~Wait() {
  withdraw();
}
Wait& Wait::readable(IoSource& io) {
  reading_ = &io;
  return *this;
}
Wait& Wait::writable(IoSource& io) {
  writing_ = &io;
  return *this;
}
Wait& Wait::until(TimePoint at) {
  at_ = at;
  return *this;
}
Wait& Wait::notified(Notifier& notifier) {
  notifier_ = &notifier;
  return *this;
}

bool Wait::await_ready() {
  if (!notifier_ || !notifier_->set_) {
    return false;
  }
  notifier_->set_ = false;
  cause_ = Wake::kNotified;
  return true;
}
void Wait::await_suspend(std::coroutine_handle<> handle) {
  due_.handle = handle;
  if (reading_) {
    reading_->reader_ = this;
  }
  if (writing_) {
    writing_->writer_ = this;
  }
  if (notifier_) {
    notifier_->waiter_ = this;
  }
  if (at_) {
    timer_ = scheduler_.timers_.emplace(*at_, this);
  }
}
void Wait::fire(Wake cause) {
  withdraw();
  cause_ = cause;
  scheduler_.make_due(due_);
}
void Wait::withdraw() {
  if (reading_ && reading_->reader_ == this) {
    reading_->reader_ = nullptr;
  }
  if (writing_ && writing_->writer_ == this) {
    writing_->writer_ = nullptr;
  }
  if (notifier_ && notifier_->waiter_ == this) {
    notifier_->waiter_ = nullptr;
  }
  if (timer_) {
    scheduler_.timers_.erase(*timer_);
  }
  timer_.reset();
  scheduler_.withdraw(due_);  // guards against resuming a frame that is gone
}

Scheduler::Scheduler() : epoll_(::epoll_create1(EPOLL_CLOEXEC)) {
  if (epoll_ < 0) {
    throw std::system_error(errno, std::generic_category(), "epoll_create1");
  }
}
Scheduler::~Scheduler() {
  while (!roots_.empty()) {
    cancel(roots_.begin()->first);
  }
  ::close(epoll_);
}

TaskId Scheduler::spawn(Task<> task) {
  const TaskId id = next_task_++;
  task.handle().promise().on_end = [this, id] { ended_.push_back(id); };
  Root& root = roots_.try_emplace(id, Root{std::move(task), {}}).first->second;
  root.start.handle = root.task.handle();
  make_due(root.start);
  return id;
}

void Scheduler::cancel(TaskId id) {
  const auto it = roots_.find(id);
  if (it == roots_.end()) {
    return;
  }
  withdraw(it->second.start);
  const Task<> task =
      std::move(it->second.task);  // its frame's end may come back here for other tasks
  roots_.erase(it);
}

void Scheduler::run() {
  while (!stopped_) {
    run_ready();
    reap();
    if (!stopped_) {
      poll();
    }
  }
  while (!roots_.empty()) {
    cancel(roots_.begin()->first);
  }
  if (fault_) {
    std::rethrow_exception(fault_);
  }
}

void Scheduler::run_ready() {
  // Bounded by what is ready now, so that descriptors and timers get their turn.
  for (std::size_t n = ready_.size(); n > 0 && !ready_.empty(); --n) {
    Due& due = *ready_.front();
    const std::coroutine_handle<> handle = due.handle;
    withdraw(due);
    handle.resume();
  }
}

void Scheduler::reap() {
  while (!ended_.empty()) {
    const auto it = roots_.find(ended_.front());
    ended_.pop_front();
    if (it == roots_.end()) {
      continue;
    }
    const std::exception_ptr error = it->second.task.handle().promise().error;
    roots_.erase(it);
    if (!error) {
      continue;
    }
    fault_ = error;
    stopped_ = true;
  }
}

void Scheduler::poll() {
  int wait_ms = -1;
  if (!ready_.empty()) {
    wait_ms = 0;
  } else if (!timers_.empty()) {
    const auto left =
        std::chrono::ceil<std::chrono::milliseconds>(timers_.begin()->first - Clock::now()).count();
    wait_ms = static_cast<int>(std::clamp<std::int64_t>(left, 0, 60'000));
  }
  std::array<epoll_event, 128> events;
  const int n = ::epoll_wait(epoll_, events.data(), events.size(), wait_ms);
  // Nothing resumes in here, so no source that an event points to can end before its turn.
  for (int i = 0; i < n; ++i) {
    auto& io = *static_cast<IoSource*>(events[i].data.ptr);
    const auto bits = events[i].events;
    io.ended_ = io.ended_ || (bits & (EPOLLRDHUP | EPOLLHUP | EPOLLERR)) != 0;
    if (bits & (EPOLLIN | EPOLLRDHUP | EPOLLHUP | EPOLLERR)) {
      if (io.reader_) {
        io.reader_->fire(Wake::kReadable);
      } else if (io.watcher_) {
        io.watcher_->on_readable();
      }
    }
    if (io.writer_ && (bits & (EPOLLOUT | EPOLLHUP | EPOLLERR))) {
      io.writer_->fire(Wake::kWritable);
    }
  }
  const TimePoint now = Clock::now();
  while (!timers_.empty() && timers_.begin()->first <= now) {
    timers_.begin()->second->fire(Wake::kTime);
  }
}

}  // namespace beechhill::runtime
