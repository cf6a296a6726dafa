// Tests of the structured log: the format of its lines, and that logging never blocks the caller.
#include "log/log.h"

#include <gtest/gtest.h>

#include <cstdlib>
#include <thread>

#include "support/proxy_fixture.h"

namespace beechhill::log {
namespace {

using namespace std::chrono_literals;

// Values come from clients and backends. They must not be able to end a line or forge one.
TEST(LogLine, EscapesItsValues) {
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
  for (const auto& test_case : cases) {
    EXPECT_EQ(format_line(test_case.format, test_case.level, "end", test_case.fields.data(),
                          test_case.fields.size(), nullptr),
              test_case.line);
  }
}

TEST(LogLine, BeginsWithTheTimeInUtc) {
  const std::chrono::system_clock::time_point at(std::chrono::milliseconds(1'700'000'000'123));
  EXPECT_EQ(format_line(Format::kLogfmt, Level::kInfo, "x", nullptr, 0, &at),
            "2023-11-14T22:13:20.123Z x");
}

// Runs in a child process. Logs more than the queue and the pipe can hold while nobody reads the
// pipe, then stops itself with SIGSTOP. After SIGCONT it logs one more line and waits until all
// lines are written. Aborts if too few lines were dropped.
[[noreturn]] void log_into_a_stalled_pipe(int out) {
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  ::dup2(out, STDOUT_FILENO);
  Settings settings;
  settings.queue = 64;
  start(settings);
  const std::string padding(100, 'x');
  for (int i = 0; i < 20'000; ++i) {
    info("line", {{"number", std::int64_t{i}}, {"padding", std::string_view(padding)}});
  }
  if (dropped() <= 10'000) {  // More than half must be dropped, as a pipe holds only 64 KiB.
    std::abort();
  }
  finish(50ms);  // This must return although nobody reads the pipe.
  ::raise(SIGSTOP);
  info("last");
  finish(test::kTestTimeout);
  ::_exit(0);
}

std::string read_to_end(int fd) {
  std::string text;
  char chunk[4096];
  for (ssize_t size = 0; (size = ::read(fd, chunk, sizeof chunk)) > 0;) {
    text.append(chunk, static_cast<std::size_t>(size));
  }
  return text;
}

struct LineCounts {
  long long written = 0;
  long long dropped = 0;  // the sum of the counts in log_dropped lines
};

LineCounts count_lines(const std::string& text) {
  LineCounts counts;
  for (std::size_t from = 0; from < text.size();) {
    const std::size_t to = text.find('\n', from);
    const std::string line = text.substr(from, to - from);
    from = to + 1;
    if (line.starts_with("log_dropped level=warning lines=")) {
      counts.dropped += std::atoll(line.c_str() + line.rfind('=') + 1);
    } else {
      ++counts.written;
    }
  }
  return counts;
}

TEST(Log, NeverBlocksOnAStalledReaderAndCountsWhatItDropped) {
  int out[2];
  ASSERT_EQ(::pipe(out), 0);
  const pid_t pid = ::fork();
  if (pid == 0) {
    log_into_a_stalled_pipe(out[1]);
  }
  ::close(out[1]);
  int status = 0;
  const auto deadline = test::Clock::now() + test::kTestTimeout;
  while (::waitpid(pid, &status, WUNTRACED | WNOHANG) == 0) {
    ASSERT_LT(test::Clock::now(), deadline);
    ::usleep(2000);
  }
  ASSERT_TRUE(WIFSTOPPED(status));
  ::kill(pid, SIGCONT);
  const std::string text = read_to_end(out[0]);
  ::waitpid(pid, &status, 0);
  EXPECT_TRUE(WIFEXITED(status));
  EXPECT_EQ(WEXITSTATUS(status), 0);
  EXPECT_TRUE(text.ends_with("last\n"));
  const LineCounts counts = count_lines(text);
  EXPECT_EQ(counts.written + counts.dropped, 20'001);
}

// Runs in a child process. Logs from several threads at once and waits until all lines are written.
[[noreturn]] void log_from_threads(int out, int thread_count, int lines_per_thread) {
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  ::dup2(out, STDOUT_FILENO);
  Settings settings;
  settings.queue = 65'536;
  start(settings);
  std::vector<std::thread> threads;
  for (int thread_index = 0; thread_index < thread_count; ++thread_index) {
    threads.emplace_back([lines_per_thread] {
      for (int i = 0; i < lines_per_thread; ++i) {
        info("line", {{"number", std::int64_t{i}}});
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  finish(test::kTestTimeout);
  ::_exit(0);
}

// Snapshots and the Raft log are written by threads of their own, which log too, so finish() must
// count the lines of all threads.
TEST(Log, FinishWaitsForTheLinesOfAllThreads) {
  constexpr int kThreads = 4;
  constexpr int kLinesPerThread = 10'000;
  int out[2];
  ASSERT_EQ(::pipe(out), 0);
  const pid_t pid = ::fork();
  if (pid == 0) {
    log_from_threads(out[1], kThreads, kLinesPerThread);
  }
  ::close(out[1]);
  const LineCounts counts = count_lines(read_to_end(out[0]));
  int status = 0;
  ::waitpid(pid, &status, 0);
  EXPECT_TRUE(WIFEXITED(status));
  EXPECT_EQ(counts.written + counts.dropped, kThreads * kLinesPerThread);
}

}  // namespace
}  // namespace beechhill::log
