// Tests of the program's command line: its output and exit codes.
#include <gtest/gtest.h>

#include "support/proxy_fixture.h"

namespace beechhill::test {
namespace {

struct ProgramResult {
  int exit_code = 0;
  std::string output;  // standard output and standard error
};

ProgramResult run_program(const std::string& arguments) {
  const std::string command = std::string(PROXY_PROGRAM) + " " + arguments + " 2>&1";
  FILE* pipe = ::popen(command.c_str(), "r");
  require(pipe != nullptr);
  ProgramResult result;
  char chunk[512];
  while (const std::size_t size = std::fread(chunk, 1, sizeof chunk, pipe)) {
    result.output.append(chunk, size);
  }
  const int status = ::pclose(pipe);
  result.exit_code = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  return result;
}

class TemporaryFile {
 public:
  explicit TemporaryFile(const std::string& text) {
    char path[] = "/tmp/command_line_test_XXXXXX";
    ::close(::mkstemp(path));
    path_ = path;
    std::ofstream(path_) << text;
  }
  ~TemporaryFile() { std::remove(path_.c_str()); }
  TemporaryFile(const TemporaryFile&) = delete;
  TemporaryFile& operator=(const TemporaryFile&) = delete;
  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

TEST(CommandLine, PrintsAndExitsAsDocumented) {
  const TemporaryFile good(config_json("127.0.0.1:1", "127.0.0.1:2", "[]"));
  std::string faulty = config_json("127.0.0.1:1", "127.0.0.1:2", "[]");
  faulty.insert(faulty.find("\"limits\""), "\n\n");
  faulty.replace(faulty.find("\"sockets\":256"), 13, "\"sockets\":\n3");
  const TemporaryFile bad(faulty);
  const TemporaryFile bad_operator("[log]\nformat = \"xml\"\n");
  const struct {
    std::string arguments;
    int exit_code;
    std::string output;
  } cases[] = {
      {"version", 0, "beechhill "},
      {"--help", 0, "beechhill-testbed"},
      {"serve --help", 0, "--operator"},
      {"check --config " + good.path(), 0, "configuration: good"},
      {"check --config " + bad.path(), 2, bad.path() + ":3: limits.sockets: must be at least 64"},
      {"check --config " + good.path() + " --operator " + bad_operator.path(), 2,
       bad_operator.path() + ":2: log.format: not one of logfmt, json"},
      {"check --config /nowhere", 2, "GW_CONFIG: cannot be read: /nowhere"},
      {"check", 2, "nothing to check"},
      {"swerve", 2, "subcommand is required"},
      {"serve --operator /nowhere", 1, "GW_CONFIG"},
  };
  ::unsetenv("GW_CONFIG");
  ::unsetenv("BEECHHILL_OPERATOR");
  for (const auto& test_case : cases) {
    SCOPED_TRACE(test_case.arguments);
    const ProgramResult result = run_program(test_case.arguments);
    EXPECT_EQ(result.exit_code, test_case.exit_code);
    EXPECT_NE(result.output.find(test_case.output), std::string::npos) << result.output;
  }
}

}  // namespace
}  // namespace beechhill::test
