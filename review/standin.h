// Stand-ins for the platform, discovery, clients and backends, shared by the review's cases. They
// speak the protocol of the operators' pages on loopback addresses and use threads and blocking
// sockets. A case includes this header in its one source file.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <sstream>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;

inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kCouldNotRun = 2;

inline void sleep_ms(double ms) {
  std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(ms));
}

// Returns whether the disruption is on. TROUBLE=0 turns it off.
inline bool trouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

// record.txt: one line an event, with the milliseconds since the start.
class Record {
 public:
  explicit Record(const std::string& path) : file_(std::fopen(path.c_str(), "w")) {
    if (file_ == nullptr) {
      throw std::runtime_error("cannot write " + path);
    }
  }
  double ms() const {
    return std::chrono::duration<double, std::milli>(Clock::now() - started_).count();
  }
  __attribute__((format(printf, 2, 3))) void line(const char* format, ...) {
    const std::lock_guard<std::mutex> guard(mutex_);
    std::fprintf(file_, "%10.1f ", ms());
    va_list arguments;
    va_start(arguments, format);
    std::vfprintf(file_, format, arguments);
    va_end(arguments);
    std::fputc('\n', file_);
    std::fflush(file_);
  }

 private:
  const Clock::time_point started_ = Clock::now();
  std::mutex mutex_;
  std::FILE* file_;
};

class Random {
 public:
  explicit Random(std::uint64_t seed) : engine_(seed) {}
  double uniform(double low, double high) {
    const std::lock_guard<std::mutex> guard(mutex_);
    return std::uniform_real_distribution<double>(low, high)(engine_);
  }
  std::string id() {
    const std::lock_guard<std::mutex> guard(mutex_);
    char text[17];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(engine_()));
    return text;
  }

 private:
  std::mutex mutex_;
  std::mt19937_64 engine_;
};

// ---- Sockets

inline sockaddr_in loopback(std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

// Listens on a free loopback port, which is stored in `port`.
inline int listen_on_free_port(std::uint16_t& port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = loopback(0);
  socklen_t size = sizeof address;
  if (fd < 0 || ::bind(fd, reinterpret_cast<sockaddr*>(&address), size) < 0 ||
      ::listen(fd, 1024) < 0 ||
      ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size) < 0) {
    throw std::runtime_error("cannot listen on loopback");
  }
  port = ntohs(address.sin_port);
  return fd;
}

inline std::uint16_t free_port() {
  std::uint16_t port = 0;
  ::close(listen_on_free_port(port));
  return port;
}

inline void set_no_delay(int fd) {
  const int on = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

// Returns a connected socket, or -1.
inline int connect_to(std::uint16_t port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = loopback(port);
  if (fd < 0 || ::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) < 0) {
    if (fd >= 0) {
      ::close(fd);
    }
    return -1;
  }
  set_no_delay(fd);
  return fd;
}

// Writes all bytes. Returns false if that takes longer than `timeout_ms` or the connection fails.
inline bool write_all(int fd, std::string_view bytes, double timeout_ms) {
  const auto until = Clock::now() + std::chrono::duration<double, std::milli>(timeout_ms);
  while (!bytes.empty()) {
    const ssize_t size = ::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    if (size >= 0) {
      bytes.remove_prefix(static_cast<std::size_t>(size));
      continue;
    }
    if (errno != EAGAIN && errno != EINTR) {
      return false;
    }
    const double left = std::chrono::duration<double, std::milli>(until - Clock::now()).count();
    pollfd entry{fd, POLLOUT, 0};
    if (left <= 0 || ::poll(&entry, 1, static_cast<int>(left) + 1) < 0) {
      return false;
    }
  }
  return true;
}

enum class Got { kBytes, kEnd, kReset, kNothing };

