// One proxy's part in taking machines out for work: it holds what is settled, a lease on it, and
// the rights that follow; a voter agrees on it with the others, and the one that leads drives the
// courses of machines. Free of I/O and clocks; its times are those of a clock that never steps, but
// for `Unix` ones. docs/design/maintenance.md weighs the ways and gives the invariants.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "maintenance/maintenance_state_machine.h"
#include "maintenance/raft_node.h"

namespace beechhill::maintenance {

struct CoordinatorSettings {
  std::string self, zone;
  std::vector<std::string> voters;     // names; 1, 3, 5 or 7
  Duration lease_duration{5'000'000};  // how long what was settled holds without being told anew
  // After its lease a proxy uses no machine at all once this has passed: then the others need not
  // wait for it, nor for staff to say that it is off. 0: it serves on by what it last heard, and
  // they wait.
  Duration isolation_timeout{0};
  // A process that has just started uses nothing until it has held a lease; true: it does, after
  // `hear_within`, and a machine that is out may get calls from it.
  bool serve_without_lease = false;
  Duration initial_lease_timeout{5'000'000};
  Duration drain_grace{2'000'000};            // for which what was begun may still leave
  Duration max_request_duration{10'000'000};  // the longest deadline of a class
  DisruptionBudget disruption_budget;
  RaftTiming raft_timing;
};

struct LocalView {                                 // what the proxy itself sees
  std::vector<Machine> machines;                   // its list
  std::map<std::string, double> zone_utilization;  // of each zone's servers, as they report it
  std::uint64_t served_requests = 0, unserved_requests = 0;  // requests, since its start
  std::set<std::string>
      busy_machines;  // machines with something of its own open, or barred for less than the grace
  bool is_idle = false;              // it takes no clients and has nothing open
  bool has_discovery_update = true;  // it has heard discovery
  bool is_shutting_down = false;
};

enum class Channel : std::uint8_t { kRaft, kCoordination };  // what a message belongs to

class MaintenanceCoordinator {
 public:
  // `storage`: a voter's; null where this is none, or where it has lost it. `generation`: of the
  // voter that the storage belongs to. `unix`: gives Unix time, for windows alone. What is referred
  // to must outlive it.
  MaintenanceCoordinator(Time now, CoordinatorSettings settings, RaftStorage* storage,
                         std::uint32_t generation, std::uint64_t life, std::uint64_t seed,
                         std::function<Seconds()> unix);

  void tick(Time now);  // at due(), or when the storage has become more durable
  Time next_tick() const { return due_; }
  void receive(Time now, const std::string& from, Channel line, std::string_view bytes);
  void update_local_view(LocalView view) { view_ = std::move(view); }
  // The process did not run: a lease is what it says, yet whoever leads may have been replaced.
  void on_resume(Time now);

  struct Outgoing {
    std::string to;
    Channel line = Channel::kCoordination;
    std::string bytes;
  };
  std::vector<Outgoing> take_outgoing();

  // ---- Rights

  // When the right to send new work to that machine ends: Time::max() where nothing ends it,
  // Time::min() where there is none.
  Time dispatch_permitted_until(const std::string& machine) const;
  // When the right to send anything at all ends.
  Time serving_permitted_until() const;
  const std::map<std::string, MaintenanceStateMachine::DispatchPermission>& dispatch_permissions()
      const {
    return rights_;
  }  // of machines in a course, as last heard
  bool is_self_out() const { return self_out_.has_value(); }  // this proxy is to be taken out
  bool has_held_lease() const { return leased_once_; }

  // ---- Staff

  using ResponseCallback = std::function<void(bool done, const std::string& text)>;
  void submit_command(Time now, Command command,
                      ResponseCallback answer);  // settled, or the reason
  void query(Time now, const std::string& request,
             ResponseCallback answer);  // JSON: all, or why that request does not go on

  // ---- A voter's

  bool is_leader() const { return agreement_ && agreement_->is_leader(); }
  const MaintenanceStateMachine& state_machine() const { return ledger_; }
  std::vector<Voter> voters() const {
    return agreement_ ? agreement_->voters() : std::vector<Voter>{};
  }
  bool is_voter() const { return agreement_ != nullptr; }
  bool halted() const { return agreement_ && agreement_->halted(); }
  bool rolled_back() const { return agreement_ && agreement_->rolled_back(); }
  // One that has lost its storage is told which generation it is to found a new one as; then it is
  // made anew with that.
  std::optional<std::uint32_t> readmitted() const { return readmitted_; }

 private:
  struct Seen {  // a proxy, as the leader hears it
    std::uint64_t life = 0;
    LogIndex shown = 0;
    Time lease_ends{0}, heard{0};
    std::string zone;
    bool warm = true, idle = false, ending = false;
    std::map<std::string, double> use;
    std::uint64_t served = 0, unserved = 0, served_before = 0, unserved_before = 0;
  };
  struct Waiting {  // a lease asked for, until it is sure that this one leads
    std::string proxy;
    std::uint64_t number = 0, round = 0;
  };
  struct Asked {  // of another, by this one
    ResponseCallback answer;
    Time until{0};
  };

  void ask_lease(Time now);
  void hear_ask(Time now, const std::string& from, std::string_view bytes);
  void hear_lease(std::string_view bytes);
  void grant_leases(Time now);
  void vouch(Time now);
  void conduct(Time now);
  void settle_facts(Time now);
  std::string trouble(Time now);
  bool confirmed_by_lapse(Time now, const std::string& proxy) const;
  Time lease_ends(const std::string& proxy) const;
  void propose(CommandType what, const std::string& proxy, const std::string& machine = {},
               FencingToken fence = 0);
  void say(const std::string& to, std::string bytes) {
    out_.push_back({to, Channel::kCoordination, std::move(bytes)});
  }
  std::map<std::string, LogIndex> shown() const;
  Duration beat() const { return settings_.lease_duration / 5; }
  Duration longest_lease() const {
    return settings_.lease_duration + settings_.lease_duration / 50;
  }  // by a clock that is 2 % slow

  const CoordinatorSettings settings_;
  const std::uint64_t life_;
  const std::function<Seconds()> unix_;
  MaintenanceStateMachine ledger_;
  std::unique_ptr<RaftNode> agreement_;
  LocalView view_;
  std::vector<Outgoing> out_;
  Time now_, started_, due_, ask_at_, facts_at_{0};

  // As a proxy.
  LogIndex held_ = 0;
  std::map<std::string, MaintenanceStateMachine::DispatchPermission> rights_;
  std::optional<FencingToken> self_out_;
  bool leased_once_ = false;
  Time lease_until_ = Time::min();
  std::string leader_;  // whom it asks
  std::size_t next_voter_ = 0;
  std::map<std::uint64_t, Time> asks_;  // when each was sent: a lease counts from then
  std::uint64_t next_number_ = 1;
  std::map<std::uint64_t, Asked> asked_;

  // As the one that leads.
  bool led_ = false, in_charge_ = false;  // in charge: a command of its own term is settled
  Time leads_since_{0};
  std::map<std::string, Seen> seen_;
  std::vector<Waiting> waiting_;
  std::uint64_t round_ = 0;  // of vouching, under way or over
  std::set<std::string> vouched_;
  bool round_open_ = false;
  Time round_until_{0};
  std::set<std::string> proposing_;  // what is on its way into the log
  double usual_ = 1;                 // part of requests served, over a minute
  Time judged_at_{0};
  std::string trouble_;
  std::optional<std::uint32_t> readmitted_;
};

}  // namespace beechhill::maintenance
