/// A scenario for the emulator and the load test: the deployment, its load, its clients and its
/// faults, with functions that derive values from them. scenario_reader.h reads scenarios from
/// TOML; the format is described in docs/operators/experiments.md. Durations are in simulated time.
/// Work is in core-seconds on a core of speed 1.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "config/toml_reader.h"
#include "emulator/fault_spec.h"
#include "emulator/units.h"
#include "routing/subset.h"

namespace beechhill::emulator {

using config::Range;

/// The distribution of a request's work around its mean.
enum class WorkDistribution { kFixed, kExponential, kLognormal };

struct ClassSpec {
  std::string name;
  /// The settings that proxies use for the class.
  ClassSettings settings;
  /// Share of the arrivals, relative to the other classes.
  double part = 1;
  /// Mean work of a request over all tiers, in core-seconds.
  double work_s = 0.01;
  WorkDistribution distribution = WorkDistribution::kExponential;
  /// Coefficient of variation of a lognormal distribution.
  double variation = 1;
};

struct TenantSpec {
  std::string name;
  /// Share of the quota, relative to the other tenants.
  double share = 1;
  /// Share of the arrivals, relative to the other tenants.
  double part = 1;
};

/// A tier of backends with equal parameters.
struct TierSpec {
  std::string name;
  std::uint32_t nodes = 1;
  std::uint32_t cores = 1;
  /// Maximum number of jobs in progress at one backend.
  std::uint32_t slots = 32;
  /// Maximum number of jobs that wait for a slot at one backend. Further jobs are rejected as
  /// overload.
  std::uint32_t room = 64;
  std::uint32_t zones = 1;
  std::uint32_t cell_size = 4;
  Range speed{1, 1};
  /// Share of a request's work that one call to this tier does.
  double work = 1;
  /// Number of calls to the next tier for each job in this tier: an integer, uniformly distributed
  /// over the range.
  Range calls{1, 1};
  /// Share of jobs that fail without any fault.
  double errors = 0;
  /// Load reports: the interval between them, their delay, and their maximum relative error.
  Duration report_interval{1'000'000};
  Duration report_delay{200'000};
  double report_noise = 0;
  /// Slow start: the share of its capacity that a backend starts with, and the time until it
  /// reaches all of it.
  double cold_from = 0.2;
  Duration cold_span{10'000'000};
  /// Overload collapse: a backend whose queue is longer than `collapse_queue_per_core` jobs per
  /// core for `collapse_after` becomes `collapse_slowdown` times slower. It recovers after
  /// `collapse_idle` of low load, or after `collapse_max` in any case. A `collapse_queue_per_core`
  /// of 0 disables collapse.
  double collapse_queue_per_core = 0;
  Duration collapse_after{2'000'000};
  Duration collapse_idle{3'000'000};
  Duration collapse_max{20'000'000};
  double collapse_slowdown = 2;
  /// Cost of a new connection: the time to open it, and the work at the backend.
  Duration handshake{1'000};
  Duration handshake_work{500};
  Duration connection_idle_timeout{30'000'000};
  /// Whether queued jobs that were cancelled or have expired are dropped.
  bool drops_cancelled_jobs = false;
};

enum class LoadShape { kSteady, kDiurnal, kBursts };

/// The arrivals, which form an open loop.
struct LoadSpec {
  /// Mean number of first attempts per second; 0: derived from `utilisation`.
  double rate_per_s = 0;
  /// Offered load as a share of the capacity of the tier with the lowest capacity. Used if
  /// `rate_per_s` is 0.
  double utilisation = 0.5;
  LoadShape shape = LoadShape::kSteady;
  Duration period{60'000'000};
  Duration burst_length{2'000'000};
  /// For a diurnal load, the amplitude: the rate varies from 1 - swing to 1 + swing times the mean.
  double swing = 0.3;
  /// For bursts, the rate during `burst_length` of each period, relative to the rate outside.
  double burst_factor = 2;
  /// Share of the capacity that is divided among the tenants as their quotas; 0: no quotas.
  double quota = 0;
  /// Priority factor of requests that exceed their tenant's quota, from 0 to 1.
  double over_quota_factor = 0.2;
};

/// When a client retries a failed attempt. kAdvised honours Retry-After.
enum class RetryPolicy { kNever, kAtOnce, kAfter, kAdvised };

struct ClientSpec {
  RetryPolicy retry = RetryPolicy::kAfter;
  std::uint32_t max_retries = 2;
  Duration initial_backoff{100'000};
  /// Factor by which the backoff grows with each retry.
  double backoff_factor = 2;
  /// Longest Retry-After that clients honour; longer ones are shortened to it.
  Duration max_retry_after{1'500'000};
  /// Maximum duration of an attempt, as a share of the class's deadline. Drawn for each attempt.
  Range patience{1, 1};
  /// Number of connections that clients send requests over. Each leads to one proxy.
  std::uint32_t connections = 200;
  /// Share of the connections that lead to proxies of the first zone; 0: distributed evenly over
  /// all proxies.
  double first_zone_share = 0;
  /// Whether a restarted proxy immediately gets an even share of the connections.
  bool rebalances_on_return = false;
};

/// Settings of proxies that gossip and coordinate the maintenance of backends. Used only by the
/// cluster test.
struct ClusterSpec {
  /// Number of voters; 0: no cluster.
  std::uint32_t voters = 0;
  Duration lease{2'000'000};
  Duration isolated_after{0};
  std::uint32_t most_out = 2;
  double reserve = 0.1;
  /// Duration of an operator's work on one backend.
  Duration work{500'000};
  /// Whether two operators, at two proxies, each request maintenance of one half of all backends.
  bool work_on_all = true;
};

struct Scenario {
  std::string name;
  Duration length{20'000'000};
  /// Requests that arrive before this time are not counted in the totals.
  Duration warm_up{2'000'000};
  std::uint64_t seed = 1;

  /// Mean one-way network delay within a zone.
  Duration network{200};
  /// Maximum deviation of a delay above or below the mean, as a share of the mean.
  double network_spread = 0.1;
  /// Additional one-way delay between zones.
  Duration cross_zone{0};

  std::uint32_t proxies = 1;
  /// Maximum number of attempts of one request at one proxy.
  std::uint32_t tries = 3;
  /// Time until the clients' front-end detects that a proxy is dead.
  Duration proxy_notice{2'000'000};
  /// Interval between the snapshots that proxies save; empty: no snapshots.
  std::optional<Duration> snapshot_every;
  Duration connect_timeout{100'000};
  bool health_checks_allowed = true;
  bool cancellation_allowed = true;
  bool hedging_allowed = true;
  /// Longest Retry-After that proxies send; 0: they send none.
  Duration max_retry_after{1'500'000};
  /// Subsetting of the first tier's proxies. If `subset_count_known`, `proxies` and `proxy_index`
  /// are filled in for each proxy.
  routing::SubsetSettings subset;
  /// Whether each proxy knows the number of proxies and its index among them.
  bool subset_count_known = true;

  /// Delay until a proxy receives an update from discovery, and the maximum random addition to it.
  Duration list_lag{1'000'000};
  Duration list_spread{200'000};
  /// Time until discovery removes a silent backend; 0: never.
  Duration silent_notice{0};

  /// Tolerances of the rules that RuleChecker checks.
  Duration drain_grace{2'000'000};
  Duration collapse_delay{3'000'000};
  Duration answer_grace{16'000};
  double collapse_ratio = 3;

  LoadSpec load;
  ClientSpec clients;
  std::vector<ClassSpec> classes;
  std::vector<TenantSpec> tenants;
  std::vector<TierSpec> tiers;
  std::vector<FaultSpec> faults;
  ClusterSpec group;
};

/// Returns the share `part` of `count`, rounded, but at least 1 and at most `count`.
std::size_t rounded_share(double part, std::size_t count);
/// The indices of the first tier's proxies that a fault affects, counted from `first` and wrapping
/// around. Empty for faults that do not affect proxies.
std::vector<std::uint32_t> affected_proxies(const Scenario& scenario, const FaultSpec& fault);
/// The backends of `nodes` that the fault with this index affects, in ascending order. Each
/// fault draws them from its own random stream.
std::vector<EndpointId> affected_backends(const Scenario& scenario, std::size_t fault,
                                          const std::vector<Endpoint>& nodes);

Duration longest_deadline(const Scenario& scenario);
/// Mean work of a request over all tiers, in core-seconds.
double mean_work_s(const Scenario& scenario);

/// Mean requests per second that the tier with the lowest capacity can process, with all backends
/// warm and no faults.
double capacity_per_s(const Scenario& scenario);
/// The scenario's mean rate of first attempts, in requests per second.
double rate_per_s(const Scenario& scenario);
/// The settings of a proxy that calls `tier`. `replicas` is the number of proxies that call the
/// same tier.
Settings settings_for(const Scenario& scenario, std::uint32_t tier, std::uint32_t zone,
                      std::uint32_t replicas, std::uint64_t seed);

}  // namespace beechhill::emulator
