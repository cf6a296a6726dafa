// What a coroutine of the event loop can wait for: file descriptors, points in time and notifiers.
// Everything here is used on the event loop thread alone.
#pragma once

#include <chrono>
#include <coroutine>
#include <list>
#include <map>
#include <optional>

namespace beechhill::runtime {

using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;

class Scheduler;
class Wait;

struct ReadyEntry;
/// Coroutines that are to be resumed, in order.
using ReadyQueue = std::list<ReadyEntry*>;

/// A coroutine's place in the ready queue. Its owner withdraws it before the coroutine ends.
struct ReadyEntry {
  std::coroutine_handle<> handle;
  /// Empty where the coroutine is not queued.
  std::optional<ReadyQueue::iterator> position;
};

/// Called when a descriptor becomes readable, or its peer closes it, while no Wait waits to read
/// it. An implementation may record that and notify. It must neither resume nor destroy a coroutine
/// or an IoSource: other events of the same poll are still to be dispatched.
class IoWatcher {
 public:
  virtual void on_readable() = 0;

 protected:
  ~IoWatcher() = default;
};

/// A descriptor that is registered with the scheduler's epoll instance, edge-triggered: a Wait on
/// it must follow a call that failed with EAGAIN. One reader and one writer at a time. Does not own
/// the descriptor, which must outlive it.
class IoSource {
 public:
  /// Throws std::system_error where epoll does not take the descriptor.
  IoSource(Scheduler& scheduler, int fd);
  ~IoSource();
  IoSource(const IoSource&) = delete;
  IoSource& operator=(const IoSource&) = delete;

  /// Sets the watcher; null removes it. It is not called for what became readable before: read
  /// first, then watch.
  void watch(IoWatcher* watcher) { watcher_ = watcher; }
  /// Whether the peer has closed its side, or the connection has failed. Bytes that came before may
  /// still be unread.
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

/// Ends the one Wait that waits for it. Where there is none, the next one ends at once;
/// notifications do not add up.
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
  bool notified_ = false;
};

/// What ended a Wait.
enum class Wake { kReadable, kWritable, kTime, kNotified };

/// An awaitable that ends with the first of the events it is set up for. It must be a named local
/// of the coroutine (GCC 12 mishandles non-trivial temporaries in co_await); its destructor
/// withdraws it, so a coroutine may be destroyed while it waits. For one co_await only.
class Wait {
 public:
  explicit Wait(Scheduler& scheduler) : scheduler_(scheduler) {}
  ~Wait();
  Wait(const Wait&) = delete;
  Wait& operator=(const Wait&) = delete;

  /// Each adds an event; at most one of each kind.
  Wait& readable(IoSource& source);
  Wait& writable(IoSource& source);
  Wait& until(TimePoint deadline);
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
  IoSource* read_source_ = nullptr;
  IoSource* write_source_ = nullptr;
  Notifier* notifier_ = nullptr;
  std::optional<TimePoint> deadline_;
  std::optional<std::multimap<TimePoint, Wait*>::iterator> timer_;
  ReadyEntry ready_entry_;
  Wake cause_ = Wake::kTime;
};

}  // namespace beechhill::runtime
