// Stand-ins for the clients, backends and discovery of one proxy, on loopback addresses, and the
// process of the proxy. They follow the protocol page: the settings and the list of backends have
// its form. One thread serves each connection.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cctype>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace stand_ins {

using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;

// Exit codes of a case.
constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;

inline const TimePoint g_started = Clock::now();

inline double seconds(Clock::duration duration) {
  return std::chrono::duration<double>(duration).count();
}
inline double since_start(TimePoint at = Clock::now()) {
  return seconds(at - g_started);
}

__attribute__((format(printf, 1, 2))) inline std::string format(const char* pattern, ...) {
  char text[1024];
  va_list arguments;
  va_start(arguments, pattern);
  std::vsnprintf(text, sizeof text, pattern, arguments);
  va_end(arguments);
  return text;
}

// Writes lines with their time to a file and to standard output.
class Record {
 public:
  explicit Record(const std::string& path) : file_(path, std::ios::trunc) {}

  void line(const std::string& text) {
    const std::lock_guard lock(mutex_);
    const std::string out = format("%8.3f ", since_start()) + text + "\n";
    file_ << out << std::flush;
    std::fputs(out.c_str(), stdout);
    std::fflush(stdout);
  }

 private:
  std::mutex mutex_;
  std::ofstream file_;
};

// ---- Sockets

