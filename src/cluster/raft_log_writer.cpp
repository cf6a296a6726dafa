#include "cluster/raft_log_writer.h"

#include <fcntl.h>

#include <cerrno>
#include <cstring>
#include <string_view>
#include <thread>
#include <utility>

#include "cluster/raft_log_file.h"
#include "log/log.h"

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
    const bool written = write(batch);
    const int error = errno;
    lock.lock();
    if (written) {
      durable_records_ = batch.records;
    } else if (!stopping_) {
      log::warning("agreement_disk_failed", {{"error", std::string_view(std::strerror(error))}});
    }
    failed_ = failed_ || !written;
    idle_ = true;
    changed_.notify_all();
  }
  idle_ = true;
  changed_.notify_all();
}

// Everything that waits is one write and one sync, up to the next that replaces the file.
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

bool RaftLogWriter::write(const Write& batch) {
  if (batch.replaces_file) {
    file_ = {};
    return replace_file(path_, batch.bytes);
  }
  if (!file_) {
    file_ = net::FileDescriptor(::open(path_.c_str(), O_WRONLY | O_APPEND | O_CLOEXEC));
  }
  return file_ && write_and_sync(file_.get(), batch.bytes);
}

}  // namespace beechhill::maintenance
