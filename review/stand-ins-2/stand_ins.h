// Stand-ins for the clients, backends and discovery of one proxy, on loopback addresses, and the
// process of the proxy. They follow the protocol page: the settings and the list of backends have
// its form. One thread serves each connection.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
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
  // The entry of the list, for a backend in `zone` and rack `block`.
  std::string entry(const std::string& zone, int block) const {
    return format(R"({"host":"%s","dial":"%s","site":"%s","class":"%s","block":%d,)"
                  R"("health":"in_service","share":1.0,"born_ms":0})",
                  name_.c_str(), server_.address().c_str(), zone.c_str(),
                  zone == "sala-cordon" ? "consulta-a" : "portal-mare", block);
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
        send_all(
            socket,
            response(200, "",
                     "Endpoint-Load-Metrics: TEXT cpu_share=0.30, served_ps=20, pending=0\r\n"));
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

// The object of the settings that the wire page gives as its example: a deployment with a class
// that is safe to repeat and a keyed one, whose key counts within a small rack.
inline const char* const kMontevideoHall =
    R"({"areas":["sala-cordon"],"clients":{"marks-retry":true},"discovery":"push",)"
    R"("extra":{"passes-deadline":true},"family":"chain",)"
    R"("guarantees":{"ask-within":10000000,"cold":23000000,"cold-from":0.15,)"
    R"("drain-grace":2000000,"fall-multiple":3.0,"grace-to-answer":16000,"tip-after":3000000},)"
    R"("kinds":["consulta-a","consulta-b"],)"
    R"("limits":{"connect-timeout":100000,"cpu-us-per-request":0.0,"cpu-us-per-s":800000,)"
    R"("idle-close":30000000,"max-open":20000,"max-retry-after":1500000,"may-cancel":true,)"
    R"("most-tries":6,"parallel-tries":true,"peers":false,"probes":true,"retry-after":true,)"
    R"("streams-per-conn":1},"over-share-worth":0.2,"prices":{"probe":0.01,"waste":0.27},)"
    R"("profiles":[{"aim":1200000,"deadline":3000000,"group":"all","late-worth":0.0,)"
    R"("memory-span":5000000,"name":"ver-llamadas","repeat":"repeatable","streaming":false,)"
    R"("worth":3.0},{"aim":750000,"deadline":2000000,"group":"cell","late-worth":0.0,)"
    R"("memory-span":3000000,"name":"ajuste","repeat":"by_key","streaming":false,"worth":10.0}],)"
    R"("rank":0,"replicas-of-me":1,)"
    R"("report":{"columns":["cpu_share","served_ps","pending"],"source":"answers"},"step":4000,)"
    R"("tenants":[{"allowance-per-s":126.0,"name":"telnorte","share":0.22}],"tier":0,)"
    R"("tiers":["consulta","indice","archivo"],"weights":"none","worth-by":"request",)"
    R"("zone":"sala-cordon"})";

// Settings after the users' page, with its class that must never run twice.
inline const char* const kConfiguratorAnec =
    R"({"areas":["bucuresti","cluj"],"clients":{"marks-retry":false},"discovery":"push",)"
    R"("extra":{"passes-deadline":false},"family":"chain",)"
    R"("guarantees":{"ask-within":10000000,"cold":24000000,"cold-from":0.12,)"
    R"("drain-grace":300000,"fall-multiple":4.0,"grace-to-answer":16000,"tip-after":2000000},)"
    R"("kinds":["portal-mare"],)"
    R"("limits":{"connect-timeout":250000,"cpu-us-per-request":0.0,"cpu-us-per-s":15000,)"
    R"("idle-close":10000000,"max-open":20000,"max-retry-after":3000000,"may-cancel":true,)"
    R"("most-tries":5,"parallel-tries":true,"peers":false,"probes":true,"retry-after":true,)"
    R"("streams-per-conn":1},"over-share-worth":0.05,"prices":{"probe":0.0066,"waste":0.2},)"
    R"("profiles":[{"aim":2500000,"deadline":6000000,"group":"all","late-worth":0.3,)"
    R"("memory-span":0,"name":"depunere-cerere","repeat":"once","streaming":false,"worth":2.0}],)"
    R"("rank":0,"replicas-of-me":1,)"
    R"("report":{"columns":["svc_ms","cpu_share","served_ps"],"source":"answers"},"step":5000,)"
    R"("tenants":[{"allowance-per-s":50.0,"name":"judet-ilfov","share":0.57}],"tier":0,)"
    R"("tiers":["portal","calcul"],"weights":"nominal","worth-by":"request",)"
    R"("zone":"bucuresti"})";

struct ProxySettings {
  const char* settings = kMontevideoHall;
  int memory_mb = 192;
  int sockets = 1024;
};

// A new folder within the case's own, which run-case-2.sh removes.
inline std::string new_folder() {
  const char* const parent = std::getenv("CASE_TMP");
  std::string path = std::string(parent ? parent : "/tmp") + "/proxy-XXXXXX";
  if (::mkdtemp(path.data()) == nullptr) {
    std::perror("mkdtemp");
    std::exit(kCouldNotRun);
  }
  return path;
}

// What the platform holds for the processes of one proxy on a day of upgrades: the clients'
// listening socket, which each process inherits as descriptor 3, and the folder that they share as
// TMPDIR.
struct Platform {
  Platform() : listener(listen_on_loopback(port)) {
    ::fcntl(listener.get(), F_SETFL, ::fcntl(listener.get(), F_GETFL) | O_NONBLOCK);
  }
  std::uint16_t port = 0;
  Socket listener;
  std::string folder = new_folder();
};

// The serving program, started with the deploy file's command. It is killed when the object is
// destroyed or this process ends.
class Proxy {
 public:
  // With `platform`, the process is one of those that serve on its socket.
  Proxy(const std::string& run, const ProxySettings& settings, const Discovery& discovery,
        const Platform* platform = nullptr)
      : port_(platform ? platform->port : free_port()), admin_port_(free_port()) {
    const std::string shared = platform ? platform->folder : folder_;
    // All processes of one proxy read the same file; only the operators' address differs.
    const std::string config = shared + "/config.json";
    std::ofstream(config)
        << format(
               R"({"name":"n1","listen":"127.0.0.1:%d","discovery":"%s","seed":"8c1f30d27a5be964",)"
               R"("limits":{"cores":1.0,"memory_mb":%d,"sockets":%d},)",
               port_, discovery.address().c_str(), settings.memory_mb, settings.sockets)
        << R"("known":)" << discovery.list() << R"(,"settings":)" << settings.settings << "}\n";
    pid_ = ::fork();
    if (pid_ == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // the proxy does not outlive the case
      for (const char* name :
           {"GW_NAME", "GW_LISTEN", "GW_DISCOVERY", "GW_FD", "BEECHHILL_OPERATOR"}) {
        ::unsetenv(name);
      }
      ::setenv("GW_ADMIN_ADDR", ("127.0.0.1:" + std::to_string(admin_port_)).c_str(), 1);
      ::setenv("GW_CONFIG", config.c_str(), 1);
      ::setenv("TMPDIR", shared.c_str(), 1);
      if (platform) {
        ::setenv("GW_FD", "3", 1);
      }
      const std::string log = folder_ + "/log";
      if (std::freopen(log.c_str(), "w", stdout) == nullptr || ::dup2(1, 2) < 0 ||
          (platform && ::dup2(platform->listener.get(), 3) < 0)) {
        ::_exit(127);
      }
      ::execl("/bin/sh", "sh", "-c", run.c_str(), nullptr);
      ::_exit(127);
    }
  }
  ~Proxy() { stop(); }
  Proxy(const Proxy&) = delete;
  Proxy& operator=(const Proxy&) = delete;

  std::uint16_t port() const { return port_; }
  void signal(int number) const { ::kill(pid_, number); }

  // Waits for a 200 to `GET /health/ready` from clients, for 10 s at most.
  bool wait_until_ready() const { return wait_for_yes(port_, "/health/ready"); }
  // Waits for this process's yes to the platform, for 10 s at most.
  bool wait_until_it_says_yes() const { return wait_for_yes(admin_port_, "/api/ready"); }

  // Returns the exit status if the process has ended, as waitpid() states it.
  std::optional<int> ended() {
    int status = 0;
    if (!status_ && ::waitpid(pid_, &status, WNOHANG) == pid_) {
      status_ = status;
    }
    return status_;
  }
  void stop() {
    if (!ended()) {
      ::kill(pid_, SIGKILL);
      int status = 0;
      ::waitpid(pid_, &status, 0);
      status_ = status;
    }
  }

 private:
  static bool wait_for_yes(std::uint16_t port, const std::string& target) {
    for (const TimePoint until = Clock::now() + 10s; Clock::now() < until;) {
      const Socket socket = connect_to(port);
      if (socket && send_all(socket, "GET " + target + " HTTP/1.1\r\nHost: a\r\n\r\n")) {
        const auto answer = Reader(socket).read(Clock::now() + 1s);
        if (answer && answer->status() == 200) {
          return true;
        }
      }
      std::this_thread::sleep_for(50ms);
    }
    return false;
  }

  std::string folder_ = new_folder();
  std::uint16_t port_;
  std::uint16_t admin_port_;
  pid_t pid_ = -1;
  std::optional<int> status_;
};

// Ends the case with kCouldNotRun after 110 s. Returns whether the disruption is to be played.
inline bool begin_case() {
  std::signal(SIGPIPE, SIG_IGN);
  std::signal(SIGALRM, [](int) { ::_exit(kCouldNotRun); });
  ::alarm(110);
  const char* const trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string_view(trouble) != "0";
}

// Backends of one zone, in racks of three, and their entries of the list.
struct Backends {
  Backends(int count, const std::string& zone, const Backend::Answer& answer) {
    for (int i = 0; i < count; ++i) {
      all.push_back(std::make_unique<Backend>(format("s-%08x", 0x5be2a000 + i), answer));
      entries.push_back(all.back()->entry(zone, i / 3));
    }
  }
  std::vector<std::unique_ptr<Backend>> all;
  std::vector<std::string> entries;
};

inline std::string head_of(const std::string& method, const std::string& target,
                           const std::string& tenant, const std::string& trace_id,
                           int expires_in_ms) {
  return method + " " + target + " HTTP/1.1\r\nHost: api.internal\r\nX-Trace-Id: " + trace_id +
         "\r\nX-Customer: " + tenant + "\r\nX-Expires-In-Ms: " + std::to_string(expires_in_ms) +
         "\r\n";
}

// A request of the class that is safe to repeat.
inline std::string ver_llamadas(const std::string& trace_id, int expires_in_ms) {
  return head_of("GET", "/ver-llamadas/q", "telnorte", trace_id, expires_in_ms) + "\r\n";
}

// A request of the keyed class.
inline std::string ajuste(const std::string& trace_id, int expires_in_ms,
                          const std::string& target = "/ajuste/q") {
  return head_of("POST", target, "telnorte", trace_id, expires_in_ms) + "Idempotency-Key: key-" +
         trace_id + "\r\nContent-Length: 2\r\n\r\n{}";
}

// A request of the class that must never run twice.
inline std::string depunere_cerere(const std::string& trace_id, int expires_in_ms) {
  return head_of("POST", "/depunere-cerere/q", "judet-ilfov", trace_id, expires_in_ms) +
         "Content-Length: 2\r\n\r\n{}";
}

}  // namespace stand_ins
