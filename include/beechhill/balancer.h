// The whole interface of the decision module: settings, events, actions and class Balancer.
#pragma once

#include <chrono>
#include <cstdint>
#include <limits>
#include <memory>
#include <optional>
#include <variant>
#include <vector>

namespace beechhill {

using Duration = std::chrono::microseconds;
using Time = std::chrono::microseconds;  // a clock reading: time since an arbitrary origin

// Ids are small integers that the embedder interns, dense from 0 for all but requests.
using RequestId = std::uint64_t;
using EndpointId = std::uint32_t;
using ClassId = std::uint32_t;
using TenantId = std::uint32_t;
using TimerToken = std::uint64_t;

inline constexpr TenantId kNoTenant = std::numeric_limits<TenantId>::max();

enum class Idempotency { kIdempotent, kIdempotencyKey, kNonIdempotent };
enum class DeduplicationScope {
  kAll,
  kZone,
  kCell
};  // the servers that discard a keyed request's repeats

struct ClassSettings {
  Idempotency idempotency = Idempotency::kNonIdempotent;
  DeduplicationScope deduplication_scope = DeduplicationScope::kAll;
  Duration deduplication_window{0};
  Duration latency_objective{0};
  Duration deadline{0};
  double latency_objective_work_factor =
      0;  // the aim grows by this multiple of the request's own work
  double late_priority_factor = 0;
  double priority_weight = 1;
  bool streaming = false;
};

struct TenantSettings {
  double share = 0;
  double quota_per_s = 0;  // across all balancers together; 0: no allowance is stated
};

struct Settings {
  std::uint64_t seed = 0;
  std::vector<ClassSettings> classes;
  std::vector<TenantSettings> tenants;
  double over_quota_priority_factor = 1;
  std::uint32_t zone = 0;
  std::uint32_t tier = 0;
  std::uint32_t tier_count = 1;
  std::uint32_t replicas = 1;
  Duration time_step{1000};
  bool discovery_polling_required = false;
  Duration discovery_poll_interval{0};
  Duration drain_grace{0};
  Duration slow_start_window{0};
  double slow_start_initial_weight = 1;
  double overload_collapse_ratio = 1;
  Duration overload_collapse_delay{0};
  bool load_reports_require_health_checks = false;
  bool health_checks_allowed = false;
  bool cancellation_allowed = false;
  bool hedging_allowed = false;
  std::uint32_t max_attempts = 1;
  Duration max_retry_after{0};
  Duration connect_timeout{
      100'000};  // for whoever carries out the sends: a connection not up by then failed
  Duration backend_idle_timeout{
      30'000'000};  // servers close a connection that has stood idle this long
  double health_check_cost = 0;
  double cross_zone_cost = 0;
};

// Throws std::invalid_argument naming the setting that makes no sense.
void validate(const Settings& settings);

struct LoadReport {  // what a server said of itself; any part may be absent
  std::optional<double> utilization;
  std::optional<double> requests_per_s;
};

// ---- Events

enum class EndpointStatus { kUp, kDraining, kRemoved };

struct Endpoint {
  EndpointId id = 0;
  EndpointStatus status = EndpointStatus::kUp;
  std::uint32_t zone = 0;
  std::uint32_t cell = 0;
  std::optional<Time> started_at;   // absent: long ago
  std::uint32_t instance_type = 0;  // servers of one kind are built alike
};

enum class UpdateKind { kDelta, kSnapshot, kCached, kFailed };

struct EndpointUpdate {
  UpdateKind kind = UpdateKind::kSnapshot;
  std::vector<Endpoint> endpoints;
};

struct Request {
  RequestId id = 0;
  ClassId class_id = 0;
  TenantId tenant = kNoTenant;
  Time deadline{0};  // when the client abandons this try
  std::optional<Duration> work_hint;
  bool streams_body =
      false;  // its body is still coming: how long it takes says nothing of its server
};

struct FirstByte {
  RequestId id = 0;
  std::uint32_t attempt = 0;
};

enum class Result {
  kOk,
  kError,
  kOverloaded,
  kTimeout,
  kConnectFailed,
  kReset,
  kCancelled,
  kSkipped
};

struct Outcome {
  RequestId id = 0;
  std::uint32_t attempt = 0;
  Result result = Result::kOk;
  bool is_final = false;
  LoadReport report;
  bool body_consumed =
      false;  // its body has gone out in part and is not kept: it cannot be sent again
};

struct ClientDisconnected {
  RequestId id = 0;
};

struct HealthCheckResult {
  EndpointId endpoint = 0;
  Result result = Result::kOk;
  LoadReport report;
};

struct Timer {
  TimerToken token = 0;
};

// What reports and answers showed of one start of a server, fading. Only the ratios and how much
// stands behind them mean something.
struct EndpointStats {
  double weighted_rates = 0, weighted_utilizations = 0;  // reported
  double weighted_latency_ratios = 0;  // times of answers over what their class usually takes
  double response_weight = 0;

  void add_latency_ratio(double pace, double fading) {
    weighted_latency_ratios += pace - fading * weighted_latency_ratios;
    response_weight += 1 - fading * response_weight;
  }
  EndpointStats& operator+=(const EndpointStats& e) {
    weighted_rates += e.weighted_rates;
    weighted_utilizations += e.weighted_utilizations;
    weighted_latency_ratios += e.weighted_latency_ratios;
    response_weight += e.response_weight;
    return *this;
  }
};

// What an earlier instance knew of a server in the start that the list names, as far as it is still
// to be believed. Not checked: whoever reads it from a disk bounds it.
struct RestoredStats {
  EndpointId endpoint = 0;
  EndpointStats stats;
};

// An operator leaves a server out, or lets it serve again, whatever the list says of it: either
// bars new work. It may come before the list that first names the server. What was let serve again
// counts as just started.
struct EndpointExclusion {
  EndpointId endpoint = 0;
  bool excluded = true;
};

using Event = std::variant<EndpointUpdate, Request, FirstByte, Outcome, ClientDisconnected,
                           HealthCheckResult, Timer, EndpointExclusion, RestoredStats>;

// ---- Actions

struct StartAttempt {  // an attempt, which lasts until the client quits
  RequestId id = 0;
  EndpointId endpoint = 0;
};

struct Cancel {
  RequestId id = 0;
  std::uint32_t attempt = 0;
};

struct Reject {
  RequestId id = 0;
  Duration retry_after{0};
};

struct Fail {
  RequestId id = 0;
};

struct HealthCheck {
  EndpointId endpoint = 0;
};

struct SetTimer {
  TimerToken token = 0;
  Time at{0};
};

struct WatchEndpoints {};  // subscribe to discovery

using Action =
    std::variant<StartAttempt, Cancel, Reject, Fail, HealthCheck, SetTimer, WatchEndpoints>;

// One load balancer instance. Equal settings and events give equal actions. Not thread-safe.
class Balancer {
 public:
  // Throws what validate throws.
  Balancer(Time now, Settings settings, std::vector<Action>& actions);
  ~Balancer();

  // Takes one event that happened at `now` and appends the actions to carry out, in order.
  void handle(Time now, const Event& event, std::vector<Action>& actions);

  // How many servers are listed, and how many of them get nothing new at `now`, whatever the load.
  struct EndpointCounts {
    std::size_t listed = 0, avoided = 0;
  };
  EndpointCounts endpoint_counts(Time now) const;
  // What is known of one start of a server: for Recalled, to the next instance. Empty for one that
  // was never named.
  EndpointStats endpoint_stats(EndpointId server) const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace beechhill
