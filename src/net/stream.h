// TCP connections with deadlines.
#pragma once

#include <netinet/in.h>

#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "net/file_descriptor.h"
#include "runtime/scheduler.h"

namespace beechhill::net {

/// How an operation on a socket ended.
enum class IoResult {
  kOk,
  /// The peer has closed its side.
  kEof,
  kTimeout,
  /// The notifier that was passed in was notified.
  kNotified,
  kError
};

/// A connected, non-blocking TCP socket. One reader and one writer at a time, on the event loop
/// thread. Deadlines are absolute; data that is already there is taken even after the deadline.
class Stream {
 public:
  Stream(runtime::Scheduler& scheduler, FileDescriptor fd);

  /// Connects to `to`. Null where that fails or is not done by the deadline.
  static runtime::Task<std::unique_ptr<Stream>> connect(runtime::Scheduler& scheduler,
                                                        sockaddr_in to,
                                                        runtime::TimePoint deadline);

  /// Appends the next available bytes to `buffer`, which must outlive the call. Waits for them
  /// until the deadline or until `notifier`, if given, is notified.
  runtime::Task<IoResult> read(std::string& buffer, runtime::TimePoint deadline,
                               runtime::Notifier* notifier = nullptr);
  /// Waits, without reading, until the peer has closed its side: kEof, though bytes that came
  /// before may still be unread. Or until the deadline or the notifier.
  runtime::Task<IoResult> wait_for_peer_close(runtime::TimePoint deadline,
                                              runtime::Notifier& notifier);
  /// Writes all of `bytes`, which must outlive the call. kOk: the kernel has taken the last byte.
  runtime::Task<IoResult> write(std::string_view bytes, runtime::TimePoint deadline);

  /// Of an idle connection: whether the peer has closed it or sent unsolicited bytes. Does not
  /// wait, and leaves the bytes unread.
  bool stale();
  /// While nobody reads: `watcher` is called when stale() may have become true. Null removes it.
  void watch(runtime::IoWatcher* watcher) { io_.watch(watcher); }

  /// A lingering close: shuts down the sending side, then reads and discards until the peer closes
  /// its side, too, or until the deadline or the notifier. Closing at once could reset the
  /// connection and destroy a response that the peer has yet to read.
  runtime::Task<> lingering_close(runtime::TimePoint deadline, runtime::Notifier& notifier);
  /// The same, but what the peer sends meanwhile stays unread, so that the reset at the end shows
  /// that it was not processed.
  runtime::Task<> lingering_close_unread(runtime::TimePoint deadline, runtime::Notifier& notifier);
  /// Shuts down the sending side.
  void shutdown_write();

 private:
  std::optional<IoResult> read_now(std::string& buffer);
  std::optional<IoResult> discard_now();

  runtime::Scheduler& scheduler_;
  FileDescriptor fd_;
  runtime::IoSource io_;
  /// Read since this stream last waited.
  std::size_t bytes_this_turn_ = 0;
};

}  // namespace beechhill::net