class Socket {
 public:
  Socket() = default;
  explicit Socket(int fd) : fd_(fd) {}
  Socket(Socket&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
  Socket& operator=(Socket&& other) noexcept {
    close();
    fd_ = std::exchange(other.fd_, -1);
    return *this;
  }
  ~Socket() { close(); }
  int get() const { return fd_; }
  explicit operator bool() const { return fd_ >= 0; }
  void close() {
    if (fd_ >= 0) {
      ::close(fd_);
    }
    fd_ = -1;
  }

 private:
  int fd_ = -1;
};

inline sockaddr_in loopback(std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

inline Socket listen_on_loopback(std::uint16_t& port) {
  Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  sockaddr_in address = loopback(0);
  socklen_t size = sizeof address;
  if (::bind(socket.get(), reinterpret_cast<sockaddr*>(&address), size) < 0 ||
      ::listen(socket.get(), 1024) < 0 ||
      ::getsockname(socket.get(), reinterpret_cast<sockaddr*>(&address), &size) < 0) {
    std::perror("listen");
    std::exit(kCouldNotRun);
  }
  port = ntohs(address.sin_port);
  return socket;
}

inline std::uint16_t free_port() {
  std::uint16_t port = 0;
  const Socket socket = listen_on_loopback(port);
  return port;
}

inline Socket connect_to(std::uint16_t port) {
  Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  const sockaddr_in address = loopback(port);
  if (::connect(socket.get(), reinterpret_cast<const sockaddr*>(&address), sizeof address) < 0) {
    return Socket();
  }
  const int enabled = 1;
  ::setsockopt(socket.get(), IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
  return socket;
}

inline bool send_all(const Socket& socket, std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t size = ::send(socket.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (size < 0) {
      return false;
    }
    bytes.remove_prefix(static_cast<std::size_t>(size));
  }
  return true;
}

// ---- HTTP messages

struct Message {
  std::string start_line;
  std::map<std::string, std::string> headers;  // names in lower case
  std::string body;

  std::string header(const std::string& name) const {
    const auto found = headers.find(name);
    return found == headers.end() ? "" : found->second;
  }
  int status() const { return start_line.size() >= 12 ? std::atoi(start_line.c_str() + 9) : 0; }
};

// Reads messages from one connection.
class Reader {
 public:
  enum class End { kNone, kClosed, kReset, kTimeout };

  explicit Reader(const Socket& socket) : fd_(socket.get()) {}

  // Why the last call returned nothing.
  End end() const { return end_; }
  std::string end_text() const {
    return end_ == End::kClosed ? "closed" : end_ == End::kReset ? "reset" : "nothing";
  }

  // Returns the next message, or nothing if it did not come whole by `deadline`.
  std::optional<Message> read(TimePoint deadline) {
    std::optional<Message> message = read_head(deadline);
    if (!message) {
      return std::nullopt;
    }
    if (message->header("transfer-encoding") == "chunked") {
      for (;;) {
        const auto size_line = read_line(deadline);
        if (!size_line) {
          return std::nullopt;
        }
        const std::size_t size = std::strtoul(size_line->c_str(), nullptr, 16);
        const auto chunk = read_bytes(size, deadline);
        if (!chunk || !read_line(deadline)) {
          return std::nullopt;
        }
        message->body += *chunk;
        if (size == 0) {
          return message;
        }
      }
    }
    const std::string length = message->header("content-length");
    const auto body = read_bytes(std::strtoul(length.c_str(), nullptr, 10), deadline);
    if (!body) {
      return std::nullopt;
    }
    message->body = *body;
    return message;
  }

  std::optional<Message> read_head(TimePoint deadline) {
    Message message;
    const auto start = read_line(deadline);
    if (!start) {
      return std::nullopt;
    }
    message.start_line = *start;
    for (;;) {
      const auto line = read_line(deadline);
      if (!line) {
        return std::nullopt;
      }
      if (line->empty()) {
        return message;
      }
      const auto colon = line->find(':');
      std::string name = line->substr(0, colon);
      std::transform(name.begin(), name.end(), name.begin(),
                     [](unsigned char c) { return std::tolower(c); });
      const auto value = line->find_first_not_of(' ', colon + 1);
      message.headers[name] = value == std::string::npos ? "" : line->substr(value);
    }
  }

  std::optional<std::string> read_line(TimePoint deadline) {
    for (;;) {
      const auto at = buffer_.find("\r\n");
      if (at != std::string::npos) {
        std::string line = buffer_.substr(0, at);
        buffer_.erase(0, at + 2);
        return line;
      }
      if (!fill(deadline)) {
        return std::nullopt;
      }
    }
  }

  std::optional<std::string> read_bytes(std::size_t size, TimePoint deadline) {
    while (buffer_.size() < size) {
      if (!fill(deadline)) {
        return std::nullopt;
      }
    }
    std::string bytes = buffer_.substr(0, size);
    buffer_.erase(0, size);
    return bytes;
  }

  // Reads what has come. Returns false at the end or at `deadline`.
  bool fill(TimePoint deadline) {
    for (;;) {
      const auto left =
          std::chrono::ceil<std::chrono::milliseconds>(deadline - Clock::now()).count();
      pollfd entry{fd_, POLLIN, 0};
      const int ready = ::poll(&entry, 1, static_cast<int>(std::max<std::int64_t>(0, left)));
      if (ready < 0 && errno == EINTR) {
        continue;
      }
      if (ready <= 0) {
        end_ = End::kTimeout;
        return false;
      }
      char chunk[65536];
      const ssize_t size = ::recv(fd_, chunk, sizeof chunk, 0);
      if (size > 0) {
        buffer_.append(chunk, static_cast<std::size_t>(size));
        return true;
      }
      end_ = size == 0 ? End::kClosed : End::kReset;
      return false;
    }
  }

 private:
  int fd_;
  std::string buffer_;
  End end_ = End::kNone;
};

inline std::string response(int status, const std::string& body, const std::string& headers = "") {
  return "HTTP/1.1 " + std::to_string(status) +
         " Status\r\nContent-Length: " + std::to_string(body.size()) + "\r\n" + headers + "\r\n" +
         body;
}

// ---- Servers

// Accepts connections and serves each in a thread, which ends with the process.
class Server {
 public:
  using Serve = std::function<void(Socket)>;

  explicit Server(Serve serve)
      : serve_(std::make_shared<Serve>(std::move(serve))), listener_(listen_on_loopback(port_)) {
    std::thread([fd = listener_.get(), serve = serve_] {
      for (;;) {
        Socket accepted(::accept4(fd, nullptr, nullptr, SOCK_CLOEXEC));
        if (!accepted) {
          return;
        }
        const int enabled = 1;
        ::setsockopt(accepted.get(), IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
        std::thread([serve, socket = std::move(accepted)]() mutable {
          (*serve)(std::move(socket));
        }).detach();
      }
    }).detach();
  }
  std::uint16_t port() const { return port_; }
  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

 private:
  std::shared_ptr<Serve> serve_;
  std::uint16_t port_ = 0;
  Socket listener_;
};

// A request that a backend has received whole.
struct Call {
  std::string target;
  std::string trace_id;
  std::string body;
  long expires_in_ms = 0;
  TimePoint at;
  const Socket& socket;
};

// A backend. Answers health checks itself; `answer` answers each other request, and returns whether
// the connection stays open.
class Backend {
 public:
  using Answer = std::function<bool(const Call&)>;

  explicit Backend(std::string name, Answer answer)
      : name_(std::move(name)),
        answer_(std::move(answer)),
        server_([this](Socket socket) { serve(socket); }) {}

  const std::string& name() const { return name_; }
  std::string entry(const std::string& health = "in_service") const {
    return format(R"({"host":"%s","dial":"%s","site":"hall","class":"a","block":0,)"
                  R"("health":"%s","share":1.0,"born_ms":0})",
                  name_.c_str(), server_.address().c_str(), health.c_str());
  }

 private:
  void serve(const Socket& socket) {
    Reader reader(socket);
    for (;;) {
      const auto request = reader.read(Clock::now() + 10min);
      if (!request) {
        return;
      }
      const auto first = request->start_line.find(' ');
      const auto last = request->start_line.rfind(' ');
      const std::string target = request->start_line.substr(first + 1, last - first - 1);
      if (target == "/stats" || target == "/health/live") {
        send_all(socket, response(404, ""));
        continue;
      }
      const Call call{target,        request->header("x-trace-id"),
                      request->body, std::atol(request->header("x-expires-in-ms").c_str()),
                      Clock::now(),  socket};
      if (!answer_(call)) {
        return;
      }
    }
  }

  std::string name_;
  Answer answer_;
  Server server_;
};

// Discovery's agent: tells the whole list on a call, and an empty line every 2 s.
class Discovery {
 public:
  explicit Discovery(std::vector<std::string> entries)
      : list_(list_of(entries)), server_([this](Socket socket) { serve(socket); }) {}

  std::string address() const { return server_.address(); }
  const std::string& list() const { return list_; }

 private:
  static std::string list_of(const std::vector<std::string>& entries) {
    std::string hosts;
    for (const std::string& entry : entries) {
      hosts += (hosts.empty() ? "" : ",") + entry;
    }
    return R"({"seq":1,"whole":true,"hosts":[)" + hosts + "]}";
  }
  static std::string chunk(const std::string& bytes) {
    return format("%zx\r\n", bytes.size()) + bytes + "\r\n";
  }
  void serve(const Socket& socket) {
    Reader reader(socket);
    for (;;) {
      const auto request = reader.read(Clock::now() + 10min);
      if (!request) {
        return;
      }
      if (request->start_line.find("watch=1") == std::string::npos) {
        send_all(socket, response(200, list_));
        continue;
      }
      send_all(socket, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
      const bool current = request->start_line.find("from=1 ") != std::string::npos;
      bool open = current || send_all(socket, chunk(list_ + "\n"));
      while (open) {
        std::this_thread::sleep_for(2s);
        open = send_all(socket, chunk("\n"));
      }
      return;
    }
  }

  std::string list_;
  Server server_;
};

// ---- The proxy

struct ClassSettings {
  std::string name;
  std::string repeat;  // repeatable, by_key or once
  int aim_ms = 0;
  int deadline_ms = 0;
};

// The settings of a small deployment, with `classes` and the most figures of the wire page's
// example.
inline std::string settings_of(const std::vector<ClassSettings>& classes) {
  std::string profiles;
  for (const ClassSettings& settings : classes) {
    profiles += (profiles.empty() ? "" : ",") +
                format(R"({"name":"%s","repeat":"%s","group":"all","memory-span":5000000,)"
                       R"("aim":%d000,"deadline":%d000,"late-worth":0.2,"worth":3.0,)"
                       R"("streaming":false})",
                       settings.name.c_str(), settings.repeat.c_str(), settings.aim_ms,
                       settings.deadline_ms);
  }
  return R"({"areas":["hall"],"zone":"hall","clients":{"marks-retry":false},"discovery":"push",)"
         R"("family":"chain","extra":{"passes-deadline":true},"kinds":["a"],"rank":0,)"
         R"("replicas-of-me":1,"tier":0,"tiers":["first"],"weights":"none","worth-by":"request",)"
         R"("step":4000,"tenants":[],"over-share-worth":0.2,)"
         R"("guarantees":{"ask-within":10000000,"cold":23000000,"cold-from":0.15,)"
         R"("drain-grace":2000000,"fall-multiple":3.0,"grace-to-answer":16000,)"
         R"("tip-after":3000000},)"
         R"("limits":{"connect-timeout":100000,"cpu-us-per-request":0.0,"cpu-us-per-s":800000,)"
         R"("idle-close":30000000,"max-open":20000,"max-retry-after":1500000,"may-cancel":true,)"
         R"("most-tries":6,"parallel-tries":true,"peers":false,"probes":false,)"
         R"("retry-after":true,"streams-per-conn":1},)"
         R"("report":{"columns":["cpu_share","served_ps","pending"],"source":"answers"},)"
         R"("profiles":[)" +
         profiles + "]}";
}

struct ProxySettings {
  std::vector<ClassSettings> classes;
  int memory_mb = 192;
  int sockets = 1024;
};

// The serving program, started with the deploy file's command. It is killed at the latest when the
// object is destroyed or the process ends.
class Proxy {
 public:
  Proxy(const std::string& run, const ProxySettings& settings, const Discovery& discovery)
      : port_(free_port()), admin_port_(free_port()) {
    char folder[] = "/tmp/beechhill-review-XXXXXX";
    if (::mkdtemp(folder) == nullptr) {
      std::perror("mkdtemp");
      std::exit(kCouldNotRun);
    }
    folder_ = folder;
    const std::string config = folder_ + "/config.json";
    std::ofstream(config)
        << format(
               R"({"name":"n1","listen":"127.0.0.1:%d","discovery":"%s","admin_addr":"127.0.0.1:%d",)"
               R"("seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":%d,"sockets":%d},)",
               port_, discovery.address().c_str(), admin_port_, settings.memory_mb,
               settings.sockets)
        << R"("known":)" << discovery.list() << R"(,"settings":)" << settings_of(settings.classes)
        << "}\n";
    log_ = folder_ + "/log";
    pid_ = ::fork();
    if (pid_ == 0) {
      for (const char* name : {"GW_NAME", "GW_LISTEN", "GW_DISCOVERY", "GW_ADMIN_ADDR", "GW_FD",
                               "BEECHHILL_OPERATOR"}) {
        ::unsetenv(name);
      }
      ::setenv("GW_CONFIG", config.c_str(), 1);
      ::setenv("TMPDIR", folder_.c_str(), 1);
      if (std::freopen(log_.c_str(), "w", stdout) == nullptr || ::dup2(1, 2) < 0) {
        ::_exit(127);
      }
      ::execl("/bin/sh", "sh", "-c", run.c_str(), nullptr);
      ::_exit(127);
    }
    running() = pid_;
  }
  ~Proxy() {
    stop();
    std::error_code ignored;
    std::filesystem::remove_all(folder_, ignored);
  }
  Proxy(const Proxy&) = delete;
  Proxy& operator=(const Proxy&) = delete;

  std::uint16_t port() const { return port_; }
  std::uint16_t admin_port() const { return admin_port_; }
  pid_t pid() const { return pid_; }
  void signal(int number) const { ::kill(pid_, number); }

  // Waits for a 200 to `GET /health/ready`, for 10 s at most.
  bool wait_until_ready() const {
    for (const TimePoint until = Clock::now() + 10s; Clock::now() < until;) {
      const Socket socket = connect_to(port_);
      if (socket && send_all(socket, "GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n")) {
        Reader reader(socket);
        const auto answer = reader.read(Clock::now() + 1s);
        if (answer && answer->status() == 200) {
          return true;
        }
      }
      std::this_thread::sleep_for(50ms);
    }
    return false;
  }

  // Returns the exit status if the process has ended, as waitpid() states it.
  std::optional<int> ended() {
    if (!status_) {
      int status = 0;
      if (::waitpid(pid_, &status, WNOHANG) == pid_) {
        status_ = status;
        running() = 0;
      }
    }
    return status_;
  }
  void stop() {
    if (!ended()) {
      ::kill(pid_, SIGKILL);
      int status = 0;
      ::waitpid(pid_, &status, 0);
      status_ = status;
      running() = 0;
    }
  }
  std::size_t open_descriptors() const {
    std::size_t count = 0;
    std::error_code error;
    for (const auto& entry :
         std::filesystem::directory_iterator(format("/proc/%d/fd", pid_), error)) {
      (void)entry;
      ++count;
    }
    return count;
  }

  // The process to be killed if this one runs out of time.
  static std::atomic<pid_t>& running() {
    static std::atomic<pid_t> pid{0};
    return pid;
  }

 private:
  std::uint16_t port_;
  std::uint16_t admin_port_;
  std::string folder_;
  std::string log_;
  pid_t pid_ = -1;
  std::optional<int> status_;
};

// Ends the case with kCouldNotRun after 110 s. Returns whether the disruption is to be played.
inline bool begin_case() {
  std::signal(SIGPIPE, SIG_IGN);
  std::signal(SIGALRM, [](int) {
    if (const pid_t pid = Proxy::running(); pid > 0) {
      ::kill(pid, SIGKILL);
    }
    ::_exit(kCouldNotRun);
  });
  ::alarm(110);
  const char* const trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string_view(trouble) != "0";
}

// A request of a class that is safe to repeat.
inline std::string get_request(const std::string& target, const std::string& trace_id,
                               int expires_in_ms) {
  return "GET " + target + " HTTP/1.1\r\nHost: api\r\nX-Trace-Id: " + trace_id +
         "\r\nX-Expires-In-Ms: " + std::to_string(expires_in_ms) + "\r\n\r\n";
}

inline std::string post_request(const std::string& target, const std::string& trace_id,
                                int expires_in_ms, const std::string& body) {
  return "POST " + target + " HTTP/1.1\r\nHost: api\r\nX-Trace-Id: " + trace_id +
         "\r\nX-Expires-In-Ms: " + std::to_string(expires_in_ms) +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

}  // namespace stand_ins
