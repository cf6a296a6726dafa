/// What the emulator and the load test play: the deployment, its load, its clients and its faults,
/// and what follows from these. scenario_reader.h reads it from TOML; its form is described in
/// docs/operators/experiments.md. Durations are simulated time; work is in core-seconds on a core
/// of speed 1.
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

/// How a request's work is distributed around its mean.
enum class WorkDistribution { kFixed, kExponential, kLognormal };

struct ClassSpec {
  std::string name;
  /// As the proxies are configured.
  ClassSettings settings;
  /// Share of the arrivals, relative to the other classes'.
  double part = 1;
  /// Mean, over all tiers.
  double work_s = 0.01;
  WorkDistribution distribution = WorkDistribution::kExponential;
  /// Coefficient of variation of a lognormal distribution.
  double variation = 1;
};

struct TenantSpec {
  std::string name;
  /// Share of the quota, relative to the other tenants'.
  double share = 1;
  /// Share of the arrivals, relative to the other tenants'.
  double part = 1;
};

/// A tier of like backends.
struct TierSpec {
  std::string name;
  std::uint32_t nodes = 1;
  std::uint32_t cores = 1;
  /// Jobs in progress at one backend.
  std::uint32_t slots = 32;
  /// Jobs that wait for a slot at one backend; beyond, it is overloaded.
  std::uint32_t room = 64;
  std::uint32_t zones = 1;
  std::uint32_t cell_size = 4;
  Range speed{1, 1};
  /// Share of a request's work that one call does here.
  double work = 1;
  /// Calls to the next tier for each job here: whole numbers, drawn evenly.
  Range calls{1, 1};
  /// Share of jobs that fail by themselves.
  double errors = 0;
  /// Load reports: how often refreshed, how late, and the relative error of each.
  Duration report_interval{1'000'000};
  Duration report_delay{200'000};
  double report_noise = 0;
  /// Slow start: the share of its capacity that a backend begins with, and when it has all of it.
  double cold_from = 0.2;
  Duration cold_span{10'000'000};
  /// Overload collapse: more waiting jobs a core than `collapse_queue_per_core` over
  /// `collapse_after` make a backend `collapse_slowdown` times slower, until it was mostly idle for
  /// `collapse_idle`, or for `collapse_max`. A `collapse_queue_per_core` of 0: never.
  double collapse_queue_per_core = 0;
  Duration collapse_after{2'000'000};
  Duration collapse_idle{3'000'000};
  Duration collapse_max{20'000'000};
  double collapse_slowdown = 2;
  /// What a new connection costs: time, and work at the backend.
  Duration handshake{1'000};
  Duration handshake_work{500};
  Duration connection_idle_timeout{30'000'000};
  /// Whether a cancelled or expired job that waits is dropped.
  bool drops_cancelled_jobs = false;
};

enum class LoadShape { kSteady, kDiurnal, kBursts };

/// The arrivals, an open loop.
struct LoadSpec {
  /// Mean rate of first attempts; 0: from `utilisation`.
  double rate_per_s = 0;
  /// Share of what the tightest tier can do.
  double utilisation = 0.5;
  LoadShape shape = LoadShape::kSteady;
  Duration period{60'000'000};
  Duration burst_length{2'000'000};
  /// Of a diurnal load: the rate goes from 1 - swing to 1 + swing of the mean.
  double swing = 0.3;
  /// Of bursts: the rate over `burst_length` in each period, relative to that outside.
  double burst_factor = 2;
  /// Share of the capacity that is divided among the tenants as their quotas; 0: no quotas.
  double quota = 0;
  /// What a request beyond its tenant's quota is worth, relative to one within.
  double over_quota_factor = 0.2;
};

/// When a client tries a failed attempt again: kAdvised honours Retry-After.
enum class RetryPolicy { kNever, kAtOnce, kAfter, kAdvised };

struct ClientSpec {
  RetryPolicy retry = RetryPolicy::kAfter;
  std::uint32_t max_retries = 2;
  Duration initial_backoff{100'000};
  /// Of the backoff, with each retry.
  double backoff_factor = 2;
  /// The longest Retry-After that clients honour.
  Duration max_retry_after{1'500'000};
  /// How long an attempt may take, as a share of the class's deadline.
  Range patience{1, 1};
  /// Over these the requests come; each stays at one proxy.
  std::uint32_t connections = 200;
  /// Share of the connections at proxies of the first zone; 0: spread over all proxies alike.
  double first_zone_share = 0;
  /// Whether a proxy that is back is given its even share of the connections again, at once.
  bool rebalances_on_return = false;
};

/// Proxies that gossip and coordinate the maintenance of backends. Only the cluster test plays it.
struct ClusterSpec {
  /// 0: no cluster.
  std::uint32_t voters = 0;
  Duration lease{2'000'000};
  Duration isolated_after{0};
  std::uint32_t most_out = 2;
  double reserve = 0.1;
  /// How long an operator works on one backend.
  Duration work{500'000};
  /// Two operators request the two halves of all backends, at two proxies.
  bool work_on_all = true;
};

struct Scenario {
  std::string name;
  Duration length{20'000'000};
  /// What arrives before this counts in no total.
  Duration warm_up{2'000'000};
  std::uint64_t seed = 1;

  /// One way.
  Duration network{200};
  /// Relative spread of it, to both sides.
  double network_spread = 0.1;
  /// Added between zones, one way.
  Duration cross_zone{0};

  std::uint32_t proxies = 1;
  /// Attempts of one request at one proxy.
  std::uint32_t tries = 3;
  /// Until the front knows that a proxy is dead.
  Duration proxy_notice{2'000'000};
  /// How often proxies save snapshots; none: they save none.
  std::optional<Duration> snapshot_every;
  Duration connect_timeout{100'000};
  bool health_checks_allowed = true;
  bool cancellation_allowed = true;
  bool hedging_allowed = true;
  /// The longest Retry-After that the proxies may give; 0: they give none.
  Duration max_retry_after{1'500'000};
  /// Of the first tier's proxies. `proxies` and `proxy_index` are filled in for each where
  /// `subset_count_known`.
  routing::SubsetSettings subset;
  /// Whether the proxies know how many they are, and their own index.
  bool subset_count_known = true;

  /// Until a proxy has an update of discovery.
  Duration list_lag{1'000'000};
  Duration list_spread{200'000};
  /// Until discovery removes a silent backend; 0: never.
  Duration silent_notice{0};

  /// What the rules allow: see RuleChecker.
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

/// So large a share of `count` things, rounded: one at the least, all at the most.
std::size_t part_of(double part, std::size_t count);
/// The first tier's proxies that a fault affects, by their numbers: from its first on, round the
/// end. None where the fault is not of proxies.
std::vector<std::uint32_t> affected_proxies(const Scenario& scenario, const FaultSpec& fault);
/// The backends that the fault of that number affects, drawn among `nodes` from a random stream of
/// the fault's own, in ascending order.
std::vector<EndpointId> affected_backends(const Scenario& scenario, std::size_t fault,
                                          const std::vector<Endpoint>& nodes);

Duration longest_deadline(const Scenario& scenario);
/// Of a request, over all tiers.
double mean_work_s(const Scenario& scenario);

/// Mean requests a second that the tightest tier can do, all backends warm and without faults.
double capacity_per_s(const Scenario& scenario);
/// The scenario's mean rate of first attempts.
double rate_per_s(const Scenario& scenario);
/// The settings of a proxy before `tier`. `replicas`: how many proxies stand before that tier.
Settings settings_for(const Scenario& scenario, std::uint32_t tier, std::uint32_t zone,
                      std::uint32_t replicas, std::uint64_t seed);

}  // namespace beechhill::emulator
