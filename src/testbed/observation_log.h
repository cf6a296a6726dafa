// The observation log of a run with real proxies: what clients, backends, discovery servers and the
// fault injection saw, each from its own side. The emulator's rule checker judges the run from it;
// nothing that a proxy reports about itself goes in.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "emulator/rules.h"

namespace beechhill::testbed {

/// One attempt of a client at one of its requests.
using ClientAttemptId = std::uint64_t;

/// How late the testbed may notice something on a busy machine. The rules are judged with this
/// tolerance.
inline constexpr Duration kObservationTolerance{500'000};

/// What a proxy remembers when a fault of its process is over.
enum class ProxyMemory { kKept, kLost };

/// For one thread. Times are the run's.
class ObservationLog {
 public:
  /// Counts of [backend][second].
  using CountsPerSecond = std::vector<std::vector<std::uint32_t>>;

  /// `now` is the run's clock.
  ObservationLog(const emulator::Scenario& scenario, std::size_t proxies,
                 std::function<Time()> now);
  ObservationLog(const ObservationLog&) = delete;
  ObservationLog& operator=(const ObservationLog&) = delete;

  /// Of a trace id "1-2f-3" (seed and request in hexadecimal, attempt in decimal) as the load
  /// generator writes them; nullopt for any other text.
  static std::optional<ClientAttemptId> parse_trace_id(std::string_view trace_id);
  static ClientAttemptId client_attempt(std::uint64_t request, std::uint32_t attempt) {
    return request << kAttemptBits | attempt;
  }

  /// Clients: an attempt was sent to a proxy, and got its response.
  void request_sent(ClientAttemptId id, ClassId request_class, std::size_t proxy, Time deadline);
  void response_received(ClientAttemptId id, bool rejected);
  /// The connection ended without a response, or none came by the deadline and the tolerance.
  void no_response(ClientAttemptId id);

  /// Backends: a connection was accepted; a request was read. attempt_received() returns the number
  /// for attempt_completed().
  void connection_accepted(EndpointId backend);
  std::uint32_t attempt_received(ClientAttemptId id, const Endpoint& backend);
  void attempt_completed(ClientAttemptId id, std::uint32_t attempt, Result result);
  /// A request with `work` core-seconds reached a backend that is warming up, started at
  /// `started_at` and does `capacity` core-seconds a second now.
  void work_received_in_slow_start(ClientAttemptId id, EndpointId backend, double work,
                                   double capacity, Time started_at);
  void slow_start_ended(EndpointId backend) { rules_.node_warm(0, backend); }

  /// Discovery servers: a list was asked for, and endpoints were written to a proxy.
  void snapshot_requested(std::size_t proxy) { ++snapshot_requests_[proxy]; }
  void endpoints_sent(std::size_t proxy, const std::vector<Endpoint>& endpoints, UpdateKind kind);

  /// Fault injection: the link between the two is partitioned, or healed. Bytes that were sent
  /// before may arrive once it is healed.
  void set_partitioned(std::size_t proxy, EndpointId backend, bool partitioned);
  /// Between the two calls a missing response is no violation by the proxy. Faults may overlap.
  void proxy_fault_began(std::size_t proxy);
  void proxy_fault_ended(std::size_t proxy, ProxyMemory memory);

  /// Operators: a backend is out for maintenance, or back. Requests that reach it meanwhile are
  /// counted.
  void set_in_maintenance(EndpointId backend, bool in_maintenance);
  std::uint64_t attempts_during_maintenance() const { return attempts_during_maintenance_; }

  const emulator::RuleChecker& rules() const { return rules_; }
  /// Attempts without a response that a fault of the proxy's process accounts for.
  std::uint64_t excused() const { return excused_; }
  const CountsPerSecond& connections() const { return connections_; }
  const CountsPerSecond& attempts() const { return attempts_; }
  /// By proxy.
  const std::vector<std::uint32_t>& snapshot_requests() const { return snapshot_requests_; }

 private:
  // Attempts of one request share the upper bits of the id.
  static constexpr unsigned kAttemptBits = 6;

  struct OpenRequest {
    std::size_t proxy = 0;
    Time sent{0};
    std::uint32_t attempts = 0;
  };
  // What discovery last sent a proxy about a backend.
  struct AdvertisedState {
    bool up = false;
    std::optional<Time> down_since;
    Time up_since{0};
  };
  struct Partition {
    Time began{0};
    Time ended{0};
  };
  struct ProxyFaults {
    std::uint32_t active = 0;
    Time last_ended{Time::min()};
  };
  void forget_expired();
  void advertise(std::size_t proxy, EndpointId backend, EndpointStatus status);
  static void count(std::vector<std::uint32_t>& by_second, Time now);

  const emulator::Scenario scenario_;
  std::function<Time()> now_;
  emulator::RuleChecker rules_;
  std::unordered_map<ClientAttemptId, OpenRequest> open_;  // looked up only, never iterated
  std::deque<std::pair<Time, ClientAttemptId>> expiries_;  // in the order of sending
  std::vector<std::vector<AdvertisedState>> advertised_;   // [proxy][backend]
  std::vector<ProxyFaults> proxy_faults_;
  std::map<std::pair<std::size_t, EndpointId>, Partition> partitions_;  // the latest of each link
  CountsPerSecond connections_;
  CountsPerSecond attempts_;
  std::vector<std::uint32_t> snapshot_requests_;
  std::uint64_t excused_ = 0;
  std::set<EndpointId> in_maintenance_;
  std::uint64_t attempts_during_maintenance_ = 0;
};

}  // namespace beechhill::testbed
