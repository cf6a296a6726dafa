// Writes a voter's file on a separate thread, so that a slow disk delays Raft messages but never a
// client's request.
#pragma once

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <memory>
#include <mutex>
#include <string>
#include <system_error>

#include "net/socket.h"

namespace beechhill::maintenance {

/// The writer thread and the queue of its writes. Thread-safe. Ownership is shared with the thread,
/// which may outlive the owner by one write if the disk hangs.
class RaftLogWriter {
 public:
  /// A change of the file, to be made by the writer thread.
  struct Write {
    std::string bytes;
    /// Total number of records that are durable after this write.
    std::uint64_t records = 0;
    /// If true, `bytes` are the content of a new file that replaces the current one; otherwise they
    /// are appended.
    bool replaces_file = false;
  };

  /// Starts the thread. `durable_records` is the number of records in the existing file at `path`.
  static std::shared_ptr<RaftLogWriter> start(std::string path, std::uint64_t durable_records);

  void submit(Write write);
  std::uint64_t durable_records() const;
  /// Whether a write has failed or fail() was called. No further write is started afterwards.
  bool failed() const;
  void fail();
  /// Requests that the thread ends after all submitted writes, and waits up to `timeout` for them.
  void stop(std::chrono::milliseconds timeout);

 private:
  RaftLogWriter(std::string path, std::uint64_t durable_records)
      : path_(std::move(path)), durable_records_(durable_records) {}

  void run();
  Write take_batch();
  std::error_code write(const Write& batch);

  const std::string path_;
  /// Open for appending. Accessed only by the writer thread.
  net::FileDescriptor file_;

  mutable std::mutex mutex_;
  std::condition_variable changed_;
  std::deque<Write> queue_;
  std::uint64_t durable_records_;
  bool stopping_ = false;
  bool failed_ = false;
  bool idle_ = true;
};

}  // namespace beechhill::maintenance
