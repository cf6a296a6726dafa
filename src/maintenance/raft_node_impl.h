// Internals of RaftNode, included only by raft_node.cpp and raft_node_io.cpp.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "maintenance/libraft_conversions.h"
#include "maintenance/raft_node.h"

namespace beechhill::maintenance {

/// Provides libraft with I/O and a state machine. Completion callbacks are never called within a
/// call of libraft: they are queued and run by run_callbacks().
class RaftNode::Impl {
 public:
  Impl(Time now, const Voter& self, RaftStorage& storage, MaintenanceStateMachine& state_machine,
       const RaftTiming& timing, std::uint64_t seed)
      : self_(self),
        storage_(storage),
        state_machine_(state_machine),
        random_(seed),
        now_(now),
        next_raft_tick_(now),
        next_tick_(now) {
    set_io_callbacks();
    set_fsm_callbacks();
    start(timing);
  }
  ~Impl() { stop(); }
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  void tick(Time now);
  void receive(Time now, std::string_view bytes);
  std::vector<Outgoing> take_outgoing();
  void propose(const Command& command, ProposalCallback done);
  std::uint32_t readmit(const std::string& name);

  bool is_leader() const { return !halted_ && raft_state(&raft_) == RAFT_LEADER; }
  std::string leader() const;
  std::uint64_t term() const { return raft_.current_term; }
  bool halted() const { return halted_; }
  bool rolled_back() const { return rolled_back_; }
  Time next_tick() const { return next_tick_; }
  std::size_t pending_proposals() const { return proposals_.size(); }

  struct ConfiguredVoter {
    Voter voter;
    /// Role as numbered by libraft.
    int role = 0;
  };
  /// Servers whose address has the form of a voter's, in the order of the configuration.
  std::vector<ConfiguredVoter> configuration() const;

 private:
  struct PendingMessage {
    /// Number of records that must be durable before the message may be sent.
    std::uint64_t required_records = 0;
    Outgoing message;
  };
  struct PendingWrite {
    std::uint64_t required_records = 0;
    std::function<void(int status)> done;
  };
  struct Proposal {
    struct raft_apply request{};
    Impl* impl = nullptr;
    ProposalCallback done;
  };
  /// The highest generation and number of records seen of another voter's storage.
  struct PeerStorage {
    std::uint32_t generation = 0;
    std::uint64_t appended_records = 0;
  };

  static Impl& impl_of(raft_io* io) { return *static_cast<Impl*>(io->impl); }
  static Impl& impl_of(raft_fsm* fsm) { return *static_cast<Impl*>(fsm->data); }

  void set_io_callbacks();
  void set_fsm_callbacks();
  void start(const RaftTiming& timing);
  void stop();
  void check(int error);

  // Callbacks of raft_io, in the order of its members.
  static int load(raft_io* io, raft_term* term, raft_id* vote, raft_snapshot** snapshot,
                  raft_index* first_index, raft_entry** entries, size_t* count);
  static int start_io(raft_io* io, unsigned tick_ms, raft_io_tick_cb tick, raft_io_recv_cb recv);
  static int send(raft_io* io, raft_io_send* request, const raft_message* message,
                  raft_io_send_cb done);
  static int append(raft_io* io, raft_io_append* request, const raft_entry entries[],
                    unsigned count, raft_io_append_cb done);
  static int put_snapshot(raft_io* io, unsigned trailing, raft_io_snapshot_put* request,
                          const raft_snapshot* snapshot, raft_io_snapshot_put_cb done);
  static int get_snapshot(raft_io* io, raft_io_snapshot_get* request, raft_io_snapshot_get_cb done);
  static int random_between(raft_io* io, int min, int max);
  static int run_async_work(raft_io* io, raft_io_async_work* request, raft_io_async_work_cb done);

  // Callbacks of raft_fsm.
  static int apply(raft_fsm* fsm, const raft_buffer* buffer, void** result);
  static int take_snapshot(raft_fsm* fsm, raft_buffer* buffers[], unsigned* count);
  static int restore(raft_fsm* fsm, raft_buffer* buffer);

  void queue_message(const raft_message& message);
  void deliver(std::string_view bytes);
  void report_rollback(const Voter& peer, std::uint64_t seen_records);
  void run_callbacks();
  void run_first_deferred();
  void run_first_write(int status);
  void cancel_callbacks();
  static void finish_proposal(struct raft_apply* request, int status, void* result);

  const Voter self_;
  RaftStorage& storage_;
  MaintenanceStateMachine& state_machine_;
  std::mt19937_64 random_;
  Time now_;
  Duration tick_interval_{100'000};
  Time next_raft_tick_;
  Time next_tick_;
  bool halted_ = false;
  bool rolled_back_ = false;

  raft_io io_{};
  raft_fsm fsm_{};
  // Mutable because libraft's getters take a pointer to non-const.
  mutable struct raft raft_{};
  raft_io_tick_cb on_tick_ = nullptr;
  raft_io_recv_cb on_receive_ = nullptr;
  raft_io_close_cb on_closed_ = nullptr;

  std::deque<PendingMessage> outgoing_;
  std::deque<PendingWrite> writes_;
  std::deque<std::function<void()>> deferred_;
  std::map<Proposal*, std::unique_ptr<Proposal>> proposals_;
  raft_change change_{};
  bool change_in_progress_ = false;
  std::map<std::string, PeerStorage> peer_storages_;
};

}  // namespace beechhill::maintenance
