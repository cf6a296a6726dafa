// The event loop: resumes coroutines as descriptors, timers and notifiers become ready. One thread
// runs it and everything that is spawned on it.
#pragma once

#include <cstdint>
#include <exception>
#include <list>
#include <map>
#include <unordered_map>

#include "runtime/task.h"
#include "runtime/wait.h"

namespace beechhill::runtime {

using TaskId = std::uint64_t;

/// Owns the spawned tasks, the ready queue, the timers and an epoll instance. Not thread-safe.
class Scheduler {
 public:
  /// Throws std::system_error where no epoll instance can be created.
  Scheduler();
  /// Cancels all tasks.
  ~Scheduler();
  Scheduler(const Scheduler&) = delete;
  Scheduler& operator=(const Scheduler&) = delete;

  /// Owns `task` until it ends or is cancelled. It starts from the ready queue, not in the call.
  TaskId spawn(Task<> task);
  /// Destroys the task with everything it owns and waits for. Does nothing where it has ended. A
  /// task must not cancel itself.
  void cancel(TaskId id);
  /// Runs until stop() is called or a spawned task ends with an exception; then cancels all other
  /// tasks, while all that they refer to still exists, and throws that exception.
  void run();
  /// Lets run() return once the coroutine that calls this suspends and the ready queue has had its
  /// turn.
  void stop() { stopped_ = true; }

 private:
  friend class Wait;
  friend class IoSource;

  struct SpawnedTask {
    Task<> task;
    ReadyEntry start;
  };

  void enqueue(ReadyEntry& entry) { entry.position = ready_.insert(ready_.end(), &entry); }
  void dequeue(ReadyEntry& entry) {
    if (entry.position) {
      ready_.erase(*entry.position);
      entry.position.reset();
    }
  }
  void run_ready();
  void reap_ended_tasks();
  void poll();
  int poll_timeout_ms() const;
  static void dispatch(IoSource& source, std::uint32_t events);
  void fire_expired_timers();
  void cancel_all();

  int epoll_fd_;
  bool stopped_ = false;
  /// Of the task that ended with an exception.
  std::exception_ptr task_error_;
  TaskId next_task_id_ = 1;
  ReadyQueue ready_;
  std::multimap<TimePoint, Wait*> timers_;
  /// Tasks that have ended and are still to be destroyed.
  std::list<TaskId> ended_;
  /// Addresses are stable: the ready queue points to SpawnedTask::start.
  std::unordered_map<TaskId, SpawnedTask> tasks_;
};

}  // namespace beechhill::runtime
