#include "log/log.h"

#include <fmt/chrono.h>
#include <fmt/format.h>
#include <json/json.h>
#include <spdlog/async.h>
#include <spdlog/sinks/base_sink.h>
#include <unistd.h>

#include <atomic>
#include <cerrno>
#include <memory>
#include <thread>

namespace beechhill::log {
namespace {

constexpr const char* kLevels[] = {"debug", "info", "warning", "error", "off"};

bool plain(std::string_view text) {
  if (text.empty()) {
    return false;
  }
  for (const char c : text) {
    if (c <= ' ' || c == '"' || c == '=' || c == '\\' || c == 0x7f) {
      return false;
    }
  }
  return true;
}

std::string quoted(std::string_view text) {
  // jsoncpp escapes quotes, control bytes and what is no UTF-8, so that a line stays a line.
  static const Json::StreamWriterBuilder builder = [] {
    Json::StreamWriterBuilder b;
    b["indentation"] = "";
    return b;
  }();
  return Json::writeString(builder, Json::Value(text.data(), text.data() + text.size()));
}

std::string text_of(const Field& field, bool json) {
  return std::visit(
      [json](const auto& v) -> std::string {
        using T = std::decay_t<decltype(v)>;
        if constexpr (std::is_same_v<T, std::string_view>) {
          return json || !plain(v) ? quoted(v) : std::string(v);
        } else if constexpr (std::is_same_v<T, double>) {
          return json && !(v - v == 0) ? "null" : fmt::format("{:g}", v);  // JSON has no infinity
        } else {
          return fmt::format("{}", v);
        }
      },
      field.value);
}

std::string stamp(std::chrono::system_clock::time_point at) {
  const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(at.time_since_epoch());
  return fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z",
                     fmt::gmtime(std::chrono::system_clock::to_time_t(at)), ms.count() % 1000);
}

void write_all(std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t n = ::write(STDOUT_FILENO, bytes.data(), bytes.size());
    if (n < 0 && errno == EINTR) {
      continue;
    }
    if (n <= 0) {
      return;  // nobody reads: a log must not end the program
    }
    bytes.remove_prefix(static_cast<std::size_t>(n));
  }
}

std::atomic<std::uint64_t> written{0};

// Runs on the writer's thread alone.
class StandardOutput : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
 public:
  explicit StandardOutput(Format format) : format_(format) {}
  std::weak_ptr<spdlog::details::thread_pool> pool;

 private:
  void sink_it_(const spdlog::details::log_msg& message) override {
    const auto from = pool.lock();
    if (const std::uint64_t lost = from ? from->overrun_counter() : 0; lost != said_) {
      const Field count{"lines", lost - said_};
      said_ = lost;
      write_all(line_of(format_, Level::kWarning, "log_dropped", &count, 1, nullptr) + "\n");
    }
    write_all({message.payload.data(), message.payload.size()});
    ++written;
  }
  void flush_() override {}

  Format format_;
  std::uint64_t said_ = 0;
};

// Never destroyed: a writer that hangs in a write must not hang the program's end.
struct Writer {
  Settings settings;
  std::shared_ptr<spdlog::details::thread_pool> pool;
  std::shared_ptr<spdlog::async_logger> logger;
  std::atomic<Level> level{Level::kInfo};
  std::uint64_t posted = 0;
};
Writer* writer = nullptr;

}  // namespace

std::string line_of(Format format, Level level, std::string_view name, const Field* fields,
                    std::size_t count, const std::chrono::system_clock::time_point* at) {
  const char* word = kLevels[static_cast<std::size_t>(level)];
  std::string line;
  if (format == Format::kJson) {
    line = "{";
    if (at) {
      line += "\"time\":\"" + stamp(*at) + "\",";
    }
    line += fmt::format("\"level\":\"{}\",\"event\":{}", word, quoted(name));
    for (std::size_t i = 0; i < count; ++i) {
      line += fmt::format(",{}:{}", quoted(fields[i].name), text_of(fields[i], true));
    }
    return line + "}";
  }
  if (at) {
    line = stamp(*at) + " ";
  }
  line += name;
  if (level >= Level::kWarning) {
    line += fmt::format(" level={}", word);
  }
  for (std::size_t i = 0; i < count; ++i) {
    line += fmt::format(" {}={}", fields[i].name, text_of(fields[i], false));
  }
  return line;
}

void start(const Settings& settings) {
  auto sink = std::make_shared<StandardOutput>(settings.format);
  auto* made = new Writer;
  made->settings = settings;
  made->level = settings.level;
  made->pool = std::make_shared<spdlog::details::thread_pool>(settings.queue, 1);
  sink->pool = made->pool;
  made->logger = std::make_shared<spdlog::async_logger>(
      "beechhill", sink, made->pool, spdlog::async_overflow_policy::overrun_oldest);
  made->logger->set_level(spdlog::level::trace);
  writer = made;
}

void set_level(Level level) {
  if (writer) {
    writer->level = level;
  }
}

void finish(std::chrono::milliseconds at_most) {
  if (!writer) {
    return;
  }
  const auto until = std::chrono::steady_clock::now() + at_most;
  while (written + dropped() < writer->posted && std::chrono::steady_clock::now() < until) {
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
}

std::uint64_t dropped() {
  return writer ? writer->pool->overrun_counter() : 0;
}

void event(Level level, std::string_view name, std::initializer_list<Field> fields) {
  const Level least = writer ? writer->level.load() : Level::kInfo;
  if (level < least || least == Level::kOff) {
    return;
  }
  const Settings usual;
  const Settings& s = writer ? writer->settings : usual;
  std::chrono::system_clock::time_point now;
  if (s.time) {
    now = std::chrono::system_clock::now();
  }
  const std::string line =
      line_of(s.format, level, name, fields.begin(), fields.size(), s.time ? &now : nullptr) + "\n";
  if (!writer) {
    return write_all(line);
  }
  ++writer->posted;
  writer->logger->log(spdlog::level::info, spdlog::string_view_t(line.data(), line.size()));
}

}  // namespace beechhill::log
