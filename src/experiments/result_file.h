/// Reads and writes result files, which contain one line of JSON per run.
#pragma once

#include <json/json.h>

#include <cstdio>
#include <memory>
#include <string>
#include <vector>

#include "emulator/scenario.h"

namespace beechhill::experiments {

/// Formats a value as one line of JSON. Equal values give equal text. Numbers have nine significant
/// digits, which are enough to distinguish results.
std::string to_json_line(const Json::Value& value);

/// Returns the row of a result file for a single run, which has no grid parameters.
Json::Value make_result_row(const emulator::Scenario& scenario, const std::string& policy,
                            const Json::Value& result);

/// Replaces the file with `rows`, one per line. Throws std::runtime_error if it cannot be written.
void write_lines(const std::string& path, const std::vector<Json::Value>& rows);

/// Returns the complete lines of a result file, or none if the file does not exist. Sets `torn` to
/// whether the file contains an incomplete line, which an interrupted run can leave.
std::vector<Json::Value> read_lines(const std::string& path, bool& torn);

/// Writes lines to a file and flushes each of them to the operating system.
class LineWriter {
 public:
  /// Opens the file with `mode` as for std::fopen. Throws std::runtime_error on failure.
  LineWriter(std::string path, const char* mode);
  /// Appends `line` and a line feed. Throws std::runtime_error on failure.
  void write(const std::string& line);
  /// Calls fsync() on the file. Throws std::runtime_error on failure.
  void sync();

 private:
  struct FileCloser {
    void operator()(std::FILE* file) const { std::fclose(file); }
  };
  [[noreturn]] void throw_write_error() const;

  std::string path_;
  std::unique_ptr<std::FILE, FileCloser> file_;
};

}  // namespace beechhill::experiments
