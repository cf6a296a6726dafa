// A bounded buffer that carries a message body from one connection to another, with one writer and
// one reader. Backpressure limits the writer to the reader's pace.
#pragma once

#include <cstddef>
#include <string>
#include <utility>

#include "proxy/buffer_budget.h"
#include "runtime/scheduler.h"

namespace beechhill::proxy {

/// The buffer of one body. `budget` must outlive the pipe.
class BodyPipe {
 public:
  /// Number of buffered bytes at which the pipe is full. The last push() may exceed this number.
  static constexpr std::size_t kMaxBufferedBytes = std::size_t{64} * 1024;

  BodyPipe(BufferBudget& budget, BufferKind kind) : budget_(budget), usage_(budget, kind) {}
  BodyPipe(const BodyPipe&) = delete;
  BodyPipe& operator=(const BodyPipe&) = delete;

  // ---- Writer

  /// Registers the writer's notifier `capacity_available` while the guard exists. It is notified
  /// when the reader takes bytes or closes its side. The destructor unregisters the notifier, and
  /// aborts the body if it is incomplete.
  class WriterGuard {
   public:
    /// `pipe` is null if there is no body to write.
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

  /// Whether the writer must wait. While the budget has no capacity, the pipe holds only
  /// BufferBudget::kGuaranteedBytes, including the bytes that the reader has not released.
  bool full() const {
    return budget_.has_capacity() ? bytes_.size() >= kMaxBufferedBytes
                                  : bytes_.size() + taken_ >= BufferBudget::kGuaranteedBytes;
  }
  /// Appends `bytes` to the pipe and leaves `bytes` empty.
  void push(std::string& bytes) {
    if (bytes_.empty()) {
      bytes_ = std::exchange(bytes, {});
    } else {
      bytes_ += std::exchange(bytes, {});
    }
    update_usage();
    data_available_.notify();
  }
  /// Marks the body as complete.
  void finish() {
    state_ = State::kComplete;
    data_available_.notify();
  }
  /// Marks the body as permanently incomplete. Has no effect on the state after finish().
  void abort() {
    if (state_ == State::kOpen) {
      state_ = State::kAborted;
    }
    data_available_.notify();
  }
  bool reader_closed() const { return reader_closed_; }
  /// Whether the reader has taken bytes. If so, the body can no longer be read from its start.
  bool reading_started() const { return reading_started_; }

  // ---- Reader

  /// Closes the reader's side on destruction.
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
  /// Removes and returns all buffered bytes. They count as buffered until release(), which must be
  /// called when their memory has been freed.
  std::string take() {
    reading_started_ = true;
    taken_ = bytes_.capacity();
    notify_writer();
    return std::exchange(bytes_, {});
  }
  void release() {
    taken_ = 0;
    update_usage();
    notify_writer();
  }
  /// Puts the result of the first take() back, so that the body can be read from its start again.
  /// Must be called before release().
  void put_back(std::string bytes) {
    bytes_.insert(0, bytes);
    bytes = {};
    reading_started_ = false;
    release();
  }
  /// Whether the writer has called finish(); the pipe may still hold bytes.
  bool is_complete() const { return state_ == State::kComplete; }
  bool is_aborted() const { return state_ == State::kAborted; }
  /// Notified when bytes are pushed and when the body is finished or aborted.
  runtime::Notifier& data_available() { return data_available_; }
  void close_reader() {
    reader_closed_ = true;
    notify_writer();
  }

 private:
  enum class State { kOpen, kComplete, kAborted };

  void update_usage() { usage_.set(bytes_.capacity() + taken_); }
  void notify_writer() {
    if (capacity_available_) {
      capacity_available_->notify();
    }
  }

  BufferBudget& budget_;
  BufferBudget::Usage usage_;
  /// The writer's notifier; null if there is no writer.
  runtime::Notifier* capacity_available_ = nullptr;
  runtime::Notifier data_available_;
  std::string bytes_;
  /// Memory in bytes of the result of take() until release().
  std::size_t taken_ = 0;
  State state_ = State::kOpen;
  bool reading_started_ = false;
  bool reader_closed_ = false;
};

}  // namespace beechhill::proxy
