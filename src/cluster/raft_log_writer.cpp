#include "cluster/raft_log_writer.h"

#include <fcntl.h>

#include <string_view>
#include <thread>
#include <utility>

#include "cluster/raft_log_file.h"
#include "log/log.h"
#include "storage/file.h"

namespace beechhill::maintenance {

std::shared_ptr<RaftLogWriter> RaftLogWriter::start(std::string path,
                                                    std::uint64_t durable_records) {
  const std::shared_ptr<RaftLogWriter> writer(new RaftLogWriter(std::move(path), durable_records));
  std::thread([writer] { writer->run(); }).detach();
  return writer;
}

void RaftLogWriter::submit(Write write) {
  const std::lock_guard lock(mutex_);
  queue_.push_back(std::move(write));
  changed_.notify_all();
}

std::uint64_t RaftLogWriter::durable_records() const {
  const std::lock_guard lock(mutex_);
  return durable_records_;
}

bool RaftLogWriter::failed() const {
  const std::lock_guard lock(mutex_);
  return failed_;
}

void RaftLogWriter::fail() {
  const std::lock_guard lock(mutex_);
  failed_ = true;
}

void RaftLogWriter::stop(std::chrono::milliseconds timeout) {
  std::unique_lock lock(mutex_);
  stopping_ = true;
  changed_.notify_all();
  changed_.wait_for(lock, timeout, [this] { return idle_ && (queue_.empty() || failed_); });
}

void RaftLogWriter::run() {
  std::unique_lock lock(mutex_);
  for (;;) {
    changed_.wait(lock, [this] { return !queue_.empty() || stopping_; });
    if (queue_.empty() || failed_) {
      break;
    }
    const Write batch = take_batch();
    idle_ = false;
    lock.unlock();
    const std::error_code error = write(batch);
    lock.lock();
    if (!error) {
      durable_records_ = batch.records;
    } else if (!stopping_) {
      log::warning("agreement_disk_failed", {{"error", std::string_view(error.message())}});
    }
    failed_ = failed_ || error;
    idle_ = true;
    changed_.notify_all();
  }
  idle_ = true;
  changed_.notify_all();
}

// Combines consecutive appends into one write and one sync, stopping at the next write that
// replaces the file.
RaftLogWriter::Write RaftLogWriter::take_batch() {
  Write batch = std::move(queue_.front());
  queue_.pop_front();
  while (!batch.replaces_file && !queue_.empty() && !queue_.front().replaces_file) {
    batch.bytes += queue_.front().bytes;
    batch.records = queue_.front().records;
    queue_.pop_front();
  }
  return batch;
}

std::error_code RaftLogWriter::write(const Write& batch) {
  if (batch.replaces_file) {
    file_ = {};
    return storage::replace_file(path_, batch.bytes, storage::Durability::kMachineCrash);
  }
  if (!file_) {
    file_ = storage::open_file(path_, O_WRONLY | O_APPEND);
  }
  return file_ ? storage::write_durably(file_, batch.bytes) : storage::last_error();
}

}  // namespace beechhill::maintenance
