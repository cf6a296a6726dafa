// TCP connections on the event loop, with deadlines.
#pragma once

#include <netinet/in.h>

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "net/file_descriptor.h"
#include "runtime/scheduler.h"

namespace beechhill::net {

/// The result of an operation on a socket.
enum class IoResult {
  kOk,
  /// The peer has closed its sending side.
  kEof,
  kTimeout,
  /// The notifier passed to the operation was notified.
  kNotified,
  kError
};

/// What a peer has done on a connection on which nothing is expected from it.
enum class UnsolicitedInput {
  kNone,
  /// It has sent bytes.
  kBytes,
  /// It has closed its sending side, or the connection has failed.
  kEnd
};

/// A connected, non-blocking TCP socket. At most one coroutine may read and one may write at a
/// time, on the event loop thread. Deadlines are absolute. Data that is already available is read
/// even after the deadline.
class Stream {
 public:
  /// Maximum number of bytes that read() appends at a time.
  static constexpr std::size_t kMaxReadBytes = std::size_t{16} * 1024;

  Stream(runtime::Scheduler& scheduler, FileDescriptor fd);

  /// Connects to `to`. Returns null on failure or at the deadline.
  static runtime::Task<std::unique_ptr<Stream>> connect(runtime::Scheduler& scheduler,
                                                        sockaddr_in to,
                                                        runtime::TimePoint deadline);

  /// Appends the next available bytes to `buffer`, which must outlive the call. Waits
  /// until bytes arrive, the deadline passes or `notifier`, if given, is notified.
  runtime::Task<IoResult> read(std::string& buffer, runtime::TimePoint deadline,
                               runtime::Notifier* notifier = nullptr);
  /// Waits, without reading, until the peer closes its sending side (kEof), the deadline passes or
  /// `notifier` is notified. On kEof, bytes received before may still be unread.
  runtime::Task<IoResult> wait_for_peer_close(runtime::TimePoint deadline,
                                              runtime::Notifier& notifier);
  /// Writes all of `bytes`, which must outlive the call. kOk: the kernel has accepted all of them;
  /// the peer need not have received them.
  runtime::Task<IoResult> write(std::string_view bytes, runtime::TimePoint deadline);

  /// Limits each later read() to `max_bytes` at a time. The referenced value may change at any time
  /// and must outlive the stream. Without a call, the limit is kMaxReadBytes.
  void limit_reads(const std::size_t& max_bytes) { max_read_bytes_ = &max_bytes; }

  /// Returns what the peer has done on an idle connection. Does not wait, and leaves bytes unread.
  UnsolicitedInput unsolicited_input();
  /// Sets the watcher; null removes it. The watcher is called when unsolicited_input() may have
  /// changed. It is not called while a coroutine reads. It must outlive the stream or be removed
  /// first.
  void watch(runtime::IoWatcher* watcher) { io_.watch(watcher); }

  /// Performs a lingering close: shuts down the sending side, then reads and discards bytes until
  /// the peer closes its side, the deadline passes or `notifier` is notified. An immediate close
  /// could reset the connection and destroy a response that the peer has not read yet.
  runtime::Task<> lingering_close(runtime::TimePoint deadline, runtime::Notifier& notifier);
  /// Like lingering_close(), but leaves unread what the peer sends meanwhile, so that the
  /// connection ends with a reset that shows the peer that these bytes were not processed.
  runtime::Task<> lingering_close_unread(runtime::TimePoint deadline, runtime::Notifier& notifier);
  /// Shuts down the sending side.
  void shutdown_write();

 private:
  std::optional<IoResult> read_now(std::string& buffer);
  std::optional<IoResult> discard_now();

  runtime::Scheduler& scheduler_;
  FileDescriptor fd_;
  runtime::IoSource io_;
  /// Null if reads are not limited.
  const std::size_t* max_read_bytes_ = nullptr;
  /// Number of bytes read since a read() of this stream last waited.
  std::size_t bytes_this_turn_ = 0;
};

}  // namespace beechhill::net
