// The observation log of a run with real proxies. Clients, backends, discovery servers and the
// fault injection record what they observe, and the emulator's rule checker evaluates the run from
// these records. Nothing that a proxy reports about itself is recorded.
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

/// Identifies one attempt of a client to send one of its requests.
using ClientAttemptId = std::uint64_t;

/// Maximum delay with which the testbed may observe an event on a busy machine (500 ms). The rules
/// are checked with this tolerance.
inline constexpr Duration kObservationTolerance{500'000};

/// Whether a proxy still has its in-memory state when a fault of its process ends.
enum class ProxyMemory { kKept, kLost };

/// Records the observations of one run and checks the rules. Not thread-safe. All times are
/// scenario times.
class ObservationLog {
 public:
  /// Event counts, indexed by backend and then by second of scenario time.
  using CountsPerSecond = std::vector<std::vector<std::uint32_t>>;

  /// `proxies` is the number of proxies. `now` returns the scenario time.
  ObservationLog(const emulator::Scenario& scenario, std::size_t proxies,
                 std::function<Time()> now);
  ObservationLog(const ObservationLog&) = delete;
  ObservationLog& operator=(const ObservationLog&) = delete;

  /// Parses a trace id of the load generator, such as "1-2f-3": seed and request in hexadecimal,
  /// attempt in decimal. Returns nullopt for any other text.
  static std::optional<ClientAttemptId> parse_trace_id(std::string_view trace_id);
  static ClientAttemptId client_attempt(std::uint64_t request, std::uint32_t attempt) {
    return request << kAttemptBits | attempt;
  }

  /// Client events: an attempt was sent to a proxy; a response to an attempt was received.
  void request_sent(ClientAttemptId id, ClassId request_class, std::size_t proxy, Time deadline);
  void response_received(ClientAttemptId id, bool rejected);
  /// Client event: the connection ended without a response, or none was received before the
  /// deadline plus kObservationTolerance.
  void no_response(ClientAttemptId id);

  /// Backend events: a connection was accepted; an attempt was received; the response to an attempt
  /// is ready. attempt_received() returns the number to pass to attempt_completed().
  void connection_accepted(EndpointId backend);
  std::uint32_t attempt_received(ClientAttemptId id, const Endpoint& backend);
  void attempt_completed(ClientAttemptId id, std::uint32_t attempt, Result result);
  /// Backend event: a request with `work` core-seconds was received during slow start by a backend
  /// that started at `started_at` and currently processes `capacity` core-seconds per second.
  void work_received_in_slow_start(ClientAttemptId id, EndpointId backend, double work,
                                   double capacity, Time started_at);
  void slow_start_ended(EndpointId backend) { rules_.forget_cold_work(0, backend); }

  /// Discovery events: a proxy requested the endpoint list; endpoints were sent to a proxy.
  void snapshot_requested(std::size_t proxy) { ++snapshot_requests_[proxy]; }
  void endpoints_sent(std::size_t proxy, const std::vector<Endpoint>& endpoints, UpdateKind kind);

  /// Fault injection event: the link between the proxy and the backend was partitioned or healed.
  /// Bytes that were sent during a partition may arrive after it was healed.
  void set_partitioned(std::size_t proxy, EndpointId backend, bool partitioned);
  /// Fault injection events: a fault of the proxy's process began or ended. A response that is
  /// missing because of such a fault is not a rule violation. Faults may overlap.
  void proxy_fault_began(std::size_t proxy);
  void proxy_fault_ended(std::size_t proxy, ProxyMemory memory);

  /// Maintenance event: a backend was taken out for maintenance or returned to service.
  /// attempts_during_maintenance() counts the attempts that reach backends in maintenance.
  void set_in_maintenance(EndpointId backend, bool in_maintenance);
  std::uint64_t attempts_during_maintenance() const { return attempts_during_maintenance_; }

  const emulator::RuleChecker& rules() const { return rules_; }
  /// Number of attempts without a response that a fault of the proxy's process explains.
  std::uint64_t excused() const { return excused_; }
  const CountsPerSecond& connections() const { return connections_; }
  const CountsPerSecond& attempts() const { return attempts_; }
  /// Number of requests for the endpoint list, indexed by proxy.
  const std::vector<std::uint32_t>& snapshot_requests() const { return snapshot_requests_; }

 private:
  // Number of low bits of a ClientAttemptId that hold the attempt number; the bits above hold the
  // request number.
  static constexpr unsigned kAttemptBits = 6;

  struct OpenRequest {
    std::size_t proxy = 0;
    Time sent_at{0};
    std::uint32_t attempts = 0;
  };
  // The status of a backend as discovery last sent it to a proxy.
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
  void remove_expired_requests();
  void record_advertised_status(std::size_t proxy, EndpointId backend, EndpointStatus status);
  static void count_event(std::vector<std::uint32_t>& by_second, Time now);

  const emulator::Scenario scenario_;
  std::function<Time()> now_;
  emulator::RuleChecker rules_;
  // Client attempts that have not expired. The map is never iterated, so that its order has no
  // effect.
  std::unordered_map<ClientAttemptId, OpenRequest> open_requests_;
  std::deque<std::pair<Time, ClientAttemptId>> expiries_;  // sorted by time
  std::vector<std::vector<AdvertisedState>> advertised_;   // indexed by proxy and backend
  std::vector<ProxyFaults> proxy_faults_;
  // The most recent partition of each link between a proxy and a backend.
  std::map<std::pair<std::size_t, EndpointId>, Partition> partitions_;
  CountsPerSecond connections_;
  CountsPerSecond attempts_;
  std::vector<std::uint32_t> snapshot_requests_;
  std::uint64_t excused_ = 0;
  std::set<EndpointId> in_maintenance_;
  std::uint64_t attempts_during_maintenance_ = 0;
};

}  // namespace beechhill::testbed
