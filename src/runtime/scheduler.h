// One thread's scheduler: coroutines wait for descriptors, times and notices, and resume from a
// ready queue.
#pragma once

#include <chrono>
#include <coroutine>
#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <unordered_map>

#include "runtime/task.h"

namespace beechhill::runtime {

using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using TaskId = std::uint64_t;

class Scheduler;
class Wait;

// A coroutine due to be resumed. Its holder clears `entry` when it takes it out or when it is
// taken.
struct Due;
using DueList = std::list<Due*>;
struct Due {
  std::coroutine_handle<> handle;
  std::optional<DueList::iterator> entry;
};

// Told of a descriptor that has something to read, or has ended, while nobody waits on it. It may
// note that and notify, but neither resume nor destroy anything: others of the same round are still
// to come.
class IoWatcher {
 public:
  virtual void on_readable() = 0;

 protected:
  ~IoWatcher() = default;
};

// A descriptor known to epoll (edge-triggered): whoever waits on it must have met EAGAIN first.
class IoSource {
 public:
  IoSource(Scheduler& scheduler, int fd);
  ~IoSource();
  IoSource(const IoSource&) = delete;
  IoSource& operator=(const IoSource&) = delete;
  // Null: nobody is told. What came before is not told any more: look first, then watch.
  void watch(IoWatcher* watcher) { watcher_ = watcher; }
  // Whether the other side has ended, or the connection broken, however much of what came before is
  // unread.
  bool ended() const { return ended_; }

 private:
  friend class Scheduler;
  friend class Wait;
  Scheduler& scheduler_;
  int fd_;
  bool ended_ = false;
  Wait* reader_ = nullptr;
  Wait* writer_ = nullptr;
  IoWatcher* watcher_ = nullptr;
};

// Wakes the one Wait that stands on it; kept until the next Wait where there is none.
class Notifier {
 public:
  Notifier() = default;
  ~Notifier();
  Notifier(const Notifier&) = delete;
  Notifier& operator=(const Notifier&) = delete;
  void notify();

 private:
  friend class Wait;
  Wait* waiter_ = nullptr;
  bool set_ = false;
};

enum class Wake { kReadable, kWritable, kTime, kNotified };

// What a coroutine waits for; the first to come ends the wait. It lives in the coroutine's frame as
// a named local (GCC 12 mishandles non-trivial temporaries in co_await), so ending the frame
// withdraws it everywhere.
class Wait {
 public:
  explicit Wait(Scheduler& scheduler) : scheduler_(scheduler) {}
  ~Wait();
  Wait(const Wait&) = delete;
  Wait& operator=(const Wait&) = delete;

  Wait& readable(IoSource& io);
  Wait& writable(IoSource& io);
  Wait& until(TimePoint at);
  Wait& notified(Notifier& notifier);

  bool await_ready();
  void await_suspend(std::coroutine_handle<> handle);
  Wake await_resume() const { return cause_; }

 private:
  friend class Scheduler;
  friend class Notifier;
  friend class IoSource;
  void fire(Wake cause);
  void withdraw();

  Scheduler& scheduler_;
  IoSource* reading_ = nullptr;
  IoSource* writing_ = nullptr;
  Notifier* notifier_ = nullptr;
  std::optional<TimePoint> at_;
  std::optional<std::multimap<TimePoint, Wait*>::iterator> timer_;
  Due due_;
  Wake cause_ = Wake::kTime;
};

class Scheduler {
 public:
  Scheduler();
  ~Scheduler();
  Scheduler(const Scheduler&) = delete;
  Scheduler& operator=(const Scheduler&) = delete;

  // Owns the task until it ends or is cancelled. It starts from the ready queue.
  TaskId spawn(Task<> task);
  // Destroys the task with all that it owns and waits for. Not for a task to call on itself.
  void cancel(TaskId id);
  // Runs until stop() is called, or a spawned task ends by an exception; then cancels what is left,
  // while all that it refers to still stands. Throws that exception.
  void run();
  void stop() { stopped_ = true; }

 private:
  friend class Wait;
  friend class IoSource;
  struct Root {
    Task<> task;
    Due start;
  };
  void make_due(Due& due) { due.entry = ready_.insert(ready_.end(), &due); }
  void withdraw(Due& due) {
    if (due.entry) {
      ready_.erase(*std::exchange(due.entry, std::nullopt));
    }
  }
  void run_ready();
  void reap();
  void poll();

  int epoll_;
  bool stopped_ = false;
  std::exception_ptr fault_;
  TaskId next_task_ = 1;
  DueList ready_;
  std::multimap<TimePoint, Wait*> timers_;
  std::list<TaskId> ended_;
  std::unordered_map<TaskId, Root> roots_;  // stable addresses: Root::start is pointed to
};

}  // namespace beechhill::runtime
