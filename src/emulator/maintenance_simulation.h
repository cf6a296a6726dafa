// Proxies that settle which machine is taken out, in simulated time: maintenance::Works itself over
// a network, disks and processes that fail as a plan drawn from a seed says, with calls to backends
// that the rights are held against. Equal seeds give equal runs.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "emulator/random.h"
#include "maintenance/maintenance_coordinator.h"

namespace beechhill::emulator {

// Faults of the proxies' own, put in to see that the verdict finds them.
enum class SeededBug {
  kNone,
  kLongLease,     // a lease is taken for four times as long as it is
  kConfirmsBusy,  // a machine is confirmed to be empty with calls open there
  kNoLease,       // announced machines are used whatever became of the lease
};

struct MaintenanceSimulationSpec {
  std::uint32_t voters = 3, followers = 3;
  std::uint32_t backends = 12, zones = 2;
  std::uint64_t seed = 1;
  double loss = 0, doubled = 0;
  Duration delay{2'000};  // one way; as much again at random, so that datagrams overtake each other
  Duration disk{0};       // until what was written is durable
  Duration call{300'000};    // that a call lasts
  double calls_per_s = 20;   // of each proxy
  Duration work{1'500'000};  // of staff, on one machine
  Duration warm{1'000'000};  // until a machine that is back is warm
  Duration isolated_after{0};
  maintenance::DisruptionBudget bounds;
  double use = 0.5;
  SeededBug bug = SeededBug::kNone;
};

class MaintenanceSimulation {
 public:
  explicit MaintenanceSimulation(const MaintenanceSimulationSpec& spec);
  ~MaintenanceSimulation();

  void run(Duration length);
  Time now() const { return now_; }
  std::size_t size() const { return proxies_.size(); }

  // Staff's word, at the proxy of that place.
  void order(std::size_t at, maintenance::Command command);
  std::optional<std::size_t> leader() const;  // that leads, as far as it knows, and runs
  bool whole() const;  // all voters run and vote: one of them may lose its storage
  const maintenance::MaintenanceCoordinator& coordinator(std::size_t i) const {
    return *proxies_[i].works;
  }
  bool running(std::size_t i) const { return proxies_[i].works && !proxies_[i].stopped; }

  void kill(std::size_t i);
  void start(std::size_t i);
  void stop(std::size_t i);
  void go_on(std::size_t i);
  void wipe(std::size_t i);       // its disk; it must not run
  void keep_copy(std::size_t i);  // of its disk, for put_back()
  void put_back(std::size_t i);   // it must not run
  void fail_disk(std::size_t i);
  void cut(std::function<bool(std::size_t from, std::size_t to)> passes) {
    passes_ = std::move(passes);
  }
  void shift_clock(std::size_t i, maintenance::Seconds by) { proxies_[i].unix_shift += by; }
  void backend_down(std::size_t i, bool down);  // by itself
  // Staff let what is out stay out.
  void pause_operators() { staff_works_ = false; }
  void resume_operators() { staff_works_ = true; }

  // What never may be, with the first few told.
  struct Verdict {
    std::uint64_t sent_to_out = 0;  // calls that began, or were open, while a machine was out
    std::uint64_t too_many = 0;     // settled states beyond a bound
    std::uint64_t split_minds =
        0;  // two that hold different states of one index, or one fence twice
    std::string text;
    std::uint64_t all() const { return sent_to_out + too_many + split_minds; }
  };
  const Verdict& verdict() const { return verdict_; }
  std::size_t taken_out() const { return taken_out_; }  // courses that came to their end
  std::uint64_t calls() const { return calls_made_; }
  std::uint64_t calls_kept_back() const { return kept_back_; }  // for want of any right
  // Requests that neither have ended nor say why they wait.
  std::vector<std::string> silent_requests() const;
  std::vector<std::string> open_requests() const;

 private:
  struct Proxy {
    std::unique_ptr<maintenance::MemoryRaftStorage> storage, copy;
    std::unique_ptr<maintenance::MaintenanceCoordinator>
        works;  // after its storage, which it borrows
    std::uint32_t generation = 1, copy_generation = 1;
    bool votes = false, stopped = false, ending = false;
    Time stopped_at{0};
    std::uint64_t life = 0;
    double next_call = 0;
    maintenance::Seconds unix_shift = 0;
    std::map<std::string, Time> barred_since;
    std::map<std::string, std::deque<Time>> open;  // ends of calls, by machine
    std::deque<std::pair<std::uint64_t, Time>> syncs;
    std::vector<std::tuple<std::size_t, maintenance::Channel, std::string>> waiting;
  };
  struct Backend {
    maintenance::Machine machine;
    Time back{0}, work_ends{0};
    bool in_work = false, down = false;
    std::optional<Time> out_since;  // as the one that leads said
    std::string request;
    Time say_done_at = Time::max();
    maintenance::FencingToken fence = 0;
  };
  struct Flying {
    std::size_t to = 0, from = 0;
    maintenance::Channel line = maintenance::Channel::kCoordination;
    std::string bytes;
  };

  static std::string proxy_name(std::size_t i) { return "proxy-" + std::to_string(i); }
  static std::string backend_name(std::size_t i) {
    return "backend-" + std::to_string(100'000 + i).substr(1);
  }
  maintenance::CoordinatorSettings settings(std::size_t i) const;
  void make(std::size_t i);
  void step();
  void drive(std::size_t i);
  void call(std::size_t i);
  Time right_ends(const Proxy& proxy, const std::string& machine) const;
  maintenance::LocalView view(std::size_t i);
  void send(std::size_t from, const maintenance::MaintenanceCoordinator::Outgoing& o);
  void staff();
  void check();
  void tell(std::uint64_t& count, const std::string& what);

  const MaintenanceSimulationSpec spec_;
  Stream random_;
  Time now_{0};
  std::vector<Proxy> proxies_;
  std::vector<Backend> backends_;
  std::multimap<Time, Flying> flying_;
  std::function<bool(std::size_t, std::size_t)> passes_;
  bool staff_works_ = true;
  std::map<maintenance::LogIndex, std::size_t> states_;      // hashes of settled states, by index
  std::map<maintenance::FencingToken, std::string> fences_;  // whose each is
  std::map<std::size_t, maintenance::LogIndex> checked_;
  std::size_t taken_out_ = 0;
  std::uint64_t calls_made_ = 0, kept_back_ = 0;
  Verdict verdict_;
};

// A plan of faults drawn from a seed, played against a round of work over all backends; the verdict
// holds what broke.
struct MaintenanceRun {
  MaintenanceSimulation::Verdict verdict;
  std::size_t taken_out = 0, backends = 0;
  std::vector<std::string> silent, open;  // requests at its end
  std::string plan;                       // what was done, a line each
};
MaintenanceRun run_drawn_maintenance(std::uint64_t seed, std::uint32_t most_followers);

}  // namespace beechhill::emulator
