// Real proxies as child processes of the lab. None outlives it, however it ends.
#pragma once

#include <json/json.h>
#include <signal.h>
#include <sys/resource.h>

#include <string>
#include <vector>

#include "experiments/temp_folder.h"
#include "net/socket.h"
#include "runtime/scheduler.h"

namespace beechhill::testbed {

// A free port on loopback, kept so while this stands: whoever is told its number may listen on it,
// also after it was away, and nobody is given it meanwhile. Throws std::runtime_error where there
// is none.
class ReservedPort {
 public:
  ReservedPort();
  const sockaddr_in& address() const { return address_; }

 private:
  net::Fd fd_;
  sockaddr_in address_{};
};

class ProxyProcess {
 public:
  // Its configuration and log stand in `folder`, which must outlive it.
  // `operator_file`: the text of its operator file; empty: it has none.
  ProxyProcess(const experiments::TempFolder& folder, const std::string& program,
               Json::Value config, sockaddr_in address, const std::string& operator_file = {});
  ~ProxyProcess() { kill(); }
  ProxyProcess(const ProxyProcess&) = delete;
  ProxyProcess& operator=(const ProxyProcess&) = delete;

  void start();  // throws std::runtime_error where the system has no process left
  void kill();
  void ask_to_end() { signal(SIGTERM); }  // in good order; does not wait for it
  void stop() { signal(SIGSTOP); }
  void go_on() { signal(SIGCONT); }
  // In good order, or by force after 5 s. Blocks.
  void end();
  bool ended();                            // it never ran, or has been reaped
  double cpu_s() const { return cpu_s_; }  // of all lives that have ended
  double cpu_now_s() const;                // of the one that runs, from /proc
  long rss_kib() const;
  const sockaddr_in& address() const { return address_; }
  std::string last_words() const;  // the last line of its log
  std::size_t said(
      const std::string& event) const;  // lines of its log, over all lives, that tell of it
  std::uint64_t summed(const std::string& event,
                       const std::string& key) const;  // of these lines, what stands as key=

 private:
  std::vector<std::string> lines(const std::string& event) const;
  void signal(int number) const;
  void reap();
  void book(const rusage& used);

  std::string program_, config_, log_, operator_;
  sockaddr_in address_{};
  pid_t pid_ = 0;
  double cpu_s_ = 0;
};

// The status and the body of an answer; 0: none came in time.
struct HttpAnswer {
  int status = 0;
  std::string body;
};
runtime::Task<HttpAnswer> call_http(runtime::Scheduler& scheduler, sockaddr_in to,
                                    std::string method, std::string target,
                                    runtime::Clock::duration within);
// Whether the proxy there says that it is ready, within 200 ms.
runtime::Task<bool> ready(runtime::Scheduler& scheduler, sockaddr_in address);
// Throws std::runtime_error where the proxy ends, or is not ready within 15 s.
runtime::Task<> until_ready(runtime::Scheduler& scheduler, ProxyProcess& proxy);
// Runs a task to its end on the scheduler, then stops it; a fault in it comes out of
// Scheduler::run.
runtime::Task<> then_stop(runtime::Scheduler& scheduler, runtime::Task<> task);

}  // namespace beechhill::testbed
