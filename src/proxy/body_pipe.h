// A body on its way from one connection to another: bounded, with one writer and one reader.
// Whoever is slower holds the other back.
#pragma once

#include <cstddef>
#include <string>
#include <utility>

#include "runtime/scheduler.h"

namespace beechhill::proxy {

// Bytes that all pipes together may hold; beyond it new large requests are refused, and answers go
// in small pieces.
class BodyBudget {
 public:
  explicit BodyBudget(std::size_t bytes) : limit_(bytes) {}
  bool has_capacity() const { return used_ < limit_; }
  void set_limit(std::size_t bytes) { limit_ = bytes; }

 private:
  friend class BodyPipe;
  std::size_t limit_, used_ = 0;
};

class BodyPipe {
 public:
  static constexpr std::size_t kMaxBufferedBytes = 64 * 1024,
                               kMaxBufferedBytesWhenOverBudget = 16 * 1024;

  explicit BodyPipe(BodyBudget& budget) : budget_(budget) {}
  ~BodyPipe() { budget_.used_ -= bytes_.size(); }
  BodyPipe(const BodyPipe&) = delete;
  BodyPipe& operator=(const BodyPipe&) = delete;

  // ---- The writer's side
  // For as long as the writer is there: `to_writer` is notified when there is room again or the
  // reader has gone. However the writer ends, a body that is not whole is broken off then, and the
  // notifier not touched any more.
  class WriterGuard {
   public:
    WriterGuard(BodyPipe* pipe, runtime::Notifier& to_writer)
        : pipe_(pipe) {  // null: there is nothing to write
      if (pipe_) {
        pipe_->to_writer_ = &to_writer;
      }
    }
    ~WriterGuard() {
      if (!pipe_) {
        return;
      }
      pipe_->abort();
      pipe_->to_writer_ = nullptr;
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
  void push(std::string& bytes) {  // takes all of it: the last piece may go beyond
    budget_.used_ += bytes.size();
    bytes_ += std::exchange(bytes, {});
    to_reader_.notify();
  }
  void finish() { end_ = End::kWhole, to_reader_.notify(); }
  void abort() {  // it will never be whole; nothing after the first end
    if (end_ == End::kOpen) {
      end_ = End::kBroken;
    }
    to_reader_.notify();
  }
  bool reader_closed() const { return gone_; }  // the reader has gone
  // Whether a byte has been taken out: then nobody can have the body from its beginning any more.
  bool reading_started() const { return begun_; }

  // ---- The reader's side
  bool empty() const { return bytes_.empty(); }
  std::string take() {
    begun_ = true;
    budget_.used_ -= bytes_.size();
    if (to_writer_) {
      to_writer_->notify();
    }
    return std::exchange(bytes_, {});
  }
  bool is_complete() const { return end_ == End::kWhole; }
  bool is_aborted() const { return end_ == End::kBroken; }
  runtime::Notifier& data_available() { return to_reader_; }
  void close_reader() {
    gone_ = true;
    if (to_writer_) {
      to_writer_->notify();
    }
  }

 private:
  enum class End { kOpen, kWhole, kBroken };
  BodyBudget& budget_;
  runtime::Notifier* to_writer_ = nullptr;
  runtime::Notifier to_reader_;
  std::string bytes_;
  End end_ = End::kOpen;
  bool begun_ = false, gone_ = false;
};

}  // namespace beechhill::proxy
