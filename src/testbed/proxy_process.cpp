#include "testbed/proxy_process.h"

#include <fcntl.h>
#include <fmt/format.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <fstream>
#include <sstream>
#include <thread>

#include "http/parser.h"
#include "http/writer.h"

namespace beechhill::testbed {

using namespace std::chrono_literals;
using net::Io;
using runtime::Clock;
using runtime::Task;
using runtime::Wait;

// Bound with SO_REUSEADDR and never listening: listeners that say the same may bind it too, and the
// system gives it to no one else.
ReservedPort::ReservedPort()
    : fd_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)),
      address_(*net::parse_address("127.0.0.1:0")) {
  const int on = 1;
  socklen_t size = sizeof address_;
  sockaddr* const address = reinterpret_cast<sockaddr*>(&address_);
  if (!fd_ || ::setsockopt(fd_.get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on) < 0 ||
      ::bind(fd_.get(), address, size) < 0 || ::getsockname(fd_.get(), address, &size) < 0) {
    throw std::runtime_error("no port on loopback is free");
  }
}

ProxyProcess::ProxyProcess(const experiments::TempFolder& folder, const std::string& program,
                           Json::Value config, sockaddr_in address,
                           const std::string& operator_file)
    : program_(program), address_(address) {
  const std::string name = config["name"].asString();
  config_ = folder.file(name + ".json");
  log_ = folder.file(name + ".log");
  std::ofstream(config_) << config;
  if (operator_file.empty()) {
    return;
  }
  operator_ = folder.file(name + ".toml");
  std::ofstream(operator_) << operator_file;
}

void ProxyProcess::start() {
  pid_ = ::fork();
  if (pid_ < 0) {
    throw std::runtime_error("a proxy cannot be started");
  }
  if (pid_ > 0) {
    return;
  }
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // it never outlives the lab
  const int log = ::open(log_.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
  ::dup2(log, STDOUT_FILENO);
  ::dup2(log, STDERR_FILENO);
  for (const char* name : {"GW_NAME", "GW_LISTEN", "GW_DISCOVERY"}) {
    ::unsetenv(name);
  }
  ::setenv("GW_CONFIG", config_.c_str(), 1);
  operator_.empty() ? ::unsetenv("BEECHHILL_OPERATOR")
                    : ::setenv("BEECHHILL_OPERATOR", operator_.c_str(), 1);
  ::execl(program_.c_str(), program_.c_str(), nullptr);
  ::_exit(127);
}

void ProxyProcess::kill() {
  if (pid_ <= 0) {
    return;
  }
  signal(SIGKILL);  // ends a stopped one too
  reap();
}

void ProxyProcess::end() {
  if (pid_ <= 0) {
    return;
  }
  go_on();
  ask_to_end();
  for (int i = 0; i < 500 && !ended(); ++i) {
    std::this_thread::sleep_for(10ms);
  }
  kill();
}

bool ProxyProcess::ended() {
  rusage used{};
  int status = 0;
  if (pid_ > 0 && ::wait4(pid_, &status, WNOHANG, &used) == pid_) {
    book(used);
  }
  return pid_ <= 0;
}

double ProxyProcess::cpu_now_s() const {
  std::ifstream in(fmt::format("/proc/{}/stat", pid_));
  std::string text;
  std::getline(in, text);
  std::istringstream fields(text.substr(text.rfind(')') + 2));  // a name may hold anything
  std::string skipped;
  double user = 0, system = 0;
  for (int i = 0; i < 11; ++i) {
    fields >> skipped;
  }
  fields >> user >> system;
  return (user + system) / static_cast<double>(::sysconf(_SC_CLK_TCK));
}

long ProxyProcess::rss_kib() const {
  std::ifstream in(fmt::format("/proc/{}/statm", pid_));
  long all = 0, resident = 0;
  in >> all >> resident;
  return resident * ::sysconf(_SC_PAGESIZE) / 1024;
}

std::string ProxyProcess::last_words() const {
  std::ifstream in(log_);
  std::string line, last;
  while (std::getline(in, line)) {
    last = line;
  }
  return last;
}

std::vector<std::string> ProxyProcess::lines(const std::string& event) const {
  std::ifstream in(log_);
  std::vector<std::string> found;
  for (std::string line; std::getline(in, line);) {
    if (line.starts_with(event + " ") || line == event) {
      found.push_back(line + " ");
    }
  }
  return found;
}

std::size_t ProxyProcess::said(const std::string& event) const {
  return lines(event).size();
}

std::uint64_t ProxyProcess::summed(const std::string& event, const std::string& key) const {
  std::uint64_t sum = 0;
  for (const std::string& line : lines(event)) {
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
  rusage used{};
  int status = 0;
  if (::wait4(pid_, &status, 0, &used) == pid_) {
    book(used);
  }
}

void ProxyProcess::book(const rusage& used) {
  pid_ = 0;
  for (const timeval& t : {used.ru_utime, used.ru_stime}) {
    cpu_s_ += static_cast<double>(t.tv_sec) + static_cast<double>(t.tv_usec) / 1e6;
  }
}

Task<HttpAnswer> call_http(runtime::Scheduler& scheduler, sockaddr_in to, std::string method,
                           std::string target, Clock::duration within) {
  const auto deadline = Clock::now() + within;
  HttpAnswer answer;
  std::unique_ptr<net::Stream> stream = co_await net::Stream::connect(scheduler, to, deadline);
  if (!stream) {
    co_return answer;
  }
  const std::string request =
      http::write_request(method, target, "proxy", "Connection: close\r\n", "");
  const Io written = co_await stream->write(request, deadline);
  http::Parser parser(http::Parser::Kind::kResponse);
  http::Progress progress = http::Progress::kMore;
  std::string buffer;
  while (written == Io::kOk && progress == http::Progress::kMore) {
    const Io io = co_await stream->read(buffer, deadline);
    progress = io == Io::kOk    ? parser.feed(buffer)
               : io == Io::kEof ? parser.end()
                                : http::Progress::kBad;
  }
  if (progress == http::Progress::kDone) {
    answer = {parser.message().status, parser.message().body};
  }
  co_return answer;
}

Task<bool> ready(runtime::Scheduler& scheduler, sockaddr_in address) {
  const HttpAnswer answer = co_await call_http(scheduler, address, "GET", "/health/ready", 200ms);
  co_return answer.status == 200;
}

Task<> until_ready(runtime::Scheduler& scheduler, ProxyProcess& proxy) {
  const auto patience = Clock::now() + 15s;
  for (;;) {
    const bool up = co_await ready(scheduler, proxy.address());
    if (up) {
      co_return;
    }
    if (proxy.ended()) {
      throw std::runtime_error("a proxy ended at its start: " + proxy.last_words());
    }
    if (Clock::now() > patience) {
      throw std::runtime_error("a proxy is not ready after 15 s: " + proxy.last_words());
    }
    Wait wait(scheduler);
    wait.until(Clock::now() + 20ms);
    co_await wait;
  }
}

Task<> then_stop(runtime::Scheduler& scheduler, Task<> task) {
  co_await task;
  scheduler.stop();
}

}  // namespace beechhill::testbed
