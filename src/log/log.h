// The structured log: one line an event, with a name and typed fields. A line is handed to a writer
// thread through a bounded queue, so that a reader of standard output that stalls never holds up
// the event loop; what does not fit drops the oldest line, and the next line written says how many
// were dropped.
#pragma once

#include <chrono>
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
  Level level = Level::kInfo;  // what is below is not written
  Format format = Format::kLogfmt;
  bool time = false;         // each line begins with the wall clock's time, in UTC
  std::size_t queue = 2048;  // lines, from 16 to 65,536; each takes about 400 bytes
};

struct Field {
  std::string_view name;  // a word: letters, digits, '_' and '.'
  std::variant<std::string_view, std::int64_t, std::uint64_t, double, bool> value;
};

// The line of an event without its line end. No I/O. `at` is left out where it is null. Bytes that
// could end or forge a line are escaped, whoever they came from. In logfmt the level is named from
// a warning on.
std::string line_of(Format format, Level level, std::string_view name, const Field* fields,
                    std::size_t count, const std::chrono::system_clock::time_point* at);

// Starts the writer, once for a process and after its signals are blocked. Before that, events are
// written at once by whoever logs them.
void start(const Settings& settings);
// Takes over the level from settings that were read again; the rest is settled by the start.
void set_level(Level level);
// Waits until all that was logged is written, or for so long. What is left is lost.
void finish(std::chrono::milliseconds at_most);
// Never blocks once started.
void event(Level level, std::string_view name, std::initializer_list<Field> fields);
std::uint64_t dropped();  // lines so far

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
/// A bounded mailbox was full and did not take the message called `what`.
inline void dropped_message(std::string_view what) {
  warning("mailbox_full", {{"lost", what}});
}

}  // namespace beechhill::log
