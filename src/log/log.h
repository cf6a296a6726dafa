// The structured log: one line for each event, with a name and typed fields. A line goes to a
// writer thread through a bounded queue, so that a stalled reader of standard output never holds up
// the event loop. A line that does not fit replaces the oldest one, and the next line that is
// written states how many were dropped.
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

struct Settings {
  /// Events below it are not written.
  Level level = Level::kInfo;
  Format format = Format::kLogfmt;
  /// Whether each line begins with the wall clock's time, in UTC.
  bool time = false;
  /// Lines that may wait for the writer, from 16 to 65,536; each takes about 400 bytes.
  std::size_t queue = 2048;
};

struct Field {
  /// Letters, digits, '_' and '.'.
  std::string_view name;
  std::variant<std::string_view, std::int64_t, std::uint64_t, double, bool> value;
};

/// The line of an event, without its line end. No I/O. The time is left out where `at` is null.
/// Bytes that could end or forge a line are escaped, whoever they came from. In logfmt the level is
/// named from kWarning on.
std::string format_line(Format format, Level level, std::string_view name, const Field* fields,
                        std::size_t count, const std::chrono::system_clock::time_point* at);

/// Starts the writer. To be called once in a process, after its signals are blocked. Before that,
/// events are written at once by the thread that logs them.
void start(const Settings& settings);
/// Takes over `level`; the other settings are fixed by start().
void set_level(Level level);
/// Waits until all that was logged is written, but no longer than `timeout`. What is left is lost.
void finish(std::chrono::milliseconds timeout);
/// Logs an event. Never blocks once the writer is started; any thread may call it from then on.
void event(Level level, std::string_view name, std::initializer_list<Field> fields);
/// Lines dropped so far.
std::uint64_t dropped();

inline void info(std::string_view name, std::initializer_list<Field> fields = {}) {
  event(Level::kInfo, name, fields);
}
inline void warning(std::string_view name, std::initializer_list<Field> fields = {}) {
  event(Level::kWarning, name, fields);
}
/// A fault that did not end the program, as a warning called `name`.
inline void fault(std::string_view name, const std::exception& error) {
  warning(name, {{"fault", std::string_view(error.what())}});
}
/// A bounded mailbox was full and did not take the message called `message`.
inline void dropped_message(std::string_view message) {
  warning("mailbox_full", {{"lost", message}});
}

}  // namespace beechhill::log
