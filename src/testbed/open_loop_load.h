// An open-loop load on real proxies: the scenario's clients over HTTP/1.1. Latency counts from the
// moment at which a request was to be sent, so a generator that falls behind does not hide it.
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

/// Plays the part of the load balancer in front of the proxies too: set_proxy_offered() is what its
/// health checks know. For one thread; what it borrows must outlive it.
class OpenLoopLoad {
 public:
  /// Connections to all proxies together; an attempt beyond counts as unreachable.
  static constexpr std::size_t kMaxConnections = 4096;

  OpenLoopLoad(runtime::Scheduler& scheduler, const TestbedClock& clock,
               const emulator::Scenario& scenario, std::vector<sockaddr_in> proxies,
               ObservationLog& observations);

  /// Whether clients are sent to that proxy.
  void set_proxy_offered(std::size_t proxy, bool offered);
  /// Gives a proxy that is back its even part of the clients' connections, where the scenario has
  /// it so.
  void rebalance_to(std::size_t proxy);
  /// Ends when every request has ended.
  runtime::Task<> run();

  const emulator::Metrics& metrics() const { return metrics_; }
  /// The most that a request was sent behind its time: this generator was slow.
  Duration max_send_delay() const { return max_send_delay_; }
  std::uint64_t requests() const { return requests_; }
  std::uint64_t served() const { return served_; }
  std::uint64_t open() const { return open_; }
  /// Responses to another request than the one on their connection, or with a status that the
  /// protocol does not know.
  std::uint64_t wrong_responses() const { return wrong_responses_; }

 private:
  struct AttemptResult {
    enum class Outcome { kServed, kRejected, kFailed, kUnreachable };
    Outcome outcome = Outcome::kFailed;
    Duration retry_after{0};  // that the proxy asked for; 0: none
  };
  // One attempt at one of the scenario's arrivals.
  struct Attempt {
    const emulator::Arrival& arrival;
    std::uint64_t request = 0;
    std::uint32_t number = 1;
    std::size_t proxy = 0;
    Duration timeout{0};
  };
  // A connection for one attempt.
  struct Connection {
    std::unique_ptr<net::Stream> stream;  // null: none could be had
    bool reused = false;
  };
  runtime::Task<> run_request(emulator::Arrival arrival, std::uint64_t request);
  runtime::Task<AttemptResult> run_attempt(const Attempt& attempt);
  runtime::Task<Connection> connect(std::size_t proxy, runtime::TimePoint deadline);
  std::unique_ptr<net::Stream> take_idle_connection(std::size_t proxy);
  std::string trace_id(const Attempt& attempt) const;
  std::string request_text(const Attempt& attempt) const;
  AttemptResult judge_response(const Attempt& attempt, const http::Message& response, bool in_time);
  std::optional<Duration> retry_delay(const emulator::Arrival& arrival, std::uint32_t attempt,
                                      const AttemptResult& result);
  void count_attempt(const emulator::Arrival& arrival);
  void count_unserved_attempt(const AttemptResult& result);
  std::size_t draw_offered_proxy();

  runtime::Scheduler& scheduler_;
  const TestbedClock& clock_;
  const emulator::Scenario& scenario_;
  ObservationLog& observations_;
  std::vector<sockaddr_in> proxies_;
  std::vector<bool> offered_;                                    // by proxy
  std::vector<std::vector<std::unique_ptr<net::Stream>>> idle_;  // by proxy
  std::size_t connections_ = 0;
  emulator::Metrics metrics_;
  emulator::Stream random_;
  std::vector<std::uint32_t> assigned_proxies_;  // by the clients' connections
  std::uint64_t requests_ = 0;
  std::uint64_t served_ = 0;
  std::uint64_t open_ = 0;
  std::uint64_t wrong_responses_ = 0;
  bool all_sent_ = false;
  Duration max_send_delay_{0};
  runtime::Notifier all_ended_;
};

}  // namespace beechhill::testbed
