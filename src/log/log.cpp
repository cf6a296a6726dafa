#include "log/log.h"

#include <spdlog/async.h>
#include <spdlog/sinks/base_sink.h>
#include <unistd.h>

#include <atomic>
#include <cerrno>
#include <memory>
#include <thread>

namespace beechhill::log {
namespace {

constexpr std::chrono::milliseconds kFinishPollInterval{1};

// Discards the rest of `bytes` if writing to standard output fails: a logging error must not end
// the program.
void write_all(std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t count = ::write(STDOUT_FILENO, bytes.data(), bytes.size());
    if (count < 0 && errno == EINTR) {
      continue;
    }
    if (count <= 0) {
      return;
    }
    bytes.remove_prefix(static_cast<std::size_t>(count));
  }
}

std::atomic<std::uint64_t> lines_written{0};

// A sink that writes to standard output. Used only by spdlog's single writer thread, so it needs no
// mutex.
class StandardOutput : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
 public:
  explicit StandardOutput(Format format) : format_(format) {}
  std::weak_ptr<spdlog::details::thread_pool> pool;

 private:
  void sink_it_(const spdlog::details::log_msg& message) override {
    const auto queue = pool.lock();
    const std::uint64_t dropped = queue ? queue->overrun_counter() : 0;
    if (dropped != reported_drops_) {
      const Field count{"lines", dropped - reported_drops_};
      reported_drops_ = dropped;
      write_all(format_line(format_, Level::kWarning, "log_dropped", &count, 1, nullptr) + "\n");
    }
    write_all({message.payload.data(), message.payload.size()});
    ++lines_written;
  }
  void flush_() override {}

  Format format_;
  std::uint64_t reported_drops_ = 0;
};

// The state of the log after start(). Never destroyed: the destructor would join the writer thread,
// which may be blocked in write(), and so block the exit of the program.
struct Writer {
  Settings settings;
  std::shared_ptr<spdlog::details::thread_pool> pool;
  std::shared_ptr<spdlog::async_logger> logger;
  std::atomic<Level> level{Level::kInfo};
  std::atomic<std::uint64_t> lines_posted{0};
};
Writer* writer = nullptr;

}  // namespace

void start(const Settings& settings) {
  auto sink = std::make_shared<StandardOutput>(settings.format);
  auto* started = new Writer;
  started->settings = settings;
  started->level = settings.level;
  started->pool = std::make_shared<spdlog::details::thread_pool>(settings.queue, 1);
  sink->pool = started->pool;
  started->logger = std::make_shared<spdlog::async_logger>(
      "beechhill", sink, started->pool, spdlog::async_overflow_policy::overrun_oldest);
  started->logger->set_level(spdlog::level::trace);
  writer = started;
}

void set_level(Level level) {
  if (writer) {
    writer->level = level;
  }
}

void finish(std::chrono::milliseconds timeout) {
  if (!writer) {
    return;
  }
  const auto deadline = std::chrono::steady_clock::now() + timeout;
  while (lines_written + dropped() < writer->lines_posted &&
         std::chrono::steady_clock::now() < deadline) {
    std::this_thread::sleep_for(kFinishPollInterval);
  }
}

std::uint64_t dropped() {
  return writer ? writer->pool->overrun_counter() : 0;
}

void event(Level level, std::string_view name, std::initializer_list<Field> fields) {
  const Level min_level = writer ? writer->level.load() : Level::kInfo;
  if (level < min_level || min_level == Level::kOff) {
    return;
  }
  const Settings defaults;
  const Settings& settings = writer ? writer->settings : defaults;
  std::chrono::system_clock::time_point now;
  if (settings.time) {
    now = std::chrono::system_clock::now();
  }
  const std::string line = format_line(settings.format, level, name, fields.begin(), fields.size(),
                                       settings.time ? &now : nullptr) +
                           "\n";
  if (!writer) {
    return write_all(line);
  }
  ++writer->lines_posted;
  writer->logger->log(spdlog::level::info, spdlog::string_view_t(line.data(), line.size()));
}

}  // namespace beechhill::log
