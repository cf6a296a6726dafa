// What the emulator plays: read from TOML, checked and given defaults in one place. The form is
// described in docs/operators/experiments.md.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "config/toml_reader.h"
#include "emulator/units.h"
#include "routing/subset.h"

namespace beechhill::emulator {

using config::Range;

enum class Spread { kFixed, kExponential, kLognormal };  // of a request's work round its mean

struct ClassSpec {
  std::string name;
  ClassSettings settings;  // as the proxies are told
  double part = 1;         // of the arrivals, against the other classes'
  double work_s = 0.01;    // mean, on a core of speed 1, over all tiers
  Spread spread = Spread::kExponential;
  double variation = 1;  // of a lognormal
};

struct TenantSpec {
  std::string name;
  double share = 1;  // of what is allowed, against the other tenants'
  double part = 1;   // of the arrivals, against the other tenants'
};

struct TierSpec {
  std::string name;
  std::uint32_t nodes = 1, cores = 1, slots = 32, room = 64, zones = 1, cell_size = 4;
  Range speed{1, 1};
  double work = 1;    // part of a request's work that one call does here
  Range calls{1, 1};  // to the next tier for each job here, whole numbers drawn evenly
  double errors = 0;  // share of jobs that fail by themselves
  Duration report_every{1'000'000}, report_delay{200'000};
  double report_noise = 0;
  double cold_from = 0.2;
  Duration cold_span{10'000'000};
  double choke_crowd = 0;  // waiting jobs for each core that choke a node; 0: never
  Duration choke_after{2'000'000}, choke_idle{3'000'000}, choke_most{20'000'000};
  double choke_slow = 2;
  Duration handshake{1'000}, handshake_work{500};
  Duration idle_close{30'000'000};
  bool cancel_stops = false;  // a cancelled or expired job that waits is dropped
};

enum class Shape { kSteady, kDiurnal, kBursts };

struct LoadSpec {
  double rate_per_s = 0;     // of first tries; 0: from utilisation
  double utilisation = 0.5;  // of what the tightest tier can do
  Shape shape = Shape::kSteady;
  Duration period{60'000'000}, burst_length{2'000'000};
  double swing = 0.3;       // diurnal: the rate goes from 1 - swing to 1 + swing
  double burst_factor = 2;  // bursts: one of burst_length in each period
  double quota = 0;         // of capacity, shared out among the tenants as allowances; 0: none
  double over_share_worth = 0.2;
};

enum class Retry { kNever, kAtOnce, kAfter, kAdvised };

struct ClientSpec {
  Retry retry = Retry::kAfter;
  std::uint32_t retries = 2;
  Duration wait{100'000}, longest_advice{1'500'000};
  double growth = 2;                // of the wait, with each retry
  Range patience{1, 1};             // a try's part of the class's deadline
  std::uint32_t connections = 200;  // over which requests come; each stays at one proxy
  double first_zone =
      0;  // part of the connections at proxies of the first zone; 0: dealt to all proxies alike
  bool dealt_back =
      false;  // a proxy that is back is given its even part of the connections again, at once
};

enum class FaultKind {
  kSilent,
  kErrors,
  kSlow,
  kLateReports,
  kStaleList,
  kCrash,
  kDrain,
  kReplace,
  kProxyCrash,
  kPartition,
  kBurst,
  kTenantBurst,
  kProxyStop,         // stopped where it stands (SIGSTOP), then continued
  kProxyEnd,          // a planned end (SIGTERM), then started again
  kDiscoverySilent,   // what tells these proxies the list says nothing
  kLinkDelay,         // as kPartition, but all that goes between the two is late
  kLinkReset,         // as kPartition, but connections between the two end as it begins, once
  kDiscoveryRewound,  // what tells these proxies the list tells it as it was `delay` ago, with that
                      // version
  kStateLost,         // their state folders are empty from then on, as on a new disk
  kStateOld,          // as it begins their state is copied, as it ends the copy is put back
  kStateTorn,         // what they keep is cut to half
  kStateFlipped,      // one bit of what they keep is turned over
  kStateAged,         // what they keep is older by `delay` than it was
  kDiskFull,
  kDiskHangs,
  kDiskGone,   // what they write does not fit, does not come back, cannot be opened
  kTalkCut,    // these proxies and the others do not reach each other; the rig's alone, as all of
               // talk
  kTalkSpoil,  // of what proxies tell each other `factor` is lost and a third of that doubled, and
               // comes up to `delay` late
};
enum class Direction { kBoth, kThere, kBack };  // of a partition: requests, answers

struct FaultSpec {
  FaultKind kind = FaultKind::kSilent;
  Duration at{0}, length{0};
  std::uint32_t tier = 0;
  double part =
      0;  // of the nodes, or of the proxies where it strikes these; of both for kPartition
  std::uint32_t nodes = 0;            // or so many
  std::int64_t zone = -1, cell = -1;  // or all of these
  double factor = 0;                  // error share, slowness, or rate
  Duration delay{0};
  std::uint32_t tenant = 0;
  std::uint32_t proxies = 0, first = 0;  // or so many proxies, from that one on
  Direction way = Direction::kBoth;
};

struct ClusterSpec {  // proxies that talk with each other and settle which backend is taken out
                      // (the rig's alone)
  std::uint32_t voters = 0;  // 0: they do not
  Duration lease{2'000'000}, isolated_after{0};
  std::uint32_t most_out = 2;
  double reserve = 0.1;
  Duration work{500'000};   // of staff, on one backend
  bool work_on_all = true;  // two of staff ask for the two halves of all backends, at two proxies
};

struct Scenario {
  std::string name;
  Duration length{20'000'000}, warm_up{2'000'000};
  std::uint64_t seed = 1;
  Duration network{200};  // one way
  double network_spread = 0.1;
  Duration cross_zone{0};  // more, one way, between zones
  std::uint32_t proxies = 1, tries = 3;
  Duration proxy_notice{2'000'000};  // until the front knows that a proxy is dead
  std::optional<Duration>
      snapshot_every;  // proxies keep snapshots, so often; nothing: they keep none
  Duration connect_timeout{100'000};
  Duration list_lag{1'000'000}, list_spread{200'000}, silent_notice{0};
  bool may_probe = true, may_cancel = true, parallel_tries = true;
  Duration longest_advice{1'500'000};  // that the proxies are told clients honour; 0: no advice
  Duration drain_grace{2'000'000}, tip_after{3'000'000}, answer_grace{16'000};
  double fall_multiple = 3;
  LoadSpec load;
  ClientSpec clients;
  std::vector<ClassSpec> classes;
  std::vector<TenantSpec> tenants;
  std::vector<TierSpec> tiers;
  std::vector<FaultSpec> faults;
  ClusterSpec group;
  routing::SubsetSettings
      subset;  // of the first tier's proxies; `proxies` and `place` from the scenario if told
  bool subset_told = true;  // proxies know how many they are, and their place
};

// Throws config::TomlFault naming file, line and key.
Scenario read_scenario(const toml::table& root, const std::string& file);

// Loads a scenario file. `extends = "other.toml"`, relative to it, gives what it does not say
// itself: tables are merged, all else is replaced; four files deep at the most. Throws
// config::TomlFault.
toml::table load_scenario(const std::string& path);

// Puts `value` at a path such as "load.utilisation", "tier.0.nodes" or "fault.1.part". Throws
// std::invalid_argument where the path leads through something that is not there.
void override_key(toml::table& root, const std::string& path, const toml::node& value);

// The same from "load.utilisation=1.2": the value as TOML has it, or a text without its quotes.
// Throws config::TomlFault where it is not of that form.
void override_from(toml::table& root, const std::string& text);

// The names of the kinds of fault, in the order of FaultKind.
const std::vector<std::string>& fault_words();

// So large a part of `count` things: one at the least, all at the most.
std::size_t part_of(double part, std::size_t count);
bool strikes_proxies(FaultKind kind);
bool strikes_state(FaultKind kind);  // of proxies, too
bool strikes_talk(FaultKind kind);
bool strikes_links(
    FaultKind kind);  // between half of the proxies, the first, and the nodes that it strikes
// The first tier's proxies that a fault strikes, by their number: from its first on, round the end.
std::vector<std::uint32_t> proxies_struck(const Scenario& s, const FaultSpec& fault);
// The nodes that the scenario's fault of that number strikes, by their number; drawn among `nodes`.
std::vector<EndpointId> nodes_struck(const Scenario& s, std::size_t fault,
                                     const std::vector<Endpoint>& nodes);

Duration longest_deadline(const Scenario& s);
double mean_work_s(const Scenario& s);  // of a request, over all tiers, on a core of speed 1

// Mean requests a second that the tightest tier can do, all nodes warm and whole.
double capacity_per_s(const Scenario& s);
double rate_per_s(const Scenario& s);  // the scenario's mean rate of first tries
// What a proxy before `tier` is told.
Settings settings_for(const Scenario& s, std::uint32_t tier, std::uint32_t zone,
                      std::uint32_t replicas, std::uint64_t seed);

}  // namespace beechhill::emulator
