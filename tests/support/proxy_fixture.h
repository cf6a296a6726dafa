// The one helper of the proxy's tests: a proxy started as a program, its discovery and backends
// played here over loopback on ports that the system picks. Every wait is bounded; asserts hold in
// Release too.
#pragma once

#undef NDEBUG
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cassert>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>
#include <vector>

#include "http/message.h"
#include "net/socket.h"

namespace beechhill::test {

using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;
inline constexpr std::chrono::milliseconds kPatience = 20s;  // far beyond what anything here takes

// One try for each request: a second would be the network side's own.
inline std::string config_json(const std::string& listen, const std::string& discovery,
                               const std::string& hosts) {
  return R"({"name":"t","listen":")" + listen + R"(","discovery":")" + discovery +
         R"(","seed":"5","limits":{"sockets":256},"known":{"seq":1,"whole":true,"hosts":)" + hosts +
         R"(},"settings":{"zone":"z","tier":0,"tiers":["one"],"discovery":"push",)"
         R"("guarantees":{"cold-from":0.15,"cold":23000000,"drain-grace":2000000,"fall-multiple":3.0,"tip-after":3000000},)"
         R"("limits":{"connect-timeout":100000,"idle-close":30000000,"may-cancel":true,"most-tries":1,)"
         R"("retry-after":true,"max-retry-after":1500000},"tenants":[{"name":"telnorte","share":0.5}],)"
         R"("profiles":[{"name":"ver","repeat":"repeatable","aim":1200000,"deadline":3000000},)"
         R"({"name":"ajuste","repeat":"by_key","group":"cell","memory-span":3000000,"aim":750000,"deadline":2000000}]}})";
}

inline std::string host_json(const std::string& host, const std::string& dial,
                             const char* health = "in_service", long long born_ms = 0) {
  return R"({"host":")" + host + R"(","dial":")" + dial +
         R"(","site":"z","class":"k","block":1,"health":")" + health +
         R"(","share":1.0,"born_ms":)" + std::to_string(born_ms) + "}";
}

// A connected socket with blocking, bounded reads.
class Wire {
 public:
  explicit Wire(net::Fd fd) : fd_(std::move(fd)) {}
  static Wire to(const sockaddr_in& address) {
    net::Fd fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC,
                        0));  // a program started later must not hold it too
    assert(::connect(fd.get(), reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0);
    return Wire(std::move(fd));
  }
  void send(const std::string& bytes) const {
    assert(::send(fd_.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL) ==
           static_cast<ssize_t>(bytes.size()));
  }
  bool readable(std::chrono::milliseconds within) const {
    pollfd p{fd_.get(), POLLIN, 0};
    return ::poll(&p, 1, static_cast<int>(within.count())) > 0;
  }
  // False when the other side has ended.
  bool fill() {
    assert(readable(kPatience));
    char chunk[4096];
    const ssize_t n = ::recv(fd_.get(), chunk, sizeof chunk, 0);
    if (n > 0) {
      buffer.append(chunk, static_cast<std::size_t>(n));
    }
    return n > 0;
  }
  http::Message message(http::Parser::Kind kind) {
    http::Parser parser(kind);
    http::Progress progress = parser.feed(buffer);
    while (progress == http::Progress::kMore) {
      progress = fill() ? parser.feed(buffer) : parser.end();
    }
    assert(progress == http::Progress::kDone);
    return parser.message();
  }
  http::Message request() { return message(http::Parser::Kind::kRequest); }
  http::Message answer() { return message(http::Parser::Kind::kResponse); }
  void reply(int status, const std::string& extra, const std::string& body) const {
    send(http::write_response(status, extra, body, false));
  }
  int fd() const { return fd_.get(); }
  std::string buffer;

 private:
  net::Fd fd_;
};

// Runs the test that the one argument names.
inline int run_named(int argc, char** argv,
                     std::initializer_list<std::pair<std::string_view, void (*)()>> tests) {
  for (const auto& [name, run] : tests) {
    if (argc == 2 && name == argv[1]) {
      return run(), 0;
    }
  }
  return 2;
}

