// Sole owner of the decision module: its clock, timers, operations and the numbers that names stand
// for.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "config/interner.h"
#include "proxy/messages.h"
#include "recovery/recovery_tracker.h"
#include "routing/subset.h"
#include "snapshot/snapshot.h"

namespace beechhill::proxy {

class DecisionActor {
 public:
  using BackendFactory =
      std::function<std::unique_ptr<Backend>(DecisionMailbox&, EndpointId, const sockaddr_in&)>;

  // `watch` is where the module's orders to watch discovery go. With `subset.nodes` 0 the module
  // hears of every node. `barred`: ids that operators had left out when this process started.
  // `learned`: what an earlier process of this name had learned, believed only of backends that a
  // list names, in the same start.
  DecisionActor(runtime::Scheduler& scheduler, const config::Config& config,
                BackendFactory make_peer, EndpointWatchMailbox& watch,
                const routing::SubsetSettings& subset = {}, std::set<std::string> barred = {},
                std::vector<snapshot::EndpointRecord> learned = {});

  DecisionMailbox& inbox() { return inbox_; }
  bool ready() const { return course_.ready(); }
  bool has_discovery_update() const { return heard_; }  // from discovery, since the start
  // Whether what is held may decide where something new goes: not within a gap, nor until discovery
  // was heard after it.
  bool endpoints_are_current() const {
    return course_.endpoints_are_current(now()) && serving_permitted();
  }
  bool serving_permitted() const { return now() < serve_until_; }
  recovery::Stage stage() const { return course_.stage(); }
  // Nothing is sent until WorkRights say so.
  void require_permissions() { serve_until_ = Time::min(); }

  struct ListedBackend {  // a backend, as staff's plans go by
    std::string id, zone, instance_type;
    std::uint32_t cell = 0;
    bool up = false, warm = false;  // in service, and not left out by hand
    std::chrono::milliseconds started_at{0};
    double relative_capacity = 1;  // of what it can do, against the others, as reports show it
  };
  std::vector<ListedBackend> listed_backends() const;
  std::map<std::string, double> utilization_by_zone() const;  // by zone, as reports say
  // Of those that are left out: with something of this process open there, or in which what was
  // begun may still leave.
  std::set<std::string> busy_excluded_backends() const;
  std::vector<snapshot::EndpointRecord> endpoint_records() const;  // so far, with Unix times
  const std::set<std::string>& excluded_backends() const { return barred_; }
  runtime::Task<> run();

 private:
  struct Sent {
    EndpointId server = 0;
    Time at{0};
  };
  struct Entry {
    std::shared_ptr<ClientRequest> operation;
    std::vector<Sent> sent;  // by attempt
    int out = 0;             // attempts without an outcome
    bool over = false;
    bool written = false;                     // an attempt has reached a backend whole, or may have
    std::optional<std::size_t> may_have_run;  // the first attempt of which that is so
  };

  struct BackendEntry {
    std::unique_ptr<Backend> peer;                    // none: that number is free
    EndpointStatus state = EndpointStatus::kRemoved;  // as last told
    bool barred = false;                              // left out by hand, or taken out for work
    Time barred_at{0};
    Time until = Time::max();  // of the right to use it
    std::uint32_t zone = 0, kind = 0, cell = 0;
    sockaddr_in address{};
    std::chrono::milliseconds born{0};
    std::size_t used = 0;  // operations' attempts and probes that refer to it
  };

  bool returning();
  void catch_up();
  void say_stage();
  void drive(const Event& event);
  void perform();
  void end(Entry& entry, ClientResponse answer);
  void tidy(RequestId id);

  void on(RequestReceived& arrived);
  void on(RequestAbandoned& left);
  void on(AttemptCompleted& done);
  void on(ResponseStreamEnded& done);
  void on(HealthCheckCompleted& done);
  void on(config::EndpointList& pool);
  void on(ResyncComplete&);
  void on(ExcludeBackend& order);
  void on(GetEndpointCounts& census);
  void on(DispatchPermissions& rights);
  bool out(const std::string& host) const;
  void refresh(const std::string& host);
  void note_use(EndpointId server, const LoadReport& report);
  bool ever_listed(const std::string& host) const;
  void take_list(const config::EndpointList& pool, UpdateKind kind);
  void bar(EndpointId server, bool barred);
  void tell(EndpointId server, BackendStatus status);
  EndpointUpdate part_of(EndpointUpdate list, const std::vector<std::uint64_t>& hashes);
  void let_go(EndpointId server);
  void recall(EndpointId server);

  void act(const StartAttempt& a);
  void act(const Cancel& a);
  void act(const Reject& a);
  void act(const Fail& a);
  void act(const HealthCheck& a);
  void act(const SetTimer& a);
  void act(const WatchEndpoints&);

  runtime::Scheduler& scheduler_;
  BackendFactory make_peer_;
  EndpointWatchMailbox& watch_;
  std::optional<routing::SubsetView> subset_;
  DecisionMailbox inbox_;
  std::set<std::string> barred_;  // left out by hand, by id: a ban outlasts what the list says
  DispatchPermissions rights_;  // of machines in work, by id: they outlast what the list says, too
  Time serve_until_ = Time::max();
  std::map<std::uint32_t, double> use_;  // by zone, smoothed
  Duration drain_grace_, cold_span_, advice_;
  std::uint32_t most_tries_;
  std::vector<std::optional<Duration>>
      memory_spans_;  // by class, of keyed ones: how long a repeat is known as one
  Time unix_offset_;  // Unix time less the module's clock
  std::unordered_map<std::string, snapshot::EndpointRecord>
      claims_;                             // of an earlier process, by host, until a list names it
  std::uint64_t recalled_ = 0, void_ = 0;  // of them: believed, and not
  bool heard_ = false;
  recovery::RecoveryTracker course_;
  recovery::Stage said_ = recovery::Stage::kNoEndpoints;  // in the log
  // What came on the way back, in its order: as each message stands for a descriptor's doing, no
  // more than that.
  std::deque<DecisionMessage> late_;
  config::Interner servers_, zones_, kinds_;
  std::vector<BackendEntry> backends_;  // by ServerId
  std::unordered_set<std::string>
      gone_;                            // ids that a list once named, kMostGone of them at the most
  std::deque<std::string> gone_order_;  // the longest gone first
  std::unordered_map<RequestId, Entry> entries_;
  std::multimap<Time, TimerToken> timers_;
  std::vector<Action> actions_;
  std::vector<DecisionMessage> own_;  // outcomes of sends that never left, for after this event
  RequestId next_id_ = 1;
  Balancer balancer_;
};

}  // namespace beechhill::proxy