// Appends what arrives within `timeout_ms` to `buffer`.
inline Got read_some(int fd, std::string& buffer, double timeout_ms) {
  pollfd entry{fd, POLLIN, 0};
  if (::poll(&entry, 1, timeout_ms <= 0 ? 0 : static_cast<int>(timeout_ms) + 1) <= 0) {
    return Got::kNothing;
  }
  char bytes[65536];
  const ssize_t size = ::recv(fd, bytes, sizeof bytes, MSG_DONTWAIT);
  if (size > 0) {
    buffer.append(bytes, static_cast<std::size_t>(size));
    return Got::kBytes;
  }
  if (size == 0) {
    return Got::kEnd;
  }
  return errno == EAGAIN || errno == EINTR ? Got::kNothing : Got::kReset;
}

// ---- HTTP/1.1

struct Message {
  std::string start_line;
  std::map<std::string, std::string> headers;  // names in lower case
  std::string body;

  std::string header(const std::string& name) const {
    const auto found = headers.find(name);
    return found == headers.end() ? "" : found->second;
  }
  int status() const { return start_line.size() > 12 ? std::atoi(start_line.c_str() + 9) : 0; }
};

// Takes one complete message with a Content-Length (or without a body) from the front of `buffer`.
inline std::optional<Message> take_message(std::string& buffer) {
  const std::size_t end = buffer.find("\r\n\r\n");
  if (end == std::string::npos) {
    return std::nullopt;
  }
  Message message;
  std::istringstream head(buffer.substr(0, end));
  std::string line;
  while (std::getline(head, line)) {
    if (!line.empty() && line.back() == '\r') {
      line.pop_back();
    }
    if (message.start_line.empty()) {
      message.start_line = line;
      continue;
    }
    const std::size_t colon = line.find(':');
    std::string name = line.substr(0, colon);
    for (char& c : name) {
      c = static_cast<char>(std::tolower(c));
    }
    const std::size_t value = line.find_first_not_of(' ', colon + 1);
    message.headers[name] = value == std::string::npos ? "" : line.substr(value);
  }
  const std::size_t length = std::strtoul(message.header("content-length").c_str(), nullptr, 10);
  if (buffer.size() < end + 4 + length) {
    return std::nullopt;
  }
  message.body = buffer.substr(end + 4, length);
  buffer.erase(0, end + 4 + length);
  return message;
}

// Reads one complete message, or returns nothing when the connection ends or `timeout_ms` is over;
// `got` then says which.
inline std::optional<Message> read_message(int fd, std::string& buffer, double timeout_ms,
                                           Got& got) {
  const auto until = Clock::now() + std::chrono::duration<double, std::milli>(timeout_ms);
  for (;;) {
    if (std::optional<Message> message = take_message(buffer)) {
      return message;
    }
    const double left = std::chrono::duration<double, std::milli>(until - Clock::now()).count();
    got = left > 0 ? read_some(fd, buffer, left) : Got::kNothing;
    if (got == Got::kEnd || got == Got::kReset || (got == Got::kNothing && left <= 0)) {
      return std::nullopt;
    }
  }
}

inline std::string answer(int status, const std::string& headers, const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) + " Answer\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// ---- Discovery

struct Host {
  std::string name;
  std::uint16_t port = 0;
  std::string site;
  std::string kind;
  int block = 0;
  std::string health = "in_service";
};

// The agent on the proxy's machine: answers a watch with the whole list and then with each change,
// and sends an empty line every 2 s.
class Discovery {
 public:
  explicit Discovery(std::vector<Host> hosts) : hosts_(std::move(hosts)) {
    listener_ = listen_on_free_port(port_);
    std::thread([this] { accept(); }).detach();
  }
  std::uint16_t port() const { return port_; }

  static std::string json(const Host& host) {
    return R"({"host":")" + host.name + R"(","dial":"127.0.0.1:)" + std::to_string(host.port) +
           R"(","site":")" + host.site + R"(","class":")" + host.kind + R"(","block":)" +
           std::to_string(host.block) + R"(,"health":")" + host.health +
           R"(","share":1.0,"born_ms":0})";
  }

 private:
  void accept() {
    for (;;) {
      const int fd = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd >= 0) {
        std::thread([this, fd] { serve(fd); }).detach();
      }
    }
  }
  static bool send_chunk(int fd, const std::string& line) {
    char size[32];
    std::snprintf(size, sizeof size, "%zx\r\n", line.size());
    return write_all(fd, size + line + "\r\n", 1000);
  }
  void serve(int fd) {
    std::string buffer;
    Got got = Got::kNothing;
    if (read_message(fd, buffer, 5000, got)) {
      write_all(fd, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", 1000);
      std::string list = R"({"seq":1,"whole":true,"hosts":[)";
      for (std::size_t i = 0; i < hosts_.size(); ++i) {
        list += (i > 0 ? "," : "") + json(hosts_[i]);
      }
      for (bool open = send_chunk(fd, list + "]}\n"); open; open = send_chunk(fd, "\n")) {
        sleep_ms(2000);
      }
    }
    ::close(fd);
  }

  int listener_ = -1;
  std::uint16_t port_ = 0;
  std::vector<Host> hosts_;
};

