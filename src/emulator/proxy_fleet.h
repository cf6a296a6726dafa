/// The proxies of all tiers: their processes, what they know of the backends, and the course of a
/// process that dies, drains, is paused or comes back.
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

/// One attempt of a request, at its backend or on the way.
struct RequestAttempt {
  EndpointId endpoint = 0;
  /// Whether the proxy waits for its result.
  bool open = true;
  JobId job = 0;
};

/// A request at a proxy.
struct ProxyRequest {
  std::uint32_t proxy = 0;
  /// Whose it is: an operation of a client, or, where `parent_job` is not 0, a job of the tier
  /// above.
  OperationId operation = 0;
  JobId parent_job = 0;
  ClassId class_id = 0;
  TenantId tenant = kNoTenant;
  Time deadline{0};
  /// Core-seconds at speed 1, over all tiers.
  double work_s = 0;
  bool answered = false;
  /// Its client went while its proxy was paused.
  bool client_gone = false;
  std::vector<RequestAttempt> attempts;
  std::uint32_t open_attempts = 0;
  /// Its place in ProxyState::requests.
  std::size_t index_in_proxy = 0;
};

/// A proxy's connections to one backend.
struct PooledConnections {
  std::uint32_t idle = 0;
  Time last_used{0};
};

/// One proxy. Its number, zone and disk outlive its process.
struct ProxyState {
  std::uint32_t tier = 0;
  std::uint32_t zone = 0;
  std::uint32_t index = 0;
  bool alive = false;
  /// It does not run (SIGSTOP), or has not resynced since; what is for it is deferred.
  bool paused = false;
  /// It takes no new requests.
  bool draining = false;
  /// How many faults keep discovery from it.
  std::uint32_t discovery_faults = 0;
  /// Set while it is paused.
  std::optional<recovery::RecoveryTracker> recovery;
  /// For a paused one, in the order in which they came.
  std::deque<SimulationEvent> deferred_events;
  std::vector<ProxyRequest> unread_requests;
  /// Counts starts and deaths.
  std::uint64_t incarnation = 0;
  Time died_at{0};
  Time last_update_at{0};
  std::unique_ptr<Policy> policy;
  std::optional<routing::SubsetView> subset;
  Stream random{0, Actor::kProxy, 0};
  /// By endpoint id.
  std::vector<KnownEndpoint> endpoints;
  /// Looked up only, never walked: the order of a hash table is no part of a run.
  std::unordered_map<EndpointId, PooledConnections> connections;
  std::vector<RequestId> requests;
  ProxyStorage storage;

  bool accepts_requests() const { return alive && !draining; }
  ProxyIncarnation current() const { return {index, incarnation}; }
  /// Notes what discovery says of a backend.
  void record(const Endpoint& endpoint, Time now);
};

/// Owns the proxies.
class ProxyFleet {
 public:
  ProxyFleet(Simulation& sim, PolicyFactory make_policy);

  /// Adds a proxy that does not run yet; returns its number, which counts over all tiers.
  std::uint32_t add(std::uint32_t tier, std::uint32_t zone);
  ProxyState& operator[](std::uint32_t proxy) { return proxies_[proxy]; }
  std::size_t size() const { return proxies_.size(); }
  const std::vector<std::uint32_t>& in_tier(std::uint32_t tier) const { return by_tier_[tier]; }
  /// Whether that process still runs.
  bool is_current(const ProxyIncarnation& run) const;

  /// Starts a proxy's process: with discovery's list for its first, later with what it kept.
  void start(std::uint32_t proxy);
  /// Its process dies at once, and with it all requests in flight.
  void kill(std::uint32_t proxy);
  void pause(std::uint32_t proxy);
  /// Continues a paused process. After a long gap it waits for discovery first.
  void resume(std::uint32_t proxy);
  /// It has heard discovery, or has waited long enough: all that was deferred goes on.
  void finish_resume(std::uint32_t proxy, bool list_received);
  /// Keeps back what a paused process would have to handle. Its clients do not wait for it. True
  /// where the event needs no further handling now.
  bool defer_if_paused(const SimulationEvent& event);

  /// An update of discovery reaches a proxy, and its policy.
  void apply_delta(std::uint32_t proxy, const EndpointUpdate& update);
  void apply_snapshot(std::uint32_t proxy, const std::vector<Endpoint>& endpoints);

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
