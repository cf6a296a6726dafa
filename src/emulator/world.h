// The emulated deployment in simulated time: clients, a front, proxies with a policy each, tiers of
// nodes, a discovery feed, and what goes wrong. One thread, no clock, no global state: equal
// scenarios, seeds and policies give equal runs.
#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

#include "emulator/clients.h"
#include "emulator/event_queue.h"
#include "emulator/metrics.h"
#include "emulator/node.h"
#include "emulator/policy.h"
#include "emulator/random.h"
#include "emulator/rules.h"
#include "emulator/scenario.h"
#include "recovery/recovery_tracker.h"
#include "snapshot/snapshot.h"

namespace beechhill::emulator {

// Makes the policy of one proxy at its start, or again when it restarts.
using MakePolicy = std::function<std::unique_ptr<Policy>(
    Time now, const Settings& settings, const TrueState& truth, std::vector<Action>& actions)>;
using Progress = std::function<void(double part)>;  // from 0 to 1, about once a simulated second

class World : private TrueState {
 public:
  World(Scenario scenario, MakePolicy make_policy);
  // Plays it to the end. Once only.
  void run(const Progress& progress = {});

  const Scenario& scenario() const { return s_; }
  const Metrics& metrics() const { return metrics_; }
  const RuleChecker& rules() const { return rules_; }
  // Calls and jobs that are still on the books; nothing may be left after a run.
  std::size_t left_over() const { return calls_.live(); }

 private:
  struct Op {  // a client's request, with all its tries
    Time first{0}, until{0};
    ClassId c = 0;
    TenantId tenant = kNoTenant;
    double work = 0, worth = 0;
    std::uint32_t tries = 0, connection = 0;
    bool refused = false;  // its last try was, else it failed
    bool waits = false;    // its last try is at a stopped proxy, unread
  };
  struct Attempt {
    EndpointId node = 0;
    bool open = true;
    std::uint64_t job = 0;
  };
  struct Call {  // a request at a proxy
    std::uint32_t proxy = 0;
    std::uint64_t op = 0, parent = 0;  // whose it is: a client's, or a job's of the tier above
    ClassId c = 0;
    TenantId tenant = kNoTenant;
    Time deadline{0};
    double work = 0;
    bool over = false;
    bool left = false;  // its client went while its proxy was stopped
    std::vector<Attempt> attempts;
    std::uint32_t out = 0;
    std::size_t place = 0;  // in its proxy's list
  };
  struct Job {  // an attempt, at its node or on the way
    std::uint32_t tier = 0, proxy = 0;
    EndpointId node = 0;
    std::uint64_t call = 0, sub_call = 0;
    std::uint32_t attempt = 0;
    ClassId c = 0;
    TenantId tenant = kNoTenant;
    Time deadline{0};
    double work = 0;               // of the whole operation
    double first = 0, second = 0;  // core-seconds before and after its calls
    double handshake = 0;          // of which the first phase pays this for the connection
    double done = 0;               // of it and of what answered it below
    std::uint32_t calls_left = 0;
    bool there = false, cancelled = false, last_phase = false;
    std::size_t place = 0;  // in its node's list
    Result result = Result::kOk;
    LoadReport report;
  };
  enum class Mode { kUp, kSilent, kDown };
  struct NodeState {
    NodeState(const TierSpec& spec, std::uint64_t seed, std::uint64_t index,
              std::optional<Time> born, Time now)
        : model(spec, seed, index, born, now), random(seed, Actor::kNode, index + (1ULL << 32)) {}
    Node model;
    Stream random;
    Endpoint entry;
    Mode mode = Mode::kUp;
    double errors = 0;
    Duration late{0};
    double inbound = 0;                  // core-seconds on the way
    std::uint64_t opened = 0, sent = 0;  // connections and attempts in this second
    std::uint32_t below = 0;             // the proxy it calls the next tier through
    bool cold = false;
    std::vector<std::uint64_t> jobs;
  };
  struct Connections {  // of one proxy to one node
    std::uint32_t idle = 0;
    Time used{0};
  };
  struct Held {  // what a proxy's list says of a node
    Endpoint entry;
    bool known = false;
    std::optional<Time> told;  // since when not up
  };
  struct Proxy {
    std::uint32_t tier = 0, zone = 0, index = 0;
    bool alive = false;
    bool stopped = false;       // it runs not, or has not heard since; what is for it waits
    bool leaving = false;       // it takes no new requests
    std::uint32_t unheard = 0;  // faults that keep discovery from it
    std::optional<recovery::RecoveryTracker> course;  // of a stopped one
    std::deque<ScheduledEvent> held;                  // for a stopped one, in order
    std::vector<Call> unread;                         // requests to a stopped one
    std::uint64_t life = 0;
    Time died{0}, last_told{0};
    std::unique_ptr<Policy> policy;
    std::optional<routing::SubsetView> subset;
    Stream random{0, Actor::kProxy, 0};
    std::vector<Held> list;
    std::unordered_map<EndpointId, Connections> connections;  // looked up only
    std::vector<std::uint64_t> calls;
    struct Kept {  // on its disk
      EndpointStats evidence;
      std::optional<Time> born;
    };
    struct Disk {
      std::vector<Kept> kept;  // by node
      Time at{0};
    };
    Disk disk, older;            // only where the scenario keeps snapshots
    std::uint32_t disk_bad = 0;  // faults that keep it from being written
  };
  struct Cut {  // a fault of links in force
    std::size_t fault = 0;
    std::vector<bool> proxies, nodes;
  };

