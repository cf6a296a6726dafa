// The actor that owns the balancer. It supplies the balancer with events and timers, performs its
// actions, and maps names to the ids that the balancer uses.
#pragma once

#include <netinet/in.h>

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "config/interner.h"
#include "proxy/active_request.h"
#include "proxy/backend_exclusions.h"
#include "proxy/backend_messages.h"
#include "proxy/decision_messages.h"
#include "proxy/departed_backends.h"
#include "proxy/endpoint_watch_messages.h"
#include "proxy/restored_records.h"
#include "proxy/zone_utilization.h"
#include "recovery/recovery_tracker.h"
#include "routing/subset.h"
#include "runtime/scheduler.h"
#include "runtime/task.h"
#include "runtime/time.h"
#include "snapshot/snapshot.h"

namespace beechhill::proxy {

/// Uses the balancer to decide what happens to each request. At start and after a gap in which the
/// process did not run, it resyncs: it applies all endpoint updates that discovery has written
/// before it processes requests. All members must be called on the scheduler's thread.
class DecisionActor {
 public:
  using BackendFactory =
      std::function<std::unique_ptr<Backend>(DecisionMailbox&, EndpointId, const sockaddr_in&)>;

  /// Posts a message to `watch` when the balancer asks to watch discovery. If
  /// `subset.min_endpoints` is 0, the balancer uses all endpoints. `excluded` holds the ids of
  /// backends that operators had excluded when this process started. `records` holds the statistics
  /// that an earlier process of this proxy saved; a record is restored only if an endpoint list
  /// names its backend with the same start time.
  DecisionActor(runtime::Scheduler& scheduler, const config::Config& config,
                BackendFactory make_backend, EndpointWatchMailbox& watch,
                const routing::SubsetSettings& subset = {}, std::set<std::string> excluded = {},
                const std::vector<snapshot::EndpointRecord>& records = {});

  DecisionMailbox& inbox() { return inbox_; }

  /// Whether requests may be accepted: there is an endpoint list, and the resync at start is over.
  bool ready() const { return recovery_.ready(); }
  /// Whether discovery has sent an update since this process started.
  bool has_discovery_update() const { return has_discovery_update_; }
  /// Whether the endpoint list may be used to choose backends for new requests. False after a gap
  /// in which the process did not run, until the resync with discovery is over, and while there is
  /// no permission to serve.
  bool endpoints_are_current() const {
    return recovery_.endpoints_are_current(runtime::now()) && serving_permitted();
  }
  bool serving_permitted() const { return exclusions_.serving_permitted(runtime::now()); }
  recovery::Stage stage() const { return recovery_.stage(); }

  /// Forbids sending requests until a DispatchPermissions message permits it.
  void require_permissions() { exclusions_.require_permissions(); }

  /// A backend in the endpoint list, as used by maintenance plans.
  struct ListedBackend {
    std::string id;
    std::string zone;
    std::string instance_type;
    std::uint32_t cell = 0;
    /// Whether the backend is in service and not excluded by an operator. Dispatch permissions do
    /// not matter.
    bool up = false;
    /// Whether the backend is past its slow start window.
    bool warm = false;
    /// Unix time of the backend's latest start; 0 if discovery does not state it.
    std::chrono::milliseconds started_at{0};
    /// Capacity relative to the average backend, from load reports, rounded to half powers of two.
    double relative_capacity = 1;
  };
  std::vector<ListedBackend> listed_backends() const;

  /// Smoothed utilization of each zone by name, from load reports; values are from 0 to 1.
  std::map<std::string, double> utilization_by_zone() const;

  /// Ids of excluded backends that this process still uses, or may still use because the drain
  /// grace is not over.
  std::set<std::string> busy_excluded_backends() const;

  /// Returns statistics of backends for a snapshot: all restored records that no endpoint list has
  /// claimed yet, and records of current backends up to a total of snapshot::kMaxRecords.
  std::vector<snapshot::EndpointRecord> endpoint_records() const;

  const std::set<std::string>& excluded_backends() const {
    return exclusions_.excluded_by_operator();
  }

  /// Processes messages and timers until its task is cancelled.
  runtime::Task<> run();

 private:
  struct BackendEntry {
    /// Null if this id is unused.
    std::unique_ptr<Backend> backend;
    EndpointStatus status = EndpointStatus::kRemoved;
    bool excluded = false;
    Time excluded_at{0};
    Time permitted_until = Time::max();
    std::uint32_t zone = 0;
    std::uint32_t instance_type = 0;
    std::uint32_t cell = 0;
    sockaddr_in address{};
    std::chrono::milliseconds started_at{0};
    /// Number of attempts, response streams and health checks that refer to the backend.
    std::size_t references = 0;
  };

