// An open-loop load on real proxies: emulates the scenario's clients over HTTP/1.1. Latency is
// measured from the time at which a request is scheduled to be sent, so that delays of the load
// generator are included.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "emulator/clients.h"
#include "emulator/metrics.h"
#include "http/message.h"
#include "net/socket.h"
#include "runtime/scheduler.h"
#include "testbed/http_client.h"
#include "testbed/observation_log.h"
#include "testbed/testbed_clock.h"

namespace beechhill::testbed {

/// Load generator for all proxies of a run. Also emulates the load balancer in front of the
/// proxies; set_proxy_in_rotation() sets the result of its health checks. Not thread-safe. Objects
/// passed by reference must outlive the generator.
class OpenLoopLoad {
 public:
  /// Maximum number of connections to all proxies together. An attempt for which another connection
  /// would be needed counts as unreachable.
  static constexpr std::size_t kMaxConnections = 4096;

  OpenLoopLoad(runtime::Scheduler& scheduler, const TestbedClock& clock,
               const emulator::Scenario& scenario, std::vector<sockaddr_in> proxies,
               ObservationLog& observations);

  /// Sets whether clients send requests to the proxy.
  void set_proxy_in_rotation(std::size_t proxy, bool in_rotation);
  /// Moves an even share of the clients' connections to a proxy that is back in rotation, if the
  /// scenario's clients rebalance connections.
  void rebalance_to(std::size_t proxy);
  /// Sends all requests of the scenario and completes when each of them has ended.
  runtime::Task<> run();

  const emulator::Metrics& metrics() const { return metrics_; }
  /// Maximum time by which the load generator sent a request later than scheduled.
  Duration max_send_delay() const { return max_send_delay_; }
  std::uint64_t requests() const { return requests_; }
  std::uint64_t served() const { return served_; }
  std::uint64_t open_requests() const { return open_requests_; }
  /// Number of responses that belong to another request than the one sent on their connection, or
  /// have a status that the protocol does not define.
  std::uint64_t wrong_responses() const { return wrong_responses_; }

 private:
  struct AttemptResult {
    enum class Outcome { kServed, kRejected, kFailed, kUnreachable };
    Outcome outcome = Outcome::kFailed;
    Duration retry_after{0};  // the proxy's Retry-After header; 0: none
  };
  // One attempt to send one of the scenario's requests.
  struct Attempt {
    const emulator::Arrival& arrival;
    std::uint64_t request = 0;
    std::uint32_t number = 1;
    std::size_t proxy = 0;
    Duration timeout{0};
  };
  // A connection for one attempt.
  struct Connection {
    std::unique_ptr<net::Stream> stream;  // null: no connection is available
    bool reused = false;
  };
  runtime::Task<> run_request(emulator::Arrival arrival, std::uint64_t request);
  runtime::Task<AttemptResult> run_attempt(const Attempt& attempt);
  runtime::Task<Connection> connect(std::size_t proxy, runtime::TimePoint deadline);
  std::unique_ptr<net::Stream> take_idle_connection(std::size_t proxy);
  std::string trace_id(const Attempt& attempt) const;
  std::string request_text(const Attempt& attempt) const;
  AttemptResult check_response(const Attempt& attempt, const http::Message& response, bool in_time);
  std::optional<Duration> retry_delay(const emulator::Arrival& arrival, std::uint32_t attempt,
                                      const AttemptResult& result);
  void count_attempt(const emulator::Arrival& arrival);
  void count_unserved_attempt(const AttemptResult& result);
  std::size_t draw_proxy_in_rotation();

  runtime::Scheduler& scheduler_;
  const TestbedClock& clock_;
  const emulator::Scenario& scenario_;
  ObservationLog& observations_;
  std::vector<sockaddr_in> proxies_;
  std::vector<bool> in_rotation_;  // indexed by proxy
  // Idle connections, indexed by proxy.
  std::vector<std::vector<std::unique_ptr<net::Stream>>> idle_;
  std::size_t connections_ = 0;
  emulator::Metrics metrics_;
  emulator::Stream random_;
  std::vector<std::uint32_t> assigned_proxies_;  // proxy of each client connection
  std::uint64_t requests_ = 0;
  std::uint64_t served_ = 0;
  std::uint64_t open_requests_ = 0;
  std::uint64_t wrong_responses_ = 0;
  bool all_sent_ = false;
  Duration max_send_delay_{0};
  runtime::Notifier all_ended_;
};

}  // namespace beechhill::testbed
