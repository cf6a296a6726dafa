// Real proxies as child processes of the testbed. None outlives it, however it ends.
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

/// One proxy, which may be started, stopped and killed several times. Blocking; for one thread.
class ProxyProcess {
 public:
  /// Writes the proxy's configuration into `directory`, which must outlive this and takes its log.
  /// `operator_file`: the text of the proxy's operator file; where empty, it has none.
  ProxyProcess(const experiments::TempDirectory& directory, const std::string& program,
               Json::Value config, sockaddr_in address, const std::string& operator_file = {});
  ~ProxyProcess() { kill(); }
  ProxyProcess(const ProxyProcess&) = delete;
  ProxyProcess& operator=(const ProxyProcess&) = delete;

  /// Throws std::runtime_error where the system has no process left.
  void start();
  /// SIGKILL; waits until the process is gone.
  void kill();
  /// SIGTERM, for a graceful shutdown; does not wait for it.
  void request_shutdown() { signal(SIGTERM); }
  void suspend() { signal(SIGSTOP); }
  void resume() { signal(SIGCONT); }
  /// Graceful shutdown; after 5 s by SIGKILL. Blocks.
  void shut_down();
  /// Whether no process runs: it was never started, or has exited and was reaped.
  bool exited();

  /// CPU time of all processes of this proxy that have exited, in seconds.
  double cpu_s() const { return cpu_s_; }
  /// CPU time of the running process, from /proc, in seconds.
  double running_cpu_s() const;
  /// Resident memory of the running process.
  long rss_kib() const;
  const sockaddr_in& address() const { return address_; }

  /// The last line of its log, over all its processes.
  std::string last_log_line() const;
  /// How many lines of its log record that event.
  std::size_t count_log_events(const std::string& event) const;
  /// The sum of the values after `key=` in those lines.
  std::uint64_t sum_log_field(const std::string& event, const std::string& key) const;

 private:
  [[noreturn]] void execute() const;
  std::vector<std::string> log_lines(const std::string& event) const;
  void signal(int number) const;
  void reap();
  void record_exit(const rusage& used);

  std::string program_;
  std::string config_path_;
  std::string log_path_;
  std::string operator_file_path_;  // empty: none
  sockaddr_in address_{};
  pid_t pid_ = 0;  // 0: no process runs
  double cpu_s_ = 0;
};

/// Whether the proxy at that address reports that it is ready, within 200 ms.
runtime::Task<bool> is_ready(runtime::Scheduler& scheduler, sockaddr_in address);
/// Throws std::runtime_error where the proxy exits, or is not ready within 15 s.
runtime::Task<> wait_until_ready(runtime::Scheduler& scheduler, ProxyProcess& proxy);

}  // namespace beechhill::testbed
