// The event loop: resumes coroutines when descriptors, timers and notifiers become ready. It runs
// on one thread, with all tasks spawned on it.
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
  /// Throws std::system_error if epoll_create1() fails.
  Scheduler();
  /// Cancels all tasks.
  ~Scheduler();
  Scheduler(const Scheduler&) = delete;
  Scheduler& operator=(const Scheduler&) = delete;

  /// Takes ownership of `task` until it ends or is cancelled. The task is queued as ready: it does
  /// not run during the call.
  TaskId spawn(Task<> task);
  /// Destroys the task with everything it owns and ends its waits. Has no effect if
  /// the task has ended. A task must not cancel itself.
  void cancel(TaskId id);
  /// Runs until stop() is called or a spawned task ends with an exception. Then cancels all
  /// remaining tasks, while the objects that they refer to still exist, and rethrows the exception,
  /// if any.
  void run();
  /// Makes run() return once the calling coroutine has suspended and the coroutines that are
  /// already ready have been resumed.
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
  /// The exception that ended a task, to be rethrown by run(); null if there is none.
  std::exception_ptr task_error_;
  TaskId next_task_id_ = 1;
  ReadyQueue ready_;
  std::multimap<TimePoint, Wait*> timers_;
  /// Tasks that have ended but are not yet destroyed.
  std::list<TaskId> ended_tasks_;
  /// A node-based map, because the ready queue points to SpawnedTask::start.
  std::unordered_map<TaskId, SpawnedTask> tasks_;
};

}  // namespace beechhill::runtime
