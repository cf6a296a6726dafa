#include "runtime/scheduler.h"

#include <sys/epoll.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <system_error>
#include <utility>

namespace beechhill::runtime {
namespace {

// Maximum number of events that one epoll_wait() reports; the next call reports the remaining ones.
constexpr std::size_t kMaxEventsPerPoll = 128;
// Maximum time-out of one epoll_wait(), which takes it as an int. If no event is due by then, the
// event loop polls again.
constexpr std::int64_t kMaxPollTimeoutMs = 60'000;
constexpr int kNoPollTimeout = -1;

}  // namespace

Scheduler::Scheduler() : epoll_fd_(::epoll_create1(EPOLL_CLOEXEC)) {
  if (epoll_fd_ < 0) {
    throw std::system_error(errno, std::generic_category(), "epoll_create1");
  }
}

Scheduler::~Scheduler() {
  cancel_all();
  ::close(epoll_fd_);
}

TaskId Scheduler::spawn(Task<> task) {
  const TaskId id = next_task_id_++;
  task.handle().promise().on_end = [this, id] { ended_tasks_.push_back(id); };
  SpawnedTask& spawned = tasks_.try_emplace(id, SpawnedTask{std::move(task), {}}).first->second;
  spawned.start.handle = spawned.task.handle();
  enqueue(spawned.start);
  return id;
}

void Scheduler::cancel(TaskId id) {
  const auto it = tasks_.find(id);
  if (it == tasks_.end()) {
    return;
  }
  dequeue(it->second.start);
  // Moves the task out, so that it is destroyed after the erasure: the destructors of the
  // coroutine's locals may cancel other tasks and thereby modify tasks_.
  const Task<> task = std::move(it->second.task);
  tasks_.erase(it);
}

void Scheduler::cancel_all() {
  while (!tasks_.empty()) {
    cancel(tasks_.begin()->first);
  }
}

void Scheduler::run() {
  while (!stopped_) {
    run_ready();
    reap_ended_tasks();
    if (!stopped_) {
      poll();
    }
  }
  cancel_all();
  if (task_error_) {
    std::rethrow_exception(task_error_);
  }
}

void Scheduler::run_ready() {
  // Coroutines that become ready during this loop are resumed by the next call, so that descriptors
  // and timers are polled in between.
  for (std::size_t remaining = ready_.size(); remaining > 0 && !ready_.empty(); --remaining) {
    ReadyEntry& entry = *ready_.front();
    const std::coroutine_handle<> handle = entry.handle;
    dequeue(entry);
    handle.resume();
  }
}

void Scheduler::reap_ended_tasks() {
  while (!ended_tasks_.empty()) {
    const auto it = tasks_.find(ended_tasks_.front());
    ended_tasks_.pop_front();
    if (it == tasks_.end()) {
      continue;
    }
    const std::exception_ptr error = it->second.task.handle().promise().error;
    tasks_.erase(it);
    if (error) {
      task_error_ = error;
      stopped_ = true;
    }
  }
}

int Scheduler::poll_timeout_ms() const {
  if (!ready_.empty()) {
    return 0;
  }
  if (timers_.empty()) {
    return kNoPollTimeout;
  }
  const auto remaining = timers_.begin()->first - Clock::now();
  const auto remaining_ms = std::chrono::ceil<std::chrono::milliseconds>(remaining).count();
  return static_cast<int>(std::clamp<std::int64_t>(remaining_ms, 0, kMaxPollTimeoutMs));
}

void Scheduler::poll() {
  std::array<epoll_event, kMaxEventsPerPoll> events;
  const int count = ::epoll_wait(epoll_fd_, events.data(), events.size(), poll_timeout_ms());
  // The loop resumes no coroutine, so every IoSource that an event points to still exists.
  for (int i = 0; i < count; ++i) {
    dispatch(*static_cast<IoSource*>(events[i].data.ptr), events[i].events);
  }
  fire_expired_timers();
}

void Scheduler::dispatch(IoSource& source, std::uint32_t events) {
  constexpr std::uint32_t kEndEvents = EPOLLRDHUP | EPOLLHUP | EPOLLERR;
  source.ended_ = source.ended_ || (events & kEndEvents) != 0;
  if (events & (EPOLLIN | kEndEvents)) {
    if (source.reader_) {
      source.reader_->fire(Wake::kReadable);
    } else if (source.watcher_) {
      source.watcher_->on_readable();
    }
  }
  if (source.writer_ && (events & (EPOLLOUT | EPOLLHUP | EPOLLERR))) {
    source.writer_->fire(Wake::kWritable);
  }
}

void Scheduler::fire_expired_timers() {
  const TimePoint now = Clock::now();
  while (!timers_.empty() && timers_.begin()->first <= now) {
    timers_.begin()->second->fire(Wake::kTime);
  }
}

}  // namespace beechhill::runtime