// ---- The platform

// Settings with the figures of the site montevideo-hall.
inline const char* const kMontevideoHall =
    R"({"areas":["sala-cordon"],"zone":"sala-cordon","kinds":["consulta-a"],"tier":0,)"
    R"("tiers":["consulta","indice","archivo"],"discovery":"push","replicas-of-me":1,"rank":0,)"
    R"("step":4000,"over-share-worth":0.2,"worth-by":"request","weights":"none",)"
    R"("clients":{"marks-retry":true},"family":"chain","extra":{"passes-deadline":true},)"
    R"("guarantees":{"ask-within":10000000,"cold":23000000,"cold-from":0.15,)"
    R"("drain-grace":2000000,"fall-multiple":3.0,"grace-to-answer":16000,"tip-after":3000000},)"
    R"("limits":{"connect-timeout":100000,"cpu-us-per-request":0.0,"cpu-us-per-s":800000,)"
    R"("idle-close":30000000,"max-open":20000,"max-retry-after":1500000,"may-cancel":true,)"
    R"("most-tries":6,"parallel-tries":true,"peers":false,"probes":true,"retry-after":true,)"
    R"("streams-per-conn":1},"prices":{"probe":0.01,"waste":0.27},)"
    R"("report":{"columns":["cpu_share","served_ps","pending"],"source":"answers"},)"
    R"("profiles":[{"name":"ver-llamadas","repeat":"repeatable","group":"all","aim":1200000,)"
    R"("deadline":3000000,"late-worth":0.0,"memory-span":5000000,"worth":3.0,"streaming":false},)"
    R"({"name":"ajuste","repeat":"by_key","group":"cell","aim":750000,"deadline":2000000,)"
    R"("late-worth":0.0,"memory-span":3000000,"worth":10.0,"streaming":false}],)"
    R"("tenants":[{"name":"telnorte","share":0.22,"allowance-per-s":126.0}]})";

