// The structured log: one line per event, with a name and typed fields. Lines are written by a
// separate thread that takes them from a bounded queue, so a stalled reader of standard output
// never blocks the event loop. If the queue is full, a new line replaces the oldest one, and the
// next line that is written is preceded by the number of dropped lines.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <exception>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>

namespace beechhill::log {

enum class Level { kDebug, kInfo, kWarning, kError, kOff };
enum class Format { kLogfmt, kJson };

/// Settings of the log.
struct Settings {
  /// Events with a lower level are not written.
  Level level = Level::kInfo;
  Format format = Format::kLogfmt;
  /// Whether each line begins with the wall clock's time in UTC.
  bool time = false;
  /// Capacity of the queue in lines, from 16 to 65,536. Each line takes about 400 bytes.
  std::size_t queue = 2048;
};

/// A typed field of an event.
struct Field {
  /// The field's name, which consists of letters, digits, '_' and '.'.
  std::string_view name;
  std::variant<std::string_view, std::int64_t, std::uint64_t, double, bool> value;
};

/// Formats an event as a line without a line end. Does no I/O. The time is omitted if `at` is null.
/// Values may come from clients and backends, so bytes that could end or forge a line are escaped.
/// In logfmt the level is included for kWarning and above.
std::string format_line(Format format, Level level, std::string_view name, const Field* fields,
                        std::size_t count, const std::chrono::system_clock::time_point* at);

/// Starts the writer thread. Must be called at most once in a process, after the signals of the
/// process are blocked. Before this call, events are written synchronously by the thread that logs
/// them.
void start(const Settings& settings);
/// Changes the level; the other settings are fixed by start().
void set_level(Level level);
/// Waits until all logged lines are written or dropped, at most for `timeout`. If the program then
/// ends, the remaining lines are lost.
void finish(std::chrono::milliseconds timeout);
/// Logs an event. After start() it never blocks and may be called by any thread.
void event(Level level, std::string_view name, std::initializer_list<Field> fields);
/// Returns the number of lines dropped because the queue was full, since start().
std::uint64_t dropped();

inline void info(std::string_view name, std::initializer_list<Field> fields = {}) {
  event(Level::kInfo, name, fields);
}
inline void warning(std::string_view name, std::initializer_list<Field> fields = {}) {
  event(Level::kWarning, name, fields);
}
/// Logs an error that did not end the program, as a warning called `name`.
inline void fault(std::string_view name, const std::exception& error) {
  warning(name, {{"fault", std::string_view(error.what())}});
}
/// Logs that a full bounded mailbox rejected the message called `message`.
inline void dropped_message(std::string_view message) {
  warning("mailbox_full", {{"lost", message}});
}

}  // namespace beechhill::log
