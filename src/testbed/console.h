// Console and file output of the testbed's commands.
#pragma once

#include <json/json.h>

#include <optional>
#include <string>

#include "beechhill/balancer.h"

namespace beechhill::testbed {

/// A progress line on standard error that each update overwrites. Prints nothing if standard error
/// is not a terminal. The destructor clears the line.
class ProgressLine {
 public:
  ProgressLine();
  ~ProgressLine();
  ProgressLine(const ProgressLine&) = delete;
  ProgressLine& operator=(const ProgressLine&) = delete;
  void show(const std::string& text);

 private:
  const bool is_terminal_;
  bool written_ = false;
};

/// Prints a table of request counts by outcome and of latencies from a result in the emulator's
/// JSON format: one row for all requests, one for each class and one for each tenant.
void print_result_table(const Json::Value& result);

/// Formats a duration in seconds with one decimal place; "never" for nullopt.
std::string seconds_text(const std::optional<Duration>& duration);

/// Replaces the contents of the file with `text`. Throws std::runtime_error if the file cannot be
/// written.
void write_text_file(const std::string& path, const std::string& text);

}  // namespace beechhill::testbed
