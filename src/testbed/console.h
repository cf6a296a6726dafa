// What the testbed's commands print and write.
#pragma once

#include <json/json.h>

#include <optional>
#include <string>

#include "beechhill/balancer.h"

namespace beechhill::testbed {

/// One line of progress on standard error that is written over; nothing where that is no terminal.
/// The destructor clears the line.
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

/// Prints a table of requests by outcome, and latencies, from a result in the emulator's form: one
/// row for all, one for each class and one for each tenant.
void print_result_table(const Json::Value& result);

/// With one digit after the point; "never" for nullopt.
std::string seconds_text(const std::optional<Duration>& duration);

/// Replaces the file. Throws std::runtime_error where it cannot be written.
void write_text_file(const std::string& path, const std::string& text);

}  // namespace beechhill::testbed
