// A body on its way from one connection to another, bounded, with one writer and one reader:
// whoever is slower holds the other back.
#pragma once

#include <cstddef>
#include <string>
#include <utility>

#include "runtime/scheduler.h"

namespace beechhill::proxy {

/// Bytes that all pipes together should hold. Beyond it new streamed requests are rejected, and
/// each pipe holds less.
class BodyBudget {
 public:
  explicit BodyBudget(std::size_t bytes) : limit_(bytes) {}

  bool has_capacity() const { return used_ < limit_; }
  void set_limit(std::size_t bytes) { limit_ = bytes; }

 private:
  friend class BodyPipe;
  std::size_t limit_;
  std::size_t used_ = 0;
};

/// One body. `budget` outlives it.
class BodyPipe {
 public:
  /// Beyond these the pipe is full; the last part written may exceed them.
  static constexpr std::size_t kMaxBufferedBytes = std::size_t{64} * 1024;
  static constexpr std::size_t kMaxBufferedBytesWhenOverBudget = std::size_t{16} * 1024;

  explicit BodyPipe(BodyBudget& budget) : budget_(budget) {}
  ~BodyPipe() { budget_.used_ -= bytes_.size(); }
  BodyPipe(const BodyPipe&) = delete;
  BodyPipe& operator=(const BodyPipe&) = delete;

  // ---- The writer's side

  /// Held for as long as the writer is there: `capacity_available` is notified when the pipe is no
  /// longer full, or its reader has closed it. However the writer ends, a body that is incomplete
  /// is aborted then, and the notifier is not used any more.
  class WriterGuard {
   public:
    /// `pipe` null: there is nothing to write.
    WriterGuard(BodyPipe* pipe, runtime::Notifier& capacity_available) : pipe_(pipe) {
      if (pipe_) {
        pipe_->capacity_available_ = &capacity_available;
      }
    }
    ~WriterGuard() {
      if (!pipe_) {
        return;
      }
      pipe_->abort();
      pipe_->capacity_available_ = nullptr;
    }
    WriterGuard(const WriterGuard&) = delete;
    WriterGuard& operator=(const WriterGuard&) = delete;

   private:
    BodyPipe* pipe_;
  };

  bool full() const {
    return bytes_.size() >=
           (budget_.has_capacity() ? kMaxBufferedBytes : kMaxBufferedBytesWhenOverBudget);
  }
  /// Takes all of `bytes`, which is empty afterwards.
  void push(std::string& bytes) {
    budget_.used_ += bytes.size();
    bytes_ += std::exchange(bytes, {});
    data_available_.notify();
  }
  /// The body is complete.
  void finish() {
    state_ = State::kComplete;
    data_available_.notify();
  }
  /// The body will never be complete. Without effect on one that is.
  void abort() {
    if (state_ == State::kOpen) {
      state_ = State::kAborted;
    }
    data_available_.notify();
  }
  bool reader_closed() const { return reader_closed_; }
  /// Whether the reader has taken a byte: then nobody can read the body from its start any more.
  bool reading_started() const { return reading_started_; }

  // ---- The reader's side

  /// Closes the reader's side at its end.
  class ReaderGuard {
   public:
    explicit ReaderGuard(BodyPipe& pipe) : pipe_(pipe) {}
    ~ReaderGuard() { pipe_.close_reader(); }
    ReaderGuard(const ReaderGuard&) = delete;
    ReaderGuard& operator=(const ReaderGuard&) = delete;

   private:
    BodyPipe& pipe_;
  };

  bool empty() const { return bytes_.empty(); }
  /// All bytes that the pipe holds.
  std::string take() {
    reading_started_ = true;
    budget_.used_ -= bytes_.size();
    notify_writer();
    return std::exchange(bytes_, {});
  }
  /// Whether the writer has finished; the pipe may still hold bytes.
  bool is_complete() const { return state_ == State::kComplete; }
  bool is_aborted() const { return state_ == State::kAborted; }
  /// Notified of bytes, and of the body's end.
  runtime::Notifier& data_available() { return data_available_; }
  void close_reader() {
    reader_closed_ = true;
    notify_writer();
  }

 private:
  enum class State { kOpen, kComplete, kAborted };

  void notify_writer() {
    if (capacity_available_) {
      capacity_available_->notify();
    }
  }

  BodyBudget& budget_;
  /// The writer's; null where there is none.
  runtime::Notifier* capacity_available_ = nullptr;
  runtime::Notifier data_available_;
  std::string bytes_;
  State state_ = State::kOpen;
  bool reading_started_ = false;
  bool reader_closed_ = false;
};

}  // namespace beechhill::proxy