inline void expect_status(Wire& client, int status) {
  assert(client.answer().status == status);
}

class Door {  // where a backend or discovery listens
 public:
  Door() : fd_(::socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in any = *net::parse_address("127.0.0.1:0");
    assert(::bind(fd_.get(), reinterpret_cast<const sockaddr*>(&any), sizeof any) == 0);
    assert(::listen(fd_.get(), 64) == 0);
  }
  std::string address() const {
    sockaddr_in at{};
    socklen_t size = sizeof at;
    ::getsockname(fd_.get(), reinterpret_cast<sockaddr*>(&at), &size);
    return net::to_string(at);
  }
  bool pending(std::chrono::milliseconds within) const {
    pollfd p{fd_.get(), POLLIN, 0};
    return ::poll(&p, 1, static_cast<int>(within.count())) > 0;
  }
  int fd() const { return fd_.get(); }
  Wire accept() const {
    assert(pending(kPatience));
    return Wire(net::Fd(::accept4(fd_.get(), nullptr, nullptr, SOCK_CLOEXEC)));
  }

 private:
  net::Fd fd_;
};

inline std::string one_host(const Door& backend) {
  return "[" + host_json("s-1", backend.address()) + "]";
}

struct Folder {  // of the test's own, gone with it
  Folder() {
    char name[] = "/tmp/proxy_folder_XXXXXX";
    assert(::mkdtemp(name));
    path = name;
  }
  ~Folder() { std::filesystem::remove_all(path); }
  Folder(const Folder&) = delete;
  Folder& operator=(const Folder&) = delete;
  std::string file(const std::string& name) const { return path + "/" + name; }
  std::string path;
};

inline std::string contents(const std::string& file) {
  std::ifstream in(file, std::ios::binary);
  return {std::istreambuf_iterator<char>(in), {}};
}

// What the processes of one proxy share over an upgrade, held by the platform: here, the test.
struct Shared {
  Door socket;
  const Folder kept;
  const std::string folder = kept.path;
};

