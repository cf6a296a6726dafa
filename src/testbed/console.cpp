#include "testbed/console.h"

#include <fmt/format.h>
#include <unistd.h>

#include <cstdio>
#include <fstream>
#include <stdexcept>

#include "emulator/units.h"

namespace beechhill::testbed {

namespace {

constexpr const char* kClearLine = "\r\033[K";

// Prints a row of the result table. `latencies` may be null if the result has no latencies for this
// row.
void print_result_row(const std::string& name, const Json::Value& counts,
                      const Json::Value* latencies) {
  fmt::print("{:<20} {:>9} {:>8.4f} {:>8} {:>8} {:>8}", name, counts["asked"].asUInt64(),
             counts["goodput"].asDouble(), counts["late"].asUInt64(), counts["refused"].asUInt64(),
             counts["failed"].asUInt64());
  if (latencies) {
    fmt::print(" {:>9.2f} {:>9.2f} {:>9.2f}", 1e3 * (*latencies)["p50_s"].asDouble(),
               1e3 * (*latencies)["p99_s"].asDouble(), 1e3 * (*latencies)["p999_s"].asDouble());
  }
  fmt::print("\n");
}

}  // namespace

ProgressLine::ProgressLine() : is_terminal_(::isatty(STDERR_FILENO) == 1) {
}

ProgressLine::~ProgressLine() {
  if (written_) {
    std::fputs(kClearLine, stderr);
  }
}

void ProgressLine::show(const std::string& text) {
  if (!is_terminal_) {
    return;
  }
  written_ = true;
  std::fprintf(stderr, "%s%s", kClearLine, text.c_str());
  std::fflush(stderr);
}

void print_result_table(const Json::Value& result) {
  fmt::print("{:<20} {:>9} {:>8} {:>8} {:>8} {:>8} {:>9} {:>9} {:>9}\n", "", "requests", "goodput",
             "late", "rejected", "failed", "p50 ms", "p99 ms", "p99.9 ms");
  print_result_row("all", result["all"], &result);
  const Json::Value& classes = result["classes"];
  for (const std::string& name : classes.getMemberNames()) {
    print_result_row("class " + name, classes[name], &classes[name]);
  }
  const Json::Value& tenants = result["tenants"];
  for (const std::string& name : tenants.getMemberNames()) {
    print_result_row("tenant " + name, tenants[name], nullptr);
  }
}

std::string seconds_text(const std::optional<Duration>& duration) {
  return duration ? fmt::format("{:.1f}", emulator::to_s(*duration)) : "never";
}

void write_text_file(const std::string& path, const std::string& text) {
  std::ofstream out(path);
  out << text;
  out.flush();
  if (!out) {
    throw std::runtime_error(path + ": cannot be written");
  }
}

}  // namespace beechhill::testbed
