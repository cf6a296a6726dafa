// The proxy started as a program, with its discovery played by the test, over loopback on ports
// that the system picks. Every wait is bounded.
#pragma once

#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <string>
#include <vector>

#include "http/message.h"
#include "support/deployment_json.h"
#include "support/fake_listener.h"
#include "support/require.h"
#include "support/temporary_directory.h"
#include "support/test_connection.h"

namespace beechhill::test {

// What the processes of one proxy share over an upgrade, held by the platform: here, the test.
struct SharedListener {
  FakeListener socket;
  const TemporaryDirectory kept;
  const std::string folder = kept.path;
};

// The program under test, with a discovery that has taken its watch.
class ProxyUnderTest {
 public:
  explicit ProxyUnderTest(const std::string& hosts, const std::string& known = "[]",
                          const SharedListener* shared = nullptr)
      : shared_(shared), watch_((start(known), discovery_.accept())) {
    first_call_ = watch_.request().target;
    watch_.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    if (hosts.empty()) {
      return;  // it hears nothing yet
    }
    list(hosts);
    wait_ready();
  }
  ~ProxyUnderTest() {
    if (pid_ > 0) {
      ::kill(pid_, SIGKILL);
      ::waitpid(pid_, nullptr, 0);
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
  std::string watch_again(const FakeListener& discovery) {
    watch_ = discovery.accept();
    const std::string target = watch_.request().target;
    watch_.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    return target;
  }
  void reconfigure(const std::string& discovery) const {
    std::ofstream(path_) << config_json("127.0.0.1:0", discovery, "[]");
    signal(SIGHUP);
  }
  TestConnection client() const { return TestConnection::to(address_); }
  TestConnection caller() const { return TestConnection::to(admin_); }
  http::Message call(const std::string& method, const std::string& target) const {  // an operator's
    TestConnection wire = caller();
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
    TestConnection wire = client();
    wire.send("GET /health/ready HTTP/1.1\r\nConnection: close\r\n\r\n");
    return wire.answer().status;
  }
  pid_t pid() const { return pid_; }
  int log_fd() const { return log_.get(); }  // its log from the line "serving" on
  void signal(int number) const { ::kill(pid_, number); }
  int exit_status() {
    int status = 0;
    const auto end = Clock::now() + kTestTimeout;
    while (::waitpid(pid_, &status, WNOHANG) == 0) {
      require(Clock::now() < end);
      ::usleep(5000);
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
    require(::pipe(out) == 0);
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
    log_ = net::FileDescriptor(out[0]);
    std::string line;
    while (!line.starts_with("serving ")) {
      line.clear();
      for (char c = 0; c != '\n'; line += c) {
        require(::read(out[0], &c, 1) == 1);
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
    const auto end = Clock::now() + kTestTimeout;
    while ((shared_ ? call("GET", "/api/ready").status : ready()) != 200) {
      require(Clock::now() < end);
      ::usleep(5000);
    }
  }

  const SharedListener* shared_;
  FakeListener discovery_;
  net::FileDescriptor log_;
  std::string path_;
  pid_t pid_ = 0;
  sockaddr_in address_{}, admin_{};
  TestConnection watch_;
  std::vector<TestConnection> mute_;
  std::string first_call_;
  int version_ = 1;
};

}  // namespace beechhill::test
