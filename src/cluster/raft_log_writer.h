// Writes a voter's file on a thread of its own: a slow disk delays raft's messages, never a
// request.
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

/// Thread-safe. Shared with its thread, which may outlive the owner by one write to a disk that
/// hangs.
class RaftLogWriter {
 public:
  struct Write {
    std::string bytes;
    /// Records that are durable once this is.
    std::uint64_t records = 0;
    /// Whether `bytes` are a whole new file; else they are appended.
    bool replaces_file = false;
  };

  /// Starts the thread. `durable_records`: of the file at `path` as it is.
  static std::shared_ptr<RaftLogWriter> start(std::string path, std::uint64_t durable_records);

  void submit(Write write);
  std::uint64_t durable_records() const;
  /// Whether a write has failed, or fail() was called: nothing is written after that.
  bool failed() const;
  void fail();
  /// Ends the thread after what was submitted; waits for that up to `timeout`.
  void stop(std::chrono::milliseconds timeout);

 private:
  RaftLogWriter(std::string path, std::uint64_t durable_records)
      : path_(std::move(path)), durable_records_(durable_records) {}

  void run();
  Write take_batch();
  std::error_code write(const Write& batch);

  const std::string path_;
  /// Open for appending. The thread's own.
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
