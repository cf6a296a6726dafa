// The actor that owns the balancer: its clock, timers and requests, and the ids that stand for
// names in it.
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

/// Decides, with the balancer, what happens to each request. All members are called on the
/// scheduler's thread.
class DecisionActor {
 public:
  using BackendFactory =
      std::function<std::unique_ptr<Backend>(DecisionMailbox&, EndpointId, const sockaddr_in&)>;

  /// `watch` receives the balancer's orders to watch discovery. With `subset.min_endpoints` 0 the
  /// balancer uses all endpoints. `excluded`: ids that operators had excluded when this process
  /// started. `records`: what an earlier process of this name had learned; used only of backends
  /// that a list names with the same start.
  DecisionActor(runtime::Scheduler& scheduler, const config::Config& config,
                BackendFactory make_backend, EndpointWatchMailbox& watch,
                const routing::SubsetSettings& subset = {}, std::set<std::string> excluded = {},
                const std::vector<snapshot::EndpointRecord>& records = {});

  DecisionMailbox& inbox() { return inbox_; }

  /// Whether requests may be accepted: an endpoint list is held and the start is over.
  bool ready() const { return recovery_.ready(); }
  /// Whether discovery has sent an update since the start.
  bool has_discovery_update() const { return has_discovery_update_; }
  /// Whether the endpoint list may decide where something new goes: false within a gap, until
  /// discovery has resynced this process, and without permission to serve.
  bool endpoints_are_current() const {
    return recovery_.endpoints_are_current(runtime::now()) && serving_permitted();
  }
  bool serving_permitted() const { return exclusions_.serving_permitted(runtime::now()); }
  recovery::Stage stage() const { return recovery_.stage(); }

  /// From now on nothing is sent until DispatchPermissions permit it.
  void require_permissions() { exclusions_.require_permissions(); }

  /// A listed backend, as maintenance plans see it.
  struct ListedBackend {
    std::string id;
    std::string zone;
    std::string instance_type;
    std::uint32_t cell = 0;
    /// In service, and not excluded by an operator.
    bool up = false;
    /// Beyond its slow start window.
    bool warm = false;
    /// Unix time of its latest start; 0: not stated.
    std::chrono::milliseconds started_at{0};
    /// Relative to the average backend, from load reports, rounded to half powers of two.
    double relative_capacity = 1;
  };
  std::vector<ListedBackend> listed_backends() const;

  /// Smoothed, from load reports, 0 to 1.
  std::map<std::string, double> utilization_by_zone() const;

  /// Ids of excluded backends that are still in use by this process, or may be, as their drain
  /// grace is not over.
  std::set<std::string> busy_excluded_backends() const;

  /// What has been learned so far; at most snapshot::kMaxRecords beside what was never claimed.
  std::vector<snapshot::EndpointRecord> endpoint_records() const;

  const std::set<std::string>& excluded_backends() const {
    return exclusions_.excluded_by_operator();
  }

  /// Processes messages and timers until its task is cancelled.
  runtime::Task<> run();

 private:
  struct BackendEntry {
    /// Null: this id is free.
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
    /// Attempts, response streams and health checks that refer to it.
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
  void act(const SetTimer& action);
  void act(const WatchEndpoints&);

  // ---- Requests and attempts (decision_actor_requests.cpp)
  void on(RequestReceived& message);
  void on(RequestAbandoned& message);
  void on(AttemptCompleted& outcome);
  void on(ResponseStreamEnded& message);
  void on(HealthCheckCompleted& outcome);
  void act(const StartAttempt& action);
  void act(const Cancel& action);
  void act(const Reject& action);
  void act(const Fail& action);
  void act(const HealthCheck& action);
  AttemptRequest make_attempt(const ActiveRequest& active) const;
  Result post_attempt(const ActiveRequest& active, EndpointId endpoint, AttemptRequest&& attempt);
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
  /// Empty: all endpoints are used.
  std::optional<routing::SubsetView> subset_;
  DecisionMailbox inbox_;
  BackendExclusions exclusions_;
  ZoneUtilization zone_utilization_;
  Duration drain_grace_;
  Duration slow_start_window_;
  Duration max_retry_after_;
  std::uint32_t max_attempts_;
  /// By class; empty where the class has no idempotency key.
  std::vector<std::optional<Duration>> deduplication_windows_;
  /// Unix time less the steady clock's.
  Time unix_offset_;
  RestoredRecords restored_records_;
  bool has_discovery_update_ = false;
  recovery::RecoveryTracker recovery_;
  recovery::Stage logged_stage_ = recovery::Stage::kNoEndpoints;
  /// Messages that arrived while resyncing, in order. Each stands for a descriptor's event, which
  /// bounds them.
  std::deque<DecisionMessage> deferred_messages_;
  config::Interner endpoint_ids_;
  config::Interner zone_ids_;
  config::Interner instance_type_ids_;
  std::vector<BackendEntry> backends_;  // by EndpointId
  DepartedBackends departed_backends_;
  std::unordered_map<RequestId, ActiveRequest> requests_;
  std::multimap<Time, TimerToken> timers_;
  /// Filled by the balancer, its constructor included.
  std::vector<Action> actions_;
  /// Outcomes of attempts and health checks that were never posted, to be processed after the
  /// present event.
  std::vector<DecisionMessage> immediate_outcomes_;
  RequestId next_request_id_ = 1;
  Balancer balancer_;
};

}  // namespace beechhill::proxy