  // TrueState
  double wait_s(Time now, std::uint32_t tier, EndpointId node) const override;
  bool spares(Time now, std::uint32_t tier, EndpointId node) const override;

  // Building
  EndpointId add_node(std::uint32_t tier, std::optional<Time> born);
  std::uint32_t add_proxy(std::uint32_t tier, std::uint32_t zone);
  void start_proxy(std::uint32_t proxy);

  // Clients
  void arrive();
  void next_arrival();
  void try_now(std::uint64_t op);
  void end_try(std::uint64_t op, const Call* call, bool ok, bool refused, bool unreachable,
               Duration advice, double useful);
  void end_op(std::uint64_t op, bool served, double useful);

  // Proxies
  void open_call(Call call);
  void drive(std::uint32_t proxy, const Event& event);
  void perform(std::uint32_t proxy, const std::vector<Action>& actions);
  void act(std::uint32_t proxy, const StartAttempt& a);
  void act(std::uint32_t proxy, const Cancel& a);
  void act(std::uint32_t proxy, const Reject& a) { answer(proxy, a.id, true, a.retry_after); }
  void act(std::uint32_t proxy, const Fail& a) { answer(proxy, a.id, false, Duration{0}); }
  void act(std::uint32_t proxy, const HealthCheck& a);
  void act(std::uint32_t proxy, const SetTimer& a);
  void act(std::uint32_t, const WatchEndpoints&) {}  // lists are pushed
  void answer(std::uint32_t proxy, RequestId id, bool refused, Duration advice);
  void outcome(std::uint64_t call, std::uint32_t attempt, Result result, const LoadReport& report,
               double useful);
  void pass_on(const Call& c, bool ok, bool refused, Duration advice, double useful);
  void tidy(std::uint64_t call);
  void drop_call(std::uint64_t call);
  void deadline(std::uint64_t call);

  // Nodes
  Duration hop(Proxy& proxy, std::uint32_t zone);
  bool cut_between(const Cut& cut, const Proxy& proxy, std::uint32_t tier, EndpointId node) const;
  // Whether nothing passes that way; both: whether nothing passes there or back.
  bool blocked(const Proxy& proxy, std::uint32_t tier, EndpointId node, Direction way) const;
  Duration link_delay(const Proxy& proxy, std::uint32_t tier, EndpointId node) const;
  void reset_links(const Cut& cut);
  void job_arrives(std::uint64_t job);
  void phase_done(std::uint64_t job);
  void sub_call(std::uint64_t job);
  void sub_answered(std::uint64_t job, bool ok, double useful);
  void end_job(std::uint64_t job, Result result, bool holds_core);
  void send_back(std::uint64_t job, Result result);
  void schedule(const std::vector<Start>& starts);
  void lose_jobs(std::uint32_t tier, EndpointId node, bool reset);
  void unlist_job(std::uint64_t job);

  // Discovery and faults
  void tell(std::uint32_t tier, const Endpoint& entry, Duration more = Duration{0});
  void told(std::uint32_t proxy, std::uint64_t message);
  void told_whole(std::uint32_t proxy, const std::vector<Endpoint>& entries);
  std::vector<Endpoint> entries_at(std::uint32_t tier, Time at) const;
  void hold(Proxy& p, const Endpoint& e);
  void drive_list(std::uint32_t proxy, const EndpointUpdate& list);
  void begin_fault(std::size_t fault);
  void end_fault(std::size_t fault);
  void replace(std::size_t fault, std::uint64_t done);
  void node_down(std::uint32_t tier, EndpointId node, bool silent);
  void node_back(std::uint32_t tier, EndpointId node);
  void kill_proxy(std::uint32_t proxy);
  void stop_proxy(std::uint32_t proxy);
  void continue_proxy(std::uint32_t proxy);
  void wake(std::uint32_t proxy, bool whole_list);
  bool held_back(const ScheduledEvent& h);
  void connections_back(std::uint32_t proxy);
  void keep(Proxy& proxy);
  void restore(std::uint32_t proxy);
  void strike_state(const FaultSpec& fault, Proxy& proxy, bool begins);
  void close_second(std::uint64_t window);
  void happen(const ScheduledEvent& h);
  void sum_up();

  const Scenario s_;
  const MakePolicy make_policy_;
  Metrics metrics_;
  RuleChecker rules_;
  EventQueue queue_;
  Time now_{0};
  Time end_{0};
  Arrivals arrivals_;
  std::optional<Arrival> next_;
  Stream client_random_, list_random_;
  double usual_work_ = 0;
  std::vector<std::uint32_t> connections_;    // of clients, to the proxy of each
  std::vector<std::deque<NodeState>> nodes_;  // by tier
  std::deque<Proxy> proxies_;
  std::vector<std::vector<std::uint32_t>> by_tier_;  // proxies
  std::vector<EndpointUpdate> messages_;
  struct Change {
    Time at{0};
    std::uint32_t tier = 0;
    Endpoint entry;
  };
  std::vector<Change> changes_;  // of the nodes, as discovery saw them
  Slab<Op> ops_;
  Slab<Call> calls_;
  Slab<Job> jobs_;
  struct Own {
    std::uint64_t call = 0;
    std::uint32_t attempt = 0;
  };
  std::vector<Own> own_;  // attempts that are moot at once
  bool driving_ = false;
  std::vector<Cut> cuts_;
  std::vector<std::vector<EndpointId>> struck_;  // by fault
  Duration stale_{0};
  double busy_before_ = 0;  // core-seconds, up to the last closed second
};

}  // namespace beechhill::emulator