// Starts and ends one proxy with the deploy file's command, which run.sh passes as PROXY_RUN. The
// working directory is the root of the repository.
class Proxy {
 public:
  // `settings` is the object of the deployment's settings, as JSON.
  Proxy(const std::string& folder, std::uint16_t discovery_port, int memory_mb, int sockets,
        const std::string& settings)
      : port_(free_port()) {
    const std::string config = folder + "/config.json";
    std::ofstream(config) << R"({"name":"n1","listen":"127.0.0.1:)" << port_
                          << R"(","discovery":"127.0.0.1:)" << discovery_port
                          << R"(","seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":)"
                          << memory_mb << R"(,"sockets":)" << sockets << R"(},"settings":)"
                          << settings << "}\n";
    const char* run = std::getenv("PROXY_RUN");
    if (run == nullptr) {
      throw std::runtime_error("PROXY_RUN is not set: start the case with run.sh");
    }
    const std::string log = folder + "/proxy.log";
    pid_ = ::fork();
    if (pid_ == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // The proxy does not outlive the case.
      ::setenv("GW_CONFIG", config.c_str(), 1);
      ::setenv("TMPDIR", folder.c_str(), 1);
      if (std::freopen(log.c_str(), "w", stdout) == nullptr ||
          std::freopen(log.c_str(), "a", stderr) == nullptr) {
        ::_exit(127);
      }
      ::execl("/bin/sh", "sh", "-c", run, nullptr);
      ::_exit(127);
    }
    wait_until_ready();
  }
  ~Proxy() { end(); }
  Proxy(const Proxy&) = delete;
  Proxy& operator=(const Proxy&) = delete;

  std::uint16_t port() const { return port_; }
  pid_t pid() const { return pid_; }

  // Whether the process has ended by itself.
  bool ended() {
    if (pid_ > 0 && ::waitpid(pid_, nullptr, WNOHANG) == pid_) {
      pid_ = -1;
    }
    return pid_ < 0;
  }
  void kill(int signal) {
    if (pid_ > 0) {
      ::kill(pid_, signal);
    }
  }
  // A figure in kB from the kernel's status of the process, such as VmRSS; 0 if there is none.
  long status_kb(const std::string& name) const {
    std::ifstream status("/proc/" + std::to_string(pid_) + "/status");
    for (std::string line; std::getline(status, line);) {
      if (line.compare(0, name.size() + 1, name + ":") == 0) {
        return std::strtol(line.c_str() + name.size() + 1, nullptr, 10);
      }
    }
    return 0;
  }
  // Ends the process: SIGTERM, and SIGKILL 3.7 s later.
  void end() {
    kill(SIGTERM);
    for (int i = 0; i < 370 && !ended(); ++i) {
      sleep_ms(10);
    }
    kill(SIGKILL);
    if (pid_ > 0) {
      ::waitpid(pid_, nullptr, 0);
      pid_ = -1;
    }
  }

 private:
  void wait_until_ready() {
    for (int i = 0; i < 300; ++i) {
      sleep_ms(20);
      if (ended()) {
        throw std::runtime_error("the proxy ended at its start");
      }
      const int fd = connect_to(port_);
      if (fd < 0) {
        continue;
      }
      write_all(fd, "GET /health/ready HTTP/1.1\r\nHost: front\r\n\r\n", 1000);
      std::string buffer;
      Got got = Got::kNothing;
      const std::optional<Message> message = read_message(fd, buffer, 1000, got);
      ::close(fd);
      if (message && message->status() == 200) {
        return;
      }
    }
    end();
    throw std::runtime_error("the proxy is not ready after 6 s");
  }

  std::uint16_t port_;
  pid_t pid_ = -1;
};

// ---- Clients

struct Call {
  std::string path;  // with the class as its first part
  std::string trace_id;
  std::string customer;  // empty: none
  int expires_in_ms = 0;
  std::string key;                  // empty: none
  std::optional<std::string> body;  // none: GET
};

inline std::string encode(const Call& call) {
  std::string text = (call.body ? "POST " : "GET ") + call.path +
                     " HTTP/1.1\r\nHost: api.internal\r\nX-Trace-Id: " + call.trace_id +
                     "\r\nX-Expires-In-Ms: " + std::to_string(call.expires_in_ms) + "\r\n";
  if (!call.customer.empty()) {
    text += "X-Customer: " + call.customer + "\r\n";
  }
  if (!call.key.empty()) {
    text += "Idempotency-Key: " + call.key + "\r\n";
  }
  if (call.body) {
    text += "Content-Length: " + std::to_string(call.body->size()) + "\r\n";
  }
  return text + "\r\n" + call.body.value_or("");
}

// Runs a case: prints its result and returns the script's exit code.
inline int run_case(const std::function<int(Record&, const std::string& folder)>& body) {
  ::signal(SIGPIPE, SIG_IGN);
  const char* folder = std::getenv("CASE_TMP");
  const char* record_path = std::getenv("CASE_RECORD");
  if (folder == nullptr || record_path == nullptr) {
    std::fprintf(stderr, "start the case with run.sh\n");
    return kCouldNotRun;
  }
  int result = kCouldNotRun;
  try {
    Record record(record_path);
    record.line("trouble %s", trouble() ? "on" : "off");
    result = body(record, folder);
    record.line("result %s", result == kHeld     ? "0: the rule held"
                             : result == kBroken ? "1: the rule was broken"
                                                 : "2: the case could not run");
  } catch (const std::exception& error) {
    std::fprintf(stderr, "could not run: %s\n", error.what());
  }
  std::fflush(nullptr);
  return result;
}

}  // namespace review
