// Stand-in nodes and their discovery on loopback, as a scenario of one tier describes them: the
// same node model as the emulator's, with real sockets round it.
#pragma once

#include <json/json.h>

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

#include "emulator/node.h"
#include "net/socket.h"
#include "runtime/scheduler.h"
#include "testbed/observation_log.h"
#include "testbed/proxy_process.h"
#include "testbed/tcp_fault_proxy.h"

namespace beechhill::testbed {

// One clock for all of a run: the scenario's time 0 is when the load begins.
struct TestbedClock {
  runtime::TimePoint zero = runtime::Clock::now();
  Time now() const { return std::chrono::duration_cast<Time>(runtime::Clock::now() - zero); }
  runtime::TimePoint point(Time at) const { return zero + at; }
};

// An HTTP/1.1 node. A request says its work in core-microseconds as `work_us` in its query. What is
// lost in a crash is reset; a silent node takes what comes and never answers.
class FakeBackend {
 public:
  enum class Mode { kUp, kSilent, kDown };

  // `books`, if any, must outlive it.
  FakeBackend(runtime::Scheduler& scheduler, const TestbedClock& clock,
              const emulator::Scenario& scenario, EndpointId id, ObservationLog* books = nullptr);
  const sockaddr_in& dial() const { return port_.address(); }
  std::string address() const;
  void set_mode(Mode mode);  // coming up from anything else starts it again, cold
  void set_errors(double share) { errors_ = share; }
  void slow_down(double times) { model_.slow_down(times); }
  void delay_reports(Duration by) { late_ = by; }
  const std::optional<Time>& born() const { return model_.born(); }
  EndpointId id() const { return id_; }
  Endpoint entry() const;  // as the list has it, up
  std::uint32_t cell() const { return id_ / spec_.cell_size; }
  std::uint32_t zone() const { return cell() % spec_.zones; }
  std::uint64_t taken() const { return taken_; }  // whole requests read, of all lives
  std::uint64_t connections() const { return accepted_; }

 private:
  struct Job {
    runtime::Notifier done;
  };
  runtime::Task<> accept();
  runtime::Task<> serve(std::shared_ptr<net::Stream> stream, std::shared_ptr<runtime::TaskId> self);
  runtime::Task<> tick();
  void listen();
  void schedule(const std::vector<emulator::Start>& starts);
  std::string report(Time now);
  std::uint32_t book_arrival(CallId call, double work);

  runtime::Scheduler& scheduler_;
  const TestbedClock& clock_;
  const emulator::TierSpec spec_;
  emulator::Node model_;
  emulator::Stream random_;
  EndpointId id_;
  const ReservedPort port_;  // the same in each life
  std::unique_ptr<net::Listener> listener_;
  runtime::TaskId accepting_ = 0;
  std::set<runtime::TaskId> serving_;
  Mode mode_ = Mode::kUp;
  double errors_ = 0;
  Duration late_{0};
  std::map<emulator::JobId, Job*> jobs_;
  emulator::JobId next_job_ = 1;
  struct Later {
    bool operator()(const emulator::Start& a, const emulator::Start& b) const {
      return a.until > b.until;
    }
  };
  std::priority_queue<emulator::Start, std::vector<emulator::Start>, Later> phases_;
  runtime::Notifier rescheduled_;
  std::uint64_t taken_ = 0, accepted_ = 0;
  ObservationLog* books_;
  bool cold_ = false;  // by the books
};

// The agent of one proxy, or of all: tells the list of nodes as the protocol page's registry does,
// whole, or watched with changes as they come due.
class FakeDiscovery {
 public:
  // `books`, if any, must outlive it; `proxy`: whose agent it is, in them.
  FakeDiscovery(runtime::Scheduler& scheduler, const TestbedClock& clock, std::size_t proxy = 0,
                ObservationLog* books = nullptr);
  std::string address() const;
  // What is told from `at` on, in the order of the calls.
  void tell(Json::Value row, const Endpoint& entry, Time at);
  Json::Value whole_list() const;  // as told by now
  void silence(bool on) {
    silent_ += on ? 1 : -1;
  }  // connections stand, and nothing is said on them
  // From now on it tells the list as it was then, with that version, and ends the watches that
  // stand; nothing: as it is.
  void rewind(std::optional<Time> to);

