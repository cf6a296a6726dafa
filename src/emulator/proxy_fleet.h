/// The proxies of all tiers: their processes, their view of the backends, and the handling of
/// crashes, draining, pauses and restarts.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

#include "emulator/event_queue.h"
#include "emulator/policy.h"
#include "emulator/proxy_storage.h"
#include "emulator/random.h"
#include "emulator/scenario.h"
#include "recovery/recovery_tracker.h"
#include "routing/subset.h"

namespace beechhill::emulator {

struct Simulation;

/// An attempt of a ProxyRequest, which may have ended.
struct RequestAttempt {
  EndpointId endpoint = 0;
  /// Whether the proxy still waits for the result.
  bool open = true;
  JobId job = 0;
};

/// A request that a proxy has accepted.
struct ProxyRequest {
  std::uint32_t proxy = 0;
  /// The origin of the request: a job of the tier above if `parent_job` is not 0, otherwise a
  /// client's operation.
  OperationId operation = 0;
  JobId parent_job = 0;
  ClassId class_id = 0;
  TenantId tenant = kNoTenant;
  Time deadline{0};
  /// Work over all tiers, in core-seconds at speed 1.
  double work_s = 0;
  bool answered = false;
  /// Whether the client disconnected while the proxy was paused.
  bool client_gone = false;
  std::vector<RequestAttempt> attempts;
  std::uint32_t open_attempts = 0;
  /// Index in ProxyState::requests.
  std::size_t index_in_proxy = 0;
};

/// A proxy's idle connections to one backend.
struct PooledConnections {
  std::uint32_t idle = 0;
  Time last_used{0};
};

/// One proxy. Its index, zone and storage outlive its process.
struct ProxyState {
  std::uint32_t tier = 0;
  std::uint32_t zone = 0;
  std::uint32_t index = 0;
  bool alive = false;
  /// Whether the process is stopped (SIGSTOP), or has resumed but not yet received the endpoint
  /// list. Its events are deferred meanwhile.
  bool paused = false;
  /// Whether the proxy accepts no new requests.
  bool draining = false;
  /// Number of active faults that prevent the proxy from receiving updates of discovery.
  std::uint32_t discovery_faults = 0;
  /// Tracks the length of a pause and the resync after it. Set while the proxy is paused.
  std::optional<recovery::RecoveryTracker> recovery;
  /// Events and unread requests of a paused proxy, in the order of their arrival.
  std::deque<SimulationEvent> deferred_events;
  std::vector<ProxyRequest> unread_requests;
  /// Increased at each start and each crash, so that events for an earlier process are ignored.
  std::uint64_t incarnation = 0;
  Time died_at{0};
  Time last_update_at{0};
  std::unique_ptr<Policy> policy;
  std::optional<routing::SubsetView> subset;
  Stream random{0, Actor::kProxy, 0};
  /// Indexed by endpoint id.
  std::vector<KnownEndpoint> endpoints;
  /// Only used for look-ups and never iterated, because the order of a hash table must not affect a
  /// run.
  std::unordered_map<EndpointId, PooledConnections> connections;
  std::vector<RequestId> requests;
  ProxyStorage storage;

  bool accepts_requests() const { return alive && !draining; }
  ProxyIncarnation current() const { return {index, incarnation}; }
  /// Records the state of a backend that discovery has sent.
  void record(const Endpoint& endpoint, Time now);
};

/// Owns the proxies. Starts, kills, pauses and resumes their processes.
class ProxyFleet {
 public:
  ProxyFleet(Simulation& sim, PolicyFactory make_policy);

  /// Adds a proxy whose process is not running. Returns its index, which is unique over all tiers.
  std::uint32_t add(std::uint32_t tier, std::uint32_t zone);
  ProxyState& operator[](std::uint32_t proxy) { return proxies_[proxy]; }
  std::size_t size() const { return proxies_.size(); }
  const std::vector<std::uint32_t>& in_tier(std::uint32_t tier) const { return by_tier_[tier]; }
  /// Whether this incarnation of the proxy is still running.
  bool is_current(const ProxyIncarnation& run) const;

  /// Starts a proxy's process. The first process receives the endpoint list from discovery; later
  /// ones load the list and statistics that the proxy has stored.
  void start(std::uint32_t proxy);
  /// Ends the process immediately. All its requests in flight are lost.
  void kill(std::uint32_t proxy);
  void pause(std::uint32_t proxy);
  /// Resumes a paused process. After a long pause it waits for the endpoint list first.
  void resume(std::uint32_t proxy);
  /// Completes a resume, once the endpoint list has been received or the wait for it has timed out:
  /// handles the deferred events and unread requests.
  void finish_resume(std::uint32_t proxy, bool list_received);
  /// Defers an event if its proxy is paused. Returns true if the event needs no further handling
  /// now. Clients stop waiting at their deadlines even while the proxy is paused.
  bool defer_if_paused(const SimulationEvent& event);

  /// Applies an endpoint update to the proxy's view of the backends and passes it to the policy.
  void apply_delta(std::uint32_t proxy, const EndpointUpdate& update);
  /// Applies the full endpoint list. Backends that were up and are not listed become removed.
  void apply_snapshot(std::uint32_t proxy, const std::vector<Endpoint>& endpoints);

  /// Begin or end a fault of the proxy's stored state or disk; see affects_state().
  void begin_state_fault(const FaultSpec& fault, std::uint32_t proxy);
  void end_state_fault(const FaultSpec& fault, std::uint32_t proxy);

 private:
  bool defer(const SimulationEvent& event, std::uint32_t proxy);
  bool defer_for_run(const SimulationEvent& event, const ProxyIncarnation& run);
  bool defer_deadline(const SimulationEvent& event, RequestId request);
  bool defer_overdue(const SimulationEvent& event, RequestId request);
  void restore_after_restart(std::uint32_t proxy);
  void lose_unread_requests(ProxyState& proxy);
  void notify_policy(std::uint32_t proxy, const EndpointUpdate& update);
  void save_snapshot(ProxyState& proxy);

  Simulation& sim_;
  const PolicyFactory make_policy_;
  std::deque<ProxyState> proxies_;
  std::vector<std::vector<std::uint32_t>> by_tier_;
};

}  // namespace beechhill::emulator
