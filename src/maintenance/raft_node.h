// The voters' agreement on one order of commands: the core of libraft (C), to which this gives its
// time, its network and its disk, so that it runs in the emulator as it does in the program.
// Nothing is said to others before what it rests on is durable.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "beechhill/balancer.h"
#include "maintenance/maintenance_state_machine.h"
#include "maintenance/raft_storage.h"

namespace beechhill::maintenance {

struct Voter {
  std::string name;
  std::uint32_t generation = 1;  // counted up when one has lost its storage: it is a new voter then
  std::string address() const { return name + "#" + std::to_string(generation); }
};
std::optional<Voter> parse_voter(std::string_view address);

// What a voter's storage begins with, where the group is founded: the configuration of all, as a
// first entry.
std::vector<LogRecord> initial_records(const std::vector<std::string>& voters);

struct RaftTiming {
  Duration election_timeout{
      1'000'000};  // without word of a leader, at the least, before another stands
  Duration heartbeat_interval{200'000};
};

class RaftNode {
 public:
  // `storage` and `ledger` must outlive it; the ledger is the machine that settled commands change,
  // from empty. Throws std::runtime_error where the library refuses what is stored.
  RaftNode(Time now, const Voter& self, RaftStorage& storage, MaintenanceStateMachine& ledger,
           const RaftTiming& timing, std::uint64_t seed);
  ~RaftNode();
  RaftNode(const RaftNode&) = delete;
  RaftNode& operator=(const RaftNode&) = delete;

  // Lets time pass, and what the disk has done. At due(), or whenever the storage has become more
  // durable.
  void tick(Time now);
  Time next_tick() const { return due_; }
  // From another voter. Damaged or unknown: nothing happens.
  void receive(Time now, std::string_view bytes);

  struct Outgoing {
    std::string to;  // a voter's name
    std::string bytes;
  };
  std::vector<Outgoing> take_outgoing();  // what may be said by now

  bool is_leader() const;
  std::string leader() const;  // its name; empty: none is known
  std::uint64_t term() const;
  // Whether its storage has failed: it takes no part any more.
  bool halted() const { return halted_; }
  // Others have seen more of this voter's storage than there is: it has been rolled back, and must
  // be given up.
  bool rolled_back() const { return rolled_back_; }
  std::vector<Voter> voters() const;

  // Settled, or not: null, the ledger's reason code, or "not_leader", "lost" (it may be settled
  // yet).
  using Done = std::function<void(const char* reason)>;
  void propose(const Command& command, Done done = {});
  std::size_t pending_proposals() const;  // not settled yet

  // Where this one leads: a voter that has lost its storage takes part again, as its next
  // generation, step by step. Returns that generation, or 0 where another change is under way or
  // the name is no voter's.
  std::uint32_t readmit(const std::string& name);
  // The generation of that name which is on its way in; 0: none is.
  std::uint32_t joining_generation(const std::string& name) const;
  std::vector<std::string> pending_readmissions()
      const;  // names that readmit() is not through with

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
  Time due_{0};
  bool halted_ = false, rolled_back_ = false;
};

}  // namespace beechhill::maintenance
