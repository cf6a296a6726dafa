/// Result files: one line of JSON for each run.
#pragma once

#include <json/json.h>

#include <cstdio>
#include <memory>
#include <string>
#include <vector>

#include "emulator/scenario.h"

namespace beechhill::experiments {

/// One line of JSON. The same text for the same value; nine digits, which tell results apart.
std::string one_line(const Json::Value& value);

/// One run's line in a result file, with no grid.
Json::Value row_of(const emulator::Scenario& scenario, const std::string& policy,
                   const Json::Value& result);

/// Replaces the file. Throws std::runtime_error where it cannot be written.
void write_lines(const std::string& path, const std::vector<Json::Value>& rows);

/// The complete lines of a result file; an absent file has none. `torn` tells that a line was not
/// complete, as after an interruption.
std::vector<Json::Value> read_lines(const std::string& path, bool& torn);

/// A file that lines are written to, each flushed.
class LineWriter {
 public:
  /// `mode` as std::fopen has it. Throws std::runtime_error where the file cannot be opened.
  LineWriter(std::string path, const char* mode);
  /// Throws std::runtime_error where it fails.
  void write(const std::string& line);
  /// Waits until the disk has it all. Throws std::runtime_error where it fails.
  void sync();

 private:
  struct FileCloser {
    void operator()(std::FILE* file) const { std::fclose(file); }
  };
  [[noreturn]] void fail() const;

  std::string path_;
  std::unique_ptr<std::FILE, FileCloser> file_;
};

}  // namespace beechhill::experiments
