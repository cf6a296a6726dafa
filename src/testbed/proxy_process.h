// Real proxies as child processes of the testbed. The kernel kills them when the testbed ends.
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

/// One proxy, which can be started, stopped and killed repeatedly. Calls may block; not
/// thread-safe.
class ProxyProcess {
 public:
  /// Writes the proxy's configuration into `directory`, which also receives the log and must
  /// outlive this object. `operator_file` holds the contents of the proxy's operator file, or is
  /// empty if it has none.
  ProxyProcess(const experiments::TempDirectory& directory, const std::string& program,
               Json::Value config, sockaddr_in address, const std::string& operator_file = {});
  ~ProxyProcess() { kill(); }
  ProxyProcess(const ProxyProcess&) = delete;
  ProxyProcess& operator=(const ProxyProcess&) = delete;

  /// Starts a process, which appends to the log. Throws std::runtime_error if the system cannot
  /// create a process.
  void start();
  /// Sends SIGKILL and waits until the process has exited.
  void kill();
  /// Sends SIGTERM to request a graceful shutdown, and does not wait for it.
  void request_shutdown() { signal(SIGTERM); }
  void suspend() { signal(SIGSTOP); }
  void resume() { signal(SIGCONT); }
  /// Shuts down gracefully, or with SIGKILL after 5 s. Blocks.
  void shut_down();
  /// Returns whether no process is running, and reaps the process if it has exited.
  bool exited();

  /// Returns the CPU time in seconds of all processes of this proxy that have exited.
  double cpu_s() const { return cpu_s_; }
  /// Returns the CPU time in seconds of the running process, from /proc.
  double running_cpu_s() const;
  /// Returns the resident memory of the running process in KiB.
  long rss_kib() const;
  const sockaddr_in& address() const { return address_; }

  /// Returns the last line of the log, to which all processes of this proxy append.
  std::string last_log_line() const;
  /// Returns the number of log lines for the event.
  std::size_t count_log_events(const std::string& event) const;
  /// Returns the sum of the values after `key=` in the log lines for the event.
  std::uint64_t sum_log_field(const std::string& event, const std::string& key) const;

 private:
  [[noreturn]] void execute() const;
  std::vector<std::string> log_lines(const std::string& event) const;
  void signal(int number) const;
  void reap();
  void record_exit(const rusage& usage);

  std::string program_;
  std::string config_path_;
  std::string log_path_;
  std::string operator_file_path_;  // empty if there is no operator file
  sockaddr_in address_{};
  pid_t pid_ = 0;  // 0: no process is running
  double cpu_s_ = 0;
};

/// Returns whether the proxy at the address reports within 200 ms that it is ready.
runtime::Task<bool> is_ready(runtime::Scheduler& scheduler, sockaddr_in address);
/// Completes when the proxy is ready. Throws std::runtime_error if it exits or is not ready within
/// 15 s.
runtime::Task<> wait_until_ready(runtime::Scheduler& scheduler, ProxyProcess& proxy);

}  // namespace beechhill::testbed