// The program under test, with a discovery that has taken its watch.
class Proxy {
 public:
  explicit Proxy(const std::string& hosts, const std::string& known = "[]",
                 const Shared* shared = nullptr)
      : shared_(shared), watch_((start(known), discovery_.accept())) {
    first_call_ = watch_.request().target;
    watch_.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    if (hosts.empty()) {
      return;  // it hears nothing yet
    }
    list(hosts);
    wait_ready();
  }
  ~Proxy() {
    if (pid_ > 0) {
      ::kill(pid_, SIGKILL), ::waitpid(pid_, nullptr, 0);
    }
    std::remove(path_.c_str());
  }
  void chunk(const std::string& text) const {
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", text.size());
    watch_.send(size + text + "\r\n");
  }
  void list(const std::string& hosts, bool whole = true) {
    chunk(R"({"seq":)" + std::to_string(++version_) + R"(,"whole":)" + (whole ? "true" : "false") +
          R"(,"hosts":)" + hosts + "}\n");
  }
  void say(const std::string& bytes) const { watch_.send(bytes); }  // on the watch, as they are
  // Takes the next call to discovery and says nothing on it; those before stay open.
  void leave_mute() { mute_.push_back(discovery_.accept()); }
  const std::string& first_call() const { return first_call_; }  // of discovery, after its start
  bool calls() const { return discovery_.pending(0ms); }         // discovery anew
  std::string watch_again() { return watch_again(discovery_); }
  // The proxy has come back to discovery, there; returns what it asks for.
  std::string watch_again(const Door& discovery) {
    watch_ = discovery.accept();
    const std::string target = watch_.request().target;
    watch_.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    return target;
  }
  void reconfigure(const std::string& discovery) const {
    std::ofstream(path_) << config_json("127.0.0.1:0", discovery, "[]");
    signal(SIGHUP);
  }
  Wire client() const { return Wire::to(address_); }
  Wire caller() const { return Wire::to(admin_); }
  http::Message call(const std::string& method, const std::string& target) const {  // an operator's
    Wire wire = caller();
    wire.send(method + " " + target + " HTTP/1.1\r\nHost: op\r\n\r\n");
    return wire.answer();
  }
  static std::string get(const std::string& id, int ms = 3000, const std::string& extra = "") {
    return "GET /ver/x?user=1 HTTP/1.1\r\nX-Trace-Id: " + id +
           "\r\nX-Customer: telnorte\r\nX-Expires-In-Ms: " + std::to_string(ms) + "\r\n" + extra +
           "\r\n";
  }
  static std::string post(const std::string& id, const std::string& body, int ms = 2000) {
    return "POST /ajuste HTTP/1.1\r\nX-Trace-Id: " + id + "\r\nIdempotency-Key: k" + id +
           "\r\nX-Expires-In-Ms: " + std::to_string(ms) +
           "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  }
  int ready() const {
    Wire wire = client();
    wire.send("GET /health/ready HTTP/1.1\r\nConnection: close\r\n\r\n");
    return wire.answer().status;
  }
  pid_t pid() const { return pid_; }
  int log_fd() const { return log_.get(); }  // its log from the line "serving" on
  void signal(int number) const { ::kill(pid_, number); }
  int exit_status() {
    int status = 0;
    const auto end = Clock::now() + kPatience;
    while (::waitpid(pid_, &status, WNOHANG) == 0) {
      assert(Clock::now() < end), ::usleep(5000);
    }
    pid_ = 0;
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  }

 private:
  void start(const std::string& known) {
    char path[] = "/tmp/proxy_test_XXXXXX";
    ::close(::mkstemp(path));
    path_ = path;
    std::ofstream(path_) << config_json("127.0.0.1:0", discovery_.address(), known);
    int out[2];
    assert(::pipe(out) == 0);
    pid_ = ::fork();
    if (pid_ == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // a failed test must not leave it running
      ::dup2(out[1], 1);
      ::setenv("GW_CONFIG", path, 1);
      for (const char* name : {"GW_NAME", "GW_LISTEN"}) {
        ::unsetenv(name);
      }
      ::setenv("GW_DISCOVERY", discovery_.address().c_str(), 1);
      ::setenv("GW_ADMIN_ADDR", "127.0.0.1:0", 1);
      if (shared_) {
        ::dup2(shared_->socket.fd(), 3);
        ::setenv("GW_FD", "3", 1);
        ::setenv("TMPDIR", shared_->folder.c_str(), 1);
      }
      ::execl(PROXY_PROGRAM, PROXY_PROGRAM, nullptr);
      ::_exit(127);
    }
    ::close(out[1]);
    log_ = net::Fd(out[0]);
    std::string line;
    while (!line.starts_with("serving ")) {
      line.clear();
      for (char c = 0; c != '\n'; line += c) {
        assert(::read(out[0], &c, 1) == 1);
      }
    }
    const auto address = [&line](const std::string& field) {
      const auto from = line.find(field) + field.size();
      return *net::parse_address(line.substr(from, line.find_first_of(" \n", from) - from));
    };
    address_ = address("address=");
    admin_ = address("admin=");
  }
  void wait_ready() const {
    const auto end = Clock::now() + kPatience;
    while ((shared_ ? call("GET", "/api/ready").status : ready()) != 200) {
      assert(Clock::now() < end), ::usleep(5000);
    }
  }

  const Shared* shared_;
  Door discovery_;
  net::Fd log_;
  std::string path_;
  pid_t pid_ = 0;
  sockaddr_in address_{}, admin_{};
  Wire watch_;
  std::vector<Wire> mute_;
  std::string first_call_;
  int version_ = 1;
};

}  // namespace beechhill::test
