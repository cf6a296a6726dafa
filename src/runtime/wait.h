// The events that a coroutine on the event loop can wait for: file descriptors, points in time and
// notifiers. All types in this file must be used on the event loop thread.
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
/// The coroutines that are ready, in the order in which they will be resumed.
using ReadyQueue = std::list<ReadyEntry*>;

/// A coroutine's entry in the ready queue. Its owner must dequeue it before the coroutine is
/// destroyed.
struct ReadyEntry {
  std::coroutine_handle<> handle;
  /// The position in the ready queue; nullopt if the coroutine is not queued.
  std::optional<ReadyQueue::iterator> position;
};

/// Observes a descriptor on which no Wait waits to read: on_readable() is called when the
/// descriptor becomes readable or the peer closes the connection. An implementation may record that
/// and notify a Notifier. It must neither resume nor destroy a coroutine or an IoSource, because
/// the remaining events of the same poll refer to them.
class IoWatcher {
 public:
  virtual void on_readable() = 0;

 protected:
  ~IoWatcher() = default;
};

/// Registers a descriptor with the scheduler's epoll instance. The registration is edge-triggered:
/// a Wait on it is valid only after a call that failed with EAGAIN. At most one coroutine may wait
/// to read and one to write at a time. Does not own the descriptor, which must outlive the
/// IoSource.
class IoSource {
 public:
  /// Throws std::system_error if the descriptor cannot be registered with epoll.
  IoSource(Scheduler& scheduler, int fd);
  ~IoSource();
  IoSource(const IoSource&) = delete;
  IoSource& operator=(const IoSource&) = delete;

  /// Sets the watcher; null removes it. The watcher is not called for bytes that arrived before
  /// this call, so the caller must first read until EAGAIN.
  void watch(IoWatcher* watcher) { watcher_ = watcher; }
  /// Returns whether the peer has closed its sending side or the connection has failed. Bytes
  /// received before may still be unread.
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

/// Lets one coroutine notify another. notify() ends the Wait to which this notifier was added. If
/// there is no such Wait, the next one ends at once; until then, further notifications have no
/// effect. At most one Wait at a time may use a notifier.
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

/// The event that ended a Wait.
enum class Wake { kReadable, kWritable, kTime, kNotified };

/// An awaitable that ends with the first of the events added to it. It must be a named local of the
/// coroutine, because GCC 12 mishandles non-trivial temporaries in co_await. The destructor removes
/// the Wait from all events, so a coroutine may be destroyed while it waits. May be awaited only
/// once.
class Wait {
 public:
  explicit Wait(Scheduler& scheduler) : scheduler_(scheduler) {}
  ~Wait();
  Wait(const Wait&) = delete;
  Wait& operator=(const Wait&) = delete;

  /// Each of these functions adds an event. At most one event of each kind may be added.
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