  // ---- Loop, timers and recovery (decision_actor.cpp)
  bool update_recovery();
  void log_stage_change();
  void process(DecisionMessage& message);
  void process_inbox();
  void process_deferred();
  void fire_timers();
  bool timer_is_due() const;
  void handle_event(const Event& event);
  void perform_actions();
  Time unix_now() const { return runtime::now() + unix_offset_; }
  void on(ResyncComplete&);
  void on(GetEndpointCounts& query);
  void perform(const SetTimer& action);
  void perform(const WatchEndpoints&);

  // ---- Requests and attempts (decision_actor_requests.cpp)
  void on(RequestReceived& message);
  void on(RequestAbandoned& message);
  void on(AttemptCompleted& outcome);
  void on(ResponseStreamEnded& message);
  void on(HealthCheckCompleted& outcome);
  void perform(const StartAttempt& action);
  void perform(const Cancel& action);
  void perform(const Reject& action);
  void perform(const Fail& action);
  void perform(const HealthCheck& action);
  AttemptRequest make_attempt(const ActiveRequest& active) const;
  Result post_attempt(const ActiveRequest& active, EndpointId endpoint, AttemptRequest&& attempt);
  bool address_is_reassigned(EndpointId endpoint) const;
  ActiveRequest* find_request(RequestId id);
  void release_request_if_finished(RequestId id);
  void add_reference(EndpointId endpoint) { ++backends_[endpoint].references; }
  void drop_reference(EndpointId endpoint);

  // ---- The endpoint list, exclusions and permissions (decision_actor_endpoints.cpp)
  void on(config::EndpointList& list);
  void on(ExcludeBackend& command);
  void on(DispatchPermissions& permissions);
  void apply_list(const config::EndpointList& list, UpdateKind kind);
  Endpoint upsert_backend(const config::EndpointListEntry& row);
  void remove_unlisted(const std::vector<EndpointId>& listed);
  EndpointUpdate select_subset(EndpointUpdate update, const std::vector<std::uint64_t>& hashes);
  void restore_stats(const std::vector<EndpointId>& endpoints);
  void update_exclusion(const std::string& backend_id);
  void set_excluded(EndpointId endpoint, bool excluded);
  void post_status(EndpointId endpoint, BackendStatus status);
  void release_backend_if_unused(EndpointId endpoint);
  bool was_ever_listed(const std::string& backend_id) const;

  // ---- Queries (decision_actor_queries.cpp)
  ListedBackend describe(EndpointId endpoint, double average_capacity) const;
  double average_capacity() const;

  runtime::Scheduler& scheduler_;
  BackendFactory make_backend_;
  EndpointWatchMailbox& watch_;
  /// Empty if the balancer uses all endpoints.
  std::optional<routing::SubsetView> subset_;
  DecisionMailbox inbox_;
  BackendExclusions exclusions_;
  ZoneUtilization zone_utilization_;
  Duration drain_grace_;
  Duration slow_start_window_;
  Duration max_retry_after_;
  std::uint32_t max_attempts_;
  /// Deduplication window by class; empty for a class without an idempotency key.
  std::vector<std::optional<Duration>> deduplication_windows_;
  /// Unix time minus the time of the steady clock.
  Time unix_offset_;
  RestoredRecords restored_records_;
  bool has_discovery_update_ = false;
  recovery::RecoveryTracker recovery_;
  recovery::Stage logged_stage_ = recovery::Stage::kNoEndpoints;
  /// Messages that arrived during a resync, in order of arrival. Their number is limited by the
  /// number of descriptors, as each message results from an event on a descriptor.
  std::deque<DecisionMessage> deferred_messages_;
  config::Interner endpoint_ids_;
  config::Interner zone_ids_;
  config::Interner instance_type_ids_;
  /// Indexed by EndpointId.
  std::vector<BackendEntry> backends_;
  DepartedBackends departed_backends_;
  std::unordered_map<RequestId, ActiveRequest> requests_;
  std::multimap<Time, TimerToken> timers_;
  /// Actions of the balancer that have not been performed yet. Declared before `balancer_`, whose
  /// constructor adds actions.
  std::vector<Action> actions_;
  /// Outcomes of attempts and health checks that could not be posted to a backend. They are
  /// processed after the current event.
  std::vector<DecisionMessage> immediate_outcomes_;
  RequestId next_request_id_ = 1;
  Balancer balancer_;
};

}  // namespace beechhill::proxy
