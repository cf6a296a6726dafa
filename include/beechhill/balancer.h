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
using ServerId = std::uint32_t;
using ClassId = std::uint32_t;
using TenantId = std::uint32_t;
using TimerToken = std::uint64_t;

inline constexpr TenantId kNoTenant = std::numeric_limits<TenantId>::max();

enum class Effect { kRepeatable, kKeyed, kOnce };
enum class Group { kAll, kZone, kCell };  // the servers that discard a keyed request's repeats

struct ClassSettings {
  Effect effect = Effect::kOnce;
  Group group = Group::kAll;
  Duration memory_span{0};
  Duration aim{0};
  Duration deadline{0};
  double aim_stretch = 0;  // the aim grows by this multiple of the request's own work
  double late_worth = 0;
  double worth = 1;
  bool streaming = false;
};

struct TenantSettings {
  double share = 0;
  double allowance_per_s = 0;  // across all balancers together; 0: no allowance is stated
};

struct Settings {
  std::uint64_t seed = 0;
  std::vector<ClassSettings> classes;
  std::vector<TenantSettings> tenants;
  double over_share_worth = 1;
  std::uint32_t zone = 0;
  std::uint32_t tier = 0;
  std::uint32_t tier_count = 1;
  std::uint32_t replicas = 1;
  Duration step{1000};
  bool must_ask_discovery = false;
  Duration ask_within{0};
  Duration drain_grace{0};
  Duration cold_span{0};
  double cold_from = 1;
  double fall_multiple = 1;
  Duration tip_after{0};
  bool reports_need_probes = false;
  bool may_probe = false;
  bool may_cancel = false;
  bool parallel_tries = false;
  std::uint32_t most_tries = 1;
  Duration max_retry_after{0};
  Duration connect_timeout{
      100'000};  // for whoever carries out the sends: a connection not up by then failed
  Duration idle_close{30'000'000};  // servers close a connection that has stood idle this long
  double probe_price = 0;
  double cross_zone_price = 0;
};

// Throws std::invalid_argument naming the setting that makes no sense.
void validate(const Settings& settings);

struct LoadReport {  // what a server said of itself; any part may be absent
  std::optional<double> utilisation;
  std::optional<double> rate_per_s;
};

// ---- Events

enum class ServerState { kUp, kDraining, kRemoved };

struct ServerEntry {
  ServerId server = 0;
  ServerState state = ServerState::kUp;
  std::uint32_t zone = 0;
  std::uint32_t cell = 0;
  std::optional<Time> born;  // absent: long ago
  std::uint32_t kind = 0;    // servers of one kind are built alike
};

enum class ListKind { kChanges, kFull, kLastHeld, kFailed };

struct Discovery {
  ListKind kind = ListKind::kFull;
  std::vector<ServerEntry> entries;
};

struct Request {
  RequestId id = 0;
  ClassId class_id = 0;
  TenantId tenant = kNoTenant;
  Time deadline{0};  // when the client abandons this try
  std::optional<Duration> work_hint;
  bool large = false;  // its body is still coming: how long it takes says nothing of its server
};

struct FirstByte {
  RequestId id = 0;
  std::uint32_t attempt = 0;
};

enum class Result { kOk, kError, kFull, kTimeout, kConnectFailed, kReset, kCancelled, kMoot };

struct Outcome {
  RequestId id = 0;
  std::uint32_t attempt = 0;
  Result result = Result::kOk;
  bool final = false;
  LoadReport report;
  bool spent = false;  // its body has gone out in part and is not kept: it cannot be sent again
};

struct ClientGone {
  RequestId id = 0;
};

struct ProbeResult {
  ServerId server = 0;
  Result result = Result::kOk;
  LoadReport report;
};

struct Timer {
  TimerToken token = 0;
};

// What reports and answers showed of one start of a server, fading. Only the ratios and how much
// stands behind them mean something.
struct Evidence {
  double rates = 0, utils = 0;  // reported
  double paces = 0;             // times of answers over what their class usually takes
  double answers = 0;

  void add_pace(double pace, double fading) {
    paces += pace - fading * paces;
    answers += 1 - fading * answers;
  }
  Evidence& operator+=(const Evidence& e) {
    rates += e.rates;
    utils += e.utils;
    paces += e.paces;
    answers += e.answers;
    return *this;
  }
};

// What an earlier instance knew of a server in the start that the list names, as far as it is still
// to be believed. Not checked: whoever reads it from a disk bounds it.
struct Recalled {
  ServerId server = 0;
  Evidence evidence;
};

// An operator leaves a server out, or lets it serve again, whatever the list says of it: either
// bars new work. It may come before the list that first names the server. What was let serve again
// counts as just started.
struct Barred {
  ServerId server = 0;
  bool barred = true;
};

using Event = std::variant<Discovery, Request, FirstByte, Outcome, ClientGone, ProbeResult, Timer,
                           Barred, Recalled>;

// ---- Actions

struct Send {  // an attempt, which lasts until the client quits
  RequestId id = 0;
  ServerId server = 0;
};

struct Cancel {
  RequestId id = 0;
  std::uint32_t attempt = 0;
};

struct Refuse {
  RequestId id = 0;
  Duration retry_after{0};
};

struct Fail {
  RequestId id = 0;
};

struct Probe {
  ServerId server = 0;
};

struct SetTimer {
  TimerToken token = 0;
  Time at{0};
};

struct Watch {};  // subscribe to discovery

using Action = std::variant<Send, Cancel, Refuse, Fail, Probe, SetTimer, Watch>;

// One load balancer instance. Equal settings and events give equal actions. Not thread-safe.
class Balancer {
 public:
  // Throws what validate throws.
  Balancer(Time now, Settings settings, std::vector<Action>& actions);
  ~Balancer();

  // Takes one event that happened at `now` and appends the actions to carry out, in order.
  void handle(Time now, const Event& event, std::vector<Action>& actions);

  // How many servers are listed, and how many of them get nothing new at `now`, whatever the load.
  struct Census {
    std::size_t listed = 0, avoided = 0;
  };
  Census census(Time now) const;
  // What is known of one start of a server: for Recalled, to the next instance. Empty for one that
  // was never named.
  Evidence known(ServerId server) const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace beechhill