 private:
  runtime::Task<> accept();
  runtime::Task<> serve(std::shared_ptr<net::Stream> stream);
  runtime::Task<> while_silent();
  void settle();
  void book_whole();

  runtime::Scheduler& scheduler_;
  const TestbedClock& clock_;
  net::Listener listener_;
  struct Change {
    Time due{0};
    Json::Value row;
    Endpoint entry;
  };
  std::vector<Change> changes_;  // all of the run; how many are told is its version
  std::size_t told_ = 0;
  std::map<std::string, Json::Value> hosts_;
  std::map<std::string, Endpoint> entries_;
  std::set<runtime::Notifier*> watchers_;
  std::size_t proxy_;
  ObservationLog* books_;
  int silent_ = 0;              // faults that keep it so
  Time horizon_ = Time::max();  // what is due later is not told
  std::uint64_t rewinds_ = 0;
};

// Nodes, their discovery (one agent for each proxy, each with its own lateness) and the faults that
// the scenario has for them.
class Fleet {
 public:
  // Throws std::invalid_argument for a scenario that sockets can't play: more than one tier, or
  // faults of other kinds than silent, errors, slow, late_reports, stale_list, crash, drain, burst,
  // tenant_burst and those of links and proxies.
  Fleet(runtime::Scheduler& scheduler, const TestbedClock& clock,
        const emulator::Scenario& scenario, ObservationLog* books = nullptr);
  // Plays the faults by the clock. `proxies` is told when a fault of the processes themselves
  // begins (true) and ends.
  using StrikeProxies = std::function<void(const emulator::FaultSpec& fault,
                                           const std::vector<std::uint32_t>& struck, bool begins)>;
  runtime::Task<> play_faults(StrikeProxies proxies);
  FakeDiscovery& agent(std::size_t proxy) { return *agents_[proxy]; }
  const std::vector<std::unique_ptr<FakeBackend>>& nodes() const { return nodes_; }
  void restart(
      EndpointId node);  // staff's work on it is over: it starts again, and discovery says so

 private:
  Json::Value row(const FakeBackend& node, EndpointStatus state, const std::string& dial) const;
  void tell(const FakeBackend& node, EndpointStatus state, Duration more = Duration{0});
  void tell_at(const FakeBackend& node, EndpointStatus state,
               const std::function<Time(std::size_t agent)>& due);
  std::vector<Endpoint> entries() const;
  std::size_t cut_off() const;
  void strike_links(const emulator::FaultSpec& fault, EndpointId node, bool on);
  void strike_proxies(const emulator::FaultSpec& fault, bool begins);
  void begin(std::size_t fault);
  void end(std::size_t fault);

  runtime::Scheduler& scheduler_;
  const TestbedClock& clock_;
  const emulator::Scenario& s_;
  ObservationLog* books_;
  std::vector<std::unique_ptr<FakeDiscovery>> agents_;  // by proxy
  std::vector<std::unique_ptr<FakeBackend>> nodes_;
  std::map<std::pair<std::size_t, EndpointId>, std::unique_ptr<TcpFaultProxy>>
      relays_;  // where a fault cuts between the two
  std::vector<std::vector<EndpointId>> struck_;
  emulator::Stream lags_;
  Duration stale_{0};
  StrikeProxies proxies_;
};

// The configuration (GW_CONFIG) of a real proxy in front of it.
Json::Value proxy_config(const emulator::Scenario& scenario, const std::string& name,
                         const std::string& listen, Fleet& fleet, std::uint64_t seed,
                         std::size_t proxy = 0);

}  // namespace beechhill::testbed
