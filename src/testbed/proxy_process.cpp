#include "testbed/proxy_process.h"

#include <fcntl.h>
#include <fmt/format.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <thread>

#include "testbed/http_client.h"
#include "testbed/task_helpers.h"

namespace beechhill::testbed {

using namespace std::chrono_literals;
using runtime::Clock;
using runtime::Task;

namespace {

constexpr auto kShutdownTimeout = 5s;
constexpr auto kExitPollInterval = 10ms;
constexpr auto kReadinessTimeout = 200ms;
constexpr auto kReadinessPollInterval = 20ms;
constexpr auto kStartTimeout = 15s;
constexpr int kExecFailed = 127;  // exit status, as in a shell, if execl() fails
// Number of fields of /proc/PID/stat between the process name and the user time.
constexpr int kStatFieldsBeforeCpu = 11;

}  // namespace

ProxyProcess::ProxyProcess(const experiments::TempDirectory& directory, const std::string& program,
                           Json::Value config, sockaddr_in address,
                           const std::string& operator_file)
    : program_(program), address_(address) {
  const std::string name = config["name"].asString();
  config_path_ = directory.file(name + ".json");
  log_path_ = directory.file(name + ".log");
  std::ofstream(config_path_) << config;
  if (operator_file.empty()) {
    return;
  }
  operator_file_path_ = directory.file(name + ".toml");
  std::ofstream(operator_file_path_) << operator_file;
}

void ProxyProcess::start() {
  pid_ = ::fork();
  if (pid_ < 0) {
    throw std::runtime_error(program_ + ": cannot create a process");
  }
  if (pid_ == 0) {
    execute();
  }
}

void ProxyProcess::execute() const {
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // kills the proxy when the testbed ends
  const int log = ::open(log_path_.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
  if (log < 0) {
    ::_exit(kExecFailed);
  }
  ::dup2(log, STDOUT_FILENO);
  ::dup2(log, STDERR_FILENO);
  for (const char* name : {"GW_NAME", "GW_LISTEN", "GW_DISCOVERY"}) {
    ::unsetenv(name);
  }
  ::setenv("GW_CONFIG", config_path_.c_str(), 1);
  if (operator_file_path_.empty()) {
    ::unsetenv("BEECHHILL_OPERATOR");
  } else {
    ::setenv("BEECHHILL_OPERATOR", operator_file_path_.c_str(), 1);
  }
  ::execl(program_.c_str(), program_.c_str(), nullptr);
  ::_exit(kExecFailed);
}

void ProxyProcess::kill() {
  if (pid_ <= 0) {
    return;
  }
  signal(SIGKILL);  // terminates the process even if it is suspended
  reap();
}

void ProxyProcess::shut_down() {
  if (pid_ <= 0) {
    return;
  }
  resume();
  request_shutdown();
  for (auto waited = 0ms; waited < kShutdownTimeout && !exited(); waited += kExitPollInterval) {
    std::this_thread::sleep_for(kExitPollInterval);
  }
  kill();
}

bool ProxyProcess::exited() {
  rusage usage{};
  int status = 0;
  if (pid_ > 0 && ::wait4(pid_, &status, WNOHANG, &usage) == pid_) {
    record_exit(usage);
  }
  return pid_ <= 0;
}

double ProxyProcess::running_cpu_s() const {
  std::ifstream in(fmt::format("/proc/{}/stat", pid_));
  std::string text;
  std::getline(in, text);
  // The process name is in parentheses and may contain any character.
  std::istringstream fields(text.substr(text.rfind(')') + 2));
  std::string skipped;
  double user = 0;
  double system = 0;
  for (int i = 0; i < kStatFieldsBeforeCpu; ++i) {
    fields >> skipped;
  }
  fields >> user >> system;
  return (user + system) / static_cast<double>(::sysconf(_SC_CLK_TCK));
}

long ProxyProcess::rss_kib() const {
  std::ifstream in(fmt::format("/proc/{}/statm", pid_));
  long total = 0;
  long resident = 0;
  in >> total >> resident;
  return resident * ::sysconf(_SC_PAGESIZE) / 1024;
}

std::string ProxyProcess::last_log_line() const {
  std::ifstream in(log_path_);
  std::string line;
  std::string last;
  while (std::getline(in, line)) {
    last = line;
  }
  return last;
}

std::vector<std::string> ProxyProcess::log_lines(const std::string& event) const {
  std::ifstream in(log_path_);
  std::vector<std::string> found;
  for (std::string line; std::getline(in, line);) {
    if (line.starts_with(event + " ") || line == event) {
      found.push_back(line + " ");
    }
  }
  return found;
}

std::size_t ProxyProcess::count_log_events(const std::string& event) const {
  return log_lines(event).size();
}

std::uint64_t ProxyProcess::sum_log_field(const std::string& event, const std::string& key) const {
  std::uint64_t sum = 0;
  for (const std::string& line : log_lines(event)) {
    if (const std::size_t at = line.find(" " + key + "="); at != std::string::npos) {
      sum += std::stoull(line.substr(at + key.size() + 2));
    }
  }
  return sum;
}

void ProxyProcess::signal(int number) const {
  if (pid_ > 0) {
    ::kill(pid_, number);
  }
}

void ProxyProcess::reap() {
  rusage usage{};
  int status = 0;
  if (::wait4(pid_, &status, 0, &usage) == pid_) {
    record_exit(usage);
  }
}

void ProxyProcess::record_exit(const rusage& usage) {
  pid_ = 0;
  for (const timeval& t : {usage.ru_utime, usage.ru_stime}) {
    cpu_s_ += static_cast<double>(t.tv_sec) + static_cast<double>(t.tv_usec) / 1e6;
  }
}

Task<bool> is_ready(runtime::Scheduler& scheduler, sockaddr_in address) {
  const HttpResponse response =
      co_await call_http(scheduler, address, "GET", "/health/ready", kReadinessTimeout);
  co_return response.status == 200;
}

Task<> wait_until_ready(runtime::Scheduler& scheduler, ProxyProcess& proxy) {
  const auto deadline = Clock::now() + kStartTimeout;
  for (;;) {
    const bool ready = co_await is_ready(scheduler, proxy.address());
    if (ready) {
      co_return;
    }
    if (proxy.exited()) {
      throw std::runtime_error("a proxy exited during its start; last log line: " +
                               proxy.last_log_line());
    }
    if (Clock::now() > deadline) {
      throw std::runtime_error("a proxy was not ready after 15 s; last log line: " +
                               proxy.last_log_line());
    }
    co_await sleep_for(scheduler, kReadinessPollInterval);
  }
}

}  // namespace beechhill::testbed
