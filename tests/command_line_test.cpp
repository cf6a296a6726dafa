// The program's command line: what it prints and its exit codes.
#include <gtest/gtest.h>

#include "support/proxy_fixture.h"

namespace beechhill::test {
namespace {

struct Completed {
  int exit_code = 0;
  std::string output;  // on standard output and error
};

Completed run_program(const std::string& arguments) {
  const std::string command = std::string(PROXY_PROGRAM) + " " + arguments + " 2>&1";
  FILE* pipe = ::popen(command.c_str(), "r");
  require(pipe != nullptr);
  Completed completed;
  char chunk[512];
  while (const std::size_t n = std::fread(chunk, 1, sizeof chunk, pipe)) {
    completed.output.append(chunk, n);
  }
  const int status = ::pclose(pipe);
  completed.exit_code = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  return completed;
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
      {"check --config " + bad.path(), 2, bad.path() + ":3: limits.sockets: under 64"},
      {"check --config " + good.path() + " --operator " + bad_operator.path(), 2,
       bad_operator.path() + ":2: log.format: not one of logfmt, json"},
      {"check --config /nowhere", 2, "GW_CONFIG: cannot be read: /nowhere"},
      {"check", 2, "nothing to check"},
      {"swerve", 2, "subcommand is required"},
      {"serve --operator /nowhere", 1, "GW_CONFIG"},
  };
  ::unsetenv("GW_CONFIG");
  ::unsetenv("BEECHHILL_OPERATOR");
  for (const auto& c : cases) {
    SCOPED_TRACE(c.arguments);
    const Completed completed = run_program(c.arguments);
    EXPECT_EQ(completed.exit_code, c.exit_code);
    EXPECT_NE(completed.output.find(c.output), std::string::npos) << completed.output;
  }
}

}  // namespace
}  // namespace beechhill::test
