// The log, the operator file and the command line, as an operator meets them.
#include <sys/stat.h>

#include <filesystem>

#include "config/operator_file.h"
#include "log/log.h"
#include "support/proxy_fixture.h"

using namespace beechhill;
using namespace beechhill::test;

namespace {

struct Ran {
  int code = 0;
  std::string said;  // on standard output and error
};
Ran run(const std::string& arguments) {
  const std::string command = std::string(PROXY_PROGRAM) + " " + arguments + " 2>&1";
  FILE* pipe = ::popen(command.c_str(), "r");
  assert(pipe);
  Ran ran;
  char chunk[512];
  while (const std::size_t n = std::fread(chunk, 1, sizeof chunk, pipe)) {
    ran.said.append(chunk, n);
  }
  const int status = ::pclose(pipe);
  ran.code = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  return ran;
}

class File {
 public:
  explicit File(const std::string& text) {
    char path[] = "/tmp/command_test_XXXXXX";
    ::close(::mkstemp(path));
    path_ = path;
    std::ofstream(path_) << text;
  }
  ~File() { std::remove(path_.c_str()); }
  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

// A line stays one line and cannot be forged by what a client or a backend says.
void lines() {
  using log::Field;
  using log::Format;
  using log::Level;
  const auto at =
      std::chrono::system_clock::time_point(std::chrono::milliseconds(1'700'000'000'123));
  const struct {
    Format format;
    Level level;
    std::vector<Field> fields;
    std::string line;
  } cases[] = {
      {Format::kLogfmt,
       Level::kInfo,
       {{"side", std::string_view("front")}, {"operations", std::uint64_t{24}}},
       "end side=front operations=24"},
      {Format::kLogfmt,
       Level::kWarning,
       {{"fault", std::string_view("a \"b\"\nend side=front")}},
       R"(end level=warning fault="a \"b\"\nend side=front")"},
      {Format::kLogfmt,
       Level::kInfo,
       {{"empty", std::string_view("")}, {"sum", std::string_view("a=b")}},
       R"(end empty="" sum="a=b")"},
      {Format::kLogfmt,
       Level::kInfo,
       {{"nul", std::string_view("a\0b", 3)}},
       R"(end nul="a\u0000b")"},
      {Format::kJson,
       Level::kInfo,
       {{"ok", true},
        {"n", std::int64_t{-3}},
        {"x", 0.5},
        {"bad", 1 / std::strtod("0", nullptr)},
        {"t", std::string_view("a\"")}},
       R"({"level":"info","event":"end","ok":true,"n":-3,"x":0.5,"bad":null,"t":"a\""})"},
  };
  for (const auto& c : cases) {
    const std::string line =
        log::line_of(c.format, c.level, "end", c.fields.data(), c.fields.size(), nullptr);
    if (line != c.line) {
      std::fprintf(stderr, "%s\n%s\n", line.c_str(), c.line.c_str());
    }
    assert(line == c.line);
  }
  assert(log::line_of(Format::kLogfmt, Level::kInfo, "x", nullptr, 0, &at) ==
         "2023-11-14T22:13:20.123Z x");
}

// A reader of standard output that stalls for good neither stops the program nor its end, and
// whoever reads on is told how much is missing.
void never_blocks() {
  int out[2];
  assert(::pipe(out) == 0);
  const pid_t pid = ::fork();
  if (pid == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    ::dup2(out[1], 1);
    log::Settings settings;
    settings.queue = 64;
    log::start(settings);
    const std::string padding(100, 'x');
    for (int i = 0; i < 20'000; ++i) {
      log::info("line", {{"number", std::int64_t{i}}, {"padding", std::string_view(padding)}});
    }
    assert(log::dropped() > 10'000);  // a pipe holds 64 KiB
    log::finish(50ms);                // and ends, though nobody has read yet
    ::raise(SIGSTOP);
    log::info("last");
    log::finish(kPatience);
    ::_exit(0);
  }
  ::close(out[1]);
  int status = 0;
  const auto end = Clock::now() + kPatience;
  while (::waitpid(pid, &status, WUNTRACED | WNOHANG) == 0) {
    assert(Clock::now() < end), ::usleep(2000);
  }
  assert(WIFSTOPPED(status));
  ::kill(pid, SIGCONT);
  std::string read;
  char chunk[4096];
  for (ssize_t n = 0; (n = ::read(out[0], chunk, sizeof chunk)) > 0;) {
    read.append(chunk, static_cast<std::size_t>(n));
  }
  ::waitpid(pid, &status, 0);
  assert(WIFEXITED(status) && WEXITSTATUS(status) == 0);
  assert(read.ends_with("last\n"));
  long long lines = 0, lost = 0;
  for (std::size_t from = 0; from < read.size();) {
    const std::size_t to = read.find('\n', from);
    const std::string line = read.substr(from, to - from);
    from = to + 1;
    if (line.starts_with("log_dropped level=warning lines=")) {
      lost += std::atoll(line.c_str() + line.rfind('=') + 1);
    } else {
      ++lines;
    }
  }
  assert(lines + lost == 20'001);
}

// What is wrong with an operator file is named with file, line and key; its example is good and
// says the defaults.
void operator_files() {
  const struct {
    const char *text, *said;
  } cases[] = {
      {"[log]\nlevel = \"loud\"", "op:2: log.level: not one of debug, info, warning, error, off"},
      {"[log]\nlevel = 3", "op:2: log.level: not one of"},
      {"[log]\nqueue = 4", "op:2: log.queue: not from 16 to 65536"},
      {"[log]\ntime = 1", "op:2: log.time: not true or false"},
      {"\n[log]\nlevle = \"info\"", "op:3: log.levle: unknown key"},
      {"[logs]", "op:1: logs: unknown key"},
      {"log = 3", "op:1: log: not a table"},
      {"[log", "op:1: "}};
  for (const auto& c : cases) {
    std::string what;
    try {
      config::read_operator(config::parse_toml(c.text, "op"), "op");
    } catch (const config::TomlError& fault) {
      what = fault.what();
    }
    if (!what.starts_with(c.said)) {
      std::fprintf(stderr, "%s: %s\n", c.text, what.c_str());
    }
    assert(what.starts_with(c.said));
  }
  const config::OperatorSettings example = config::load_operator(OPERATOR_EXAMPLE),
                                 usual = config::load_operator("");
  assert(example.log.level == usual.log.level && example.log.format == usual.log.format);
  assert(example.log.time == usual.log.time && example.log.queue == usual.log.queue);
}

void commands() {
  const File good(config_json("127.0.0.1:1", "127.0.0.1:2", "[]"));
  std::string spoilt = config_json("127.0.0.1:1", "127.0.0.1:2", "[]");
  spoilt.insert(spoilt.find("\"limits\""), "\n\n");
  spoilt.replace(spoilt.find("\"sockets\":256"), 13, "\"sockets\":\n3");
  const File bad(spoilt), bad_operator("[log]\nformat = \"xml\"\n");
  const struct {
    std::string arguments;
    int code;
    std::string said;
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
    const Ran ran = run(c.arguments);
    if (ran.code != c.code || ran.said.find(c.said) == std::string::npos) {
      std::fprintf(stderr, "%s: %d: %s\n", c.arguments.c_str(), ran.code, ran.said.c_str());
    }
    assert(ran.code == c.code && ran.said.find(c.said) != std::string::npos);
  }
}

}  // namespace

int main() {
  lines();
  never_blocks();
  operator_files();
  commands();
}
