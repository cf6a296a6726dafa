#include "maintenance/raft_node.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <deque>
#include <map>
#include <random>
#include <stdexcept>
#include <utility>

#include "base/byte_codec.h"
#include "maintenance/libraft_conversions.h"
#include "maintenance/raft_messages.h"

namespace beechhill::maintenance {

namespace {

// Entries of some hundred bytes each: a snapshot is taken after so many, and so many of those
// before it are kept for followers that lag a little.
constexpr unsigned kSnapshotThreshold = 512;
constexpr unsigned kSnapshotTrailing = 64;
constexpr std::size_t kMaxPendingProposals = 256;
// Beyond that the oldest are dropped, as on any network.
constexpr std::size_t kMaxOutgoing = 1'024;
constexpr std::uint32_t kMaxGeneration = 1'000'000'000;
// Callbacks may queue further ones: a bound on how many run at a time.
constexpr int kMaxCallbacksPerTick = 1'000;
constexpr int kMaxCallbacksAtEnd = 10'000;
// Of the state machine's results, which libraft carries as pointers.
constexpr std::size_t kCommandResults = 256;

CommandResult* as_pointer(CommandResult result) {
  static std::array<CommandResult, kCommandResults> values = [] {
    std::array<CommandResult, kCommandResults> all{};
    for (std::size_t i = 0; i < all.size(); ++i) {
      all.at(i) = static_cast<CommandResult>(i);
    }
    return all;
  }();
  return &values.at(static_cast<std::size_t>(result));
}

unsigned milliseconds(Duration duration) {
  return static_cast<unsigned>(duration / std::chrono::milliseconds(1));
}

}  // namespace

std::optional<Voter> parse_voter(std::string_view address) {
  const auto separator = address.rfind('#');
  if (separator == std::string_view::npos || separator == 0) {
    return std::nullopt;
  }
  const std::string_view digits = address.substr(separator + 1);
  const char* const end = digits.data() + digits.size();
  Voter voter{std::string(address.substr(0, separator)), 0};
  const auto [stop, error] = std::from_chars(digits.data(), end, voter.generation);
  if (error != std::errc{} || stop != end || voter.generation > kMaxGeneration) {
    return std::nullopt;
  }
  return voter;
}

std::vector<LogRecord> initial_records(const std::vector<std::string>& voters) {
  std::vector<RaftServer> servers;
  for (const std::string& name : voters) {
    servers.push_back({Voter{name, 1}.address(), RAFT_VOTER});
  }
  // The same entry on every voter, whatever the order of their settings.
  std::sort(servers.begin(), servers.end(),
            [](const RaftServer& a, const RaftServer& b) { return a.address < b.address; });
  raft_configuration configuration;
  make_configuration(configuration, servers);
  raft_buffer encoded{};
  const int error = raft_configuration_encode(&configuration, &encoded);
  raft_configuration_close(&configuration);
  if (error != 0) {
    throw std::runtime_error(raft_strerror(error));
  }
  const LogEntry entry{1, RAFT_CHANGE, std::string(content_of(encoded))};
  raft_free(encoded.base);
  return {LogRecord::set_term(1), LogRecord::append(1, {entry})};
}

/// Gives libraft its I/O and state machine. Callbacks that libraft waits for are never called from
/// within one of its own calls: they are queued, and run by run_callbacks().
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
    int role = 0;
  };
  /// Servers whose address is a voter's, in the order of the configuration.
  std::vector<ConfiguredVoter> configuration() const;

 private:
  struct PendingMessage {
    /// Records that must be durable before it may be sent.
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
  /// The most that was seen of another voter's storage.
  struct PeerStorage {
    std::uint32_t generation = 0;
    std::uint64_t appended_records = 0;
  };

  static Impl& of(raft_io* io) { return *static_cast<Impl*>(io->impl); }
  static Impl& of(raft_fsm* fsm) { return *static_cast<Impl*>(fsm->data); }

  void set_io_callbacks();
  void set_fsm_callbacks();
  void start(const RaftTiming& timing);
  void stop();
  void check(int error);

  // raft_io, in the order of its members.
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

  // raft_fsm.
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
  // Mutable: getters of libraft take it without const.
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

// ---- Start and end

void RaftNode::Impl::set_io_callbacks() {
  io_.version = 2;
  io_.impl = this;
  io_.init = [](raft_io*, raft_id, const char*) { return 0; };
  io_.close = [](raft_io* io, raft_io_close_cb done) { of(io).on_closed_ = done; };
  io_.load = load;
  io_.start = start_io;
  io_.bootstrap = [](raft_io*, const raft_configuration*) { return int{RAFT_CANTBOOTSTRAP}; };
  io_.recover = [](raft_io*, const raft_configuration*) { return int{RAFT_INVALID}; };
  io_.set_term = [](raft_io* io, raft_term term) {
    of(io).storage_.append(LogRecord::set_term(term));
    return 0;
  };
  io_.set_vote = [](raft_io* io, raft_id candidate) {
    of(io).storage_.append(LogRecord::set_vote(candidate));
    return 0;
  };
  io_.send = send;
  io_.append = append;
  io_.truncate = [](raft_io* io, raft_index index) {
    of(io).storage_.append(LogRecord::truncate(index));
    return 0;
  };
  io_.snapshot_put = put_snapshot;
  io_.snapshot_get = get_snapshot;
  io_.time = [](raft_io* io) {
    return static_cast<raft_time>(of(io).now_ / std::chrono::milliseconds(1));
  };
  io_.random = random_between;
  io_.async_work = run_async_work;
}

void RaftNode::Impl::set_fsm_callbacks() {
  fsm_.version = 1;
  fsm_.data = this;
  fsm_.apply = apply;
  fsm_.snapshot = take_snapshot;
  fsm_.restore = restore;
}

void RaftNode::Impl::start(const RaftTiming& timing) {
  const std::string address = self_.address();
  check(raft_init(&raft_, &io_, &fsm_, server_id(address), address.c_str()));
  raft_set_election_timeout(&raft_, milliseconds(timing.election_timeout));
  raft_set_heartbeat_timeout(&raft_, milliseconds(timing.heartbeat_interval));
  raft_set_snapshot_threshold(&raft_, kSnapshotThreshold);
  raft_set_snapshot_trailing(&raft_, kSnapshotTrailing);
  raft_set_pre_vote(&raft_, true);
  check(raft_start(&raft_));
}

void RaftNode::Impl::check(int error) {
  if (error != 0) {
    throw std::runtime_error(std::string("agreement: ") + raft_strerror(error) + ": " +
                             raft_errmsg(&raft_));
  }
}

void RaftNode::Impl::stop() {
  for (auto& [key, proposal] : proposals_) {
    proposal->done = {};
  }
  // Outstanding requests complete while libraft is still running. Nothing of it is sent.
  for (int i = 0; i < kMaxCallbacksAtEnd && !(deferred_.empty() && writes_.empty()); ++i) {
    if (!deferred_.empty()) {
      run_first_deferred();
    } else {
      run_first_write(0);
    }
  }
  raft_close(&raft_, [](struct raft*) {});
  cancel_callbacks();
  // Only now: until its requests have completed, libraft's log is in use.
  if (on_closed_) {
    on_closed_(&io_);
  }
}

void RaftNode::Impl::cancel_callbacks() {
  while (!deferred_.empty() || !writes_.empty()) {
    for (const auto& callback : std::exchange(deferred_, {})) {
      callback();
    }
    for (const PendingWrite& write : std::exchange(writes_, {})) {
      write.done(RAFT_CANCELED);
    }
  }
}

// ---- libraft's I/O

int RaftNode::Impl::load(raft_io* io, raft_term* term, raft_id* vote, raft_snapshot** snapshot,
                         raft_index* first_index, raft_entry** entries, size_t* count) {
  const DurableState& state = of(io).storage_.state();
  *term = state.term;
  *vote = state.vote;
  *first_index = state.first_index;
  *count = state.entries.size();
  *entries = make_entries(state.entries);
  *snapshot = state.snapshot ? make_snapshot(*state.snapshot) : nullptr;
  return 0;
}

int RaftNode::Impl::start_io(raft_io* io, unsigned tick_ms, raft_io_tick_cb tick,
                             raft_io_recv_cb recv) {
  Impl& impl = of(io);
  impl.tick_interval_ = std::chrono::milliseconds(tick_ms);
  impl.on_tick_ = tick;
  impl.on_receive_ = recv;
  return 0;
}

int RaftNode::Impl::send(raft_io* io, raft_io_send* request, const raft_message* message,
                         raft_io_send_cb done) {
  Impl& impl = of(io);
  impl.queue_message(*message);
  impl.deferred_.emplace_back([request, done] { done(request, 0); });
  return 0;
}

int RaftNode::Impl::append(raft_io* io, raft_io_append* request, const raft_entry entries[],
                           unsigned count, raft_io_append_cb done) {
  Impl& impl = of(io);
  const std::uint64_t required =
      impl.storage_.append(LogRecord::append(0, entries_of(entries, count)));
  impl.writes_.push_back({required, [request, done](int status) { done(request, status); }});
  return 0;
}

int RaftNode::Impl::put_snapshot(raft_io* io, unsigned trailing, raft_io_snapshot_put* request,
                                 const raft_snapshot* snapshot, raft_io_snapshot_put_cb done) {
  Impl& impl = of(io);
  const std::uint64_t required =
      impl.storage_.append(LogRecord::take_snapshot(trailing, snapshot_of(*snapshot)));
  impl.writes_.push_back({required, [request, done](int status) { done(request, status); }});
  return 0;
}

int RaftNode::Impl::get_snapshot(raft_io* io, raft_io_snapshot_get* request,
                                 raft_io_snapshot_get_cb done) {
  Impl& impl = of(io);
  if (!impl.storage_.state().snapshot) {
    return RAFT_NOTFOUND;
  }
  impl.deferred_.emplace_back(
      [&impl, request, done] { done(request, make_snapshot(*impl.storage_.state().snapshot), 0); });
  return 0;
}

int RaftNode::Impl::random_between(raft_io* io, int min, int max) {
  const auto range = static_cast<std::uint64_t>(std::max(1, max - min));
  return min + static_cast<int>(of(io).random_() % range);
}

int RaftNode::Impl::run_async_work(raft_io* io, raft_io_async_work* request,
                                   raft_io_async_work_cb done) {
  of(io).deferred_.emplace_back([request, done] { done(request, request->work(request)); });
  return 0;
}

// ---- libraft's state machine

int RaftNode::Impl::apply(raft_fsm* fsm, const raft_buffer* buffer, void** result) {
  Impl& impl = of(fsm);
  const auto command = decode(content_of(*buffer));
  const LogIndex index = raft_last_applied(&impl.raft_) + 1;
  *result = as_pointer(command ? impl.state_machine_.apply(index, *command)
                               : CommandResult::kUndecodable);
  return 0;
}

int RaftNode::Impl::take_snapshot(raft_fsm* fsm, raft_buffer* buffers[], unsigned* count) {
  *buffers = static_cast<raft_buffer*>(raft_malloc(sizeof(raft_buffer)));
  **buffers = make_buffer(of(fsm).state_machine_.snapshot());
  *count = 1;
  return 0;
}

int RaftNode::Impl::restore(raft_fsm* fsm, raft_buffer* buffer) {
  if (!of(fsm).state_machine_.restore(content_of(*buffer))) {
    return RAFT_MALFORMED;
  }
  raft_free(buffer->base);
  return 0;
}

// ---- Messages

void RaftNode::Impl::queue_message(const raft_message& message) {
  const auto receiver = parse_voter(message.server_address);
  const auto body = body_of(message);
  if (!receiver || !body) {
    return;
  }
  const std::uint64_t records = storage_.appended_records();
  const RaftMessageHeader header{self_.address(), message.server_address, records, {}};
  outgoing_.push_back({records, {receiver->name, encode(header, *body)}});
  if (outgoing_.size() > kMaxOutgoing) {
    outgoing_.pop_front();
  }
}

void RaftNode::Impl::deliver(std::string_view bytes) {
  base::ByteReader reader(bytes);
  const auto header = decode_raft_header(reader);
  const auto sender = header ? parse_voter(header->from) : std::nullopt;
  if (!sender || sender->name == self_.name || header->to != self_.address()) {
    return;
  }
  if (header->type == RaftMessageType::kStorageRolledBack) {
    rolled_back_ = rolled_back_ || header->appended_records > storage_.appended_records();
    return;
  }
  if (on_receive_ == nullptr) {
    return;
  }
  // A storage only grows: one that has fewer records than before was replaced by an older copy, and
  // its voter may have forgotten a vote.
  PeerStorage& known = peer_storages_[sender->name];
  if (sender->generation < known.generation) {
    return;
  }
  if (sender->generation == known.generation && header->appended_records < known.appended_records) {
    return report_rollback(*sender, known.appended_records);
  }
  const auto body = decode_raft_body(header->type, reader);
  if (!body) {
    return;
  }
  if (const auto* snapshot = std::get_if<InstallSnapshot>(&*body);
      snapshot != nullptr && !MaintenanceStateMachine().restore(snapshot->data)) {
    return;
  }
  raft_message message{};
  message.server_id = server_id(header->from);
  message.server_address = header->from.c_str();
  make_message(message, *body);
  known = {sender->generation, header->appended_records};
  on_receive_(&io_, &message);
}

void RaftNode::Impl::report_rollback(const Voter& peer, std::uint64_t seen_records) {
  const RaftMessageHeader header{self_.address(), peer.address(), seen_records, {}};
  outgoing_.push_back({0, {peer.name, encode(header, StorageRolledBack{})}});
}

std::vector<RaftNode::Outgoing> RaftNode::Impl::take_outgoing() {
  std::vector<Outgoing> sendable;
  const std::uint64_t durable = storage_.durable_records();
  while (!halted_ && !outgoing_.empty() && outgoing_.front().required_records <= durable) {
    sendable.push_back(std::move(outgoing_.front().message));
    outgoing_.pop_front();
  }
  return sendable;
}

// ---- Time and callbacks

void RaftNode::Impl::tick(Time now) {
  now_ = now;
  if (halted_) {
    return;
  }
  run_callbacks();
  if (now >= next_raft_tick_ && !halted_) {
    next_raft_tick_ = now + tick_interval_;
    on_tick_(&io_);
    run_callbacks();
  }
  next_tick_ = next_raft_tick_;
}

void RaftNode::Impl::receive(Time now, std::string_view bytes) {
  now_ = now;
  if (halted_) {
    return;
  }
  deliver(bytes);
  run_callbacks();
}

void RaftNode::Impl::run_callbacks() {
  const std::uint64_t durable = storage_.durable_records();
  for (int i = 0; i < kMaxCallbacksPerTick; ++i) {
    if (!deferred_.empty()) {
      run_first_deferred();
    } else if (!writes_.empty() && writes_.front().required_records <= durable) {
      run_first_write(0);
    } else {
      break;
    }
  }
  if (storage_.failed() && !halted_) {
    halted_ = true;
    outgoing_.clear();
  }
}

void RaftNode::Impl::run_first_deferred() {
  const auto callback = std::move(deferred_.front());
  deferred_.pop_front();
  callback();
}

void RaftNode::Impl::run_first_write(int status) {
  const auto done = std::move(writes_.front().done);
  writes_.pop_front();
  done(status);
}

// ---- Proposals and the configuration

void RaftNode::Impl::propose(const Command& command, ProposalCallback done) {
  const auto reject = [&done] {
    if (done) {
      done(CommandResult::kNotLeader);
    }
  };
  if (!is_leader() || proposals_.size() >= kMaxPendingProposals) {
    return reject();
  }
  auto owned = std::make_unique<Proposal>();
  Proposal* const proposal = owned.get();
  proposal->request.data = proposal;
  proposal->impl = this;
  proposal->done = done;
  proposals_.emplace(proposal, std::move(owned));
  const raft_buffer buffer = make_buffer(encode(command));
  if (raft_apply(&raft_, &proposal->request, &buffer, 1, finish_proposal) != 0) {
    raft_free(buffer.base);
    proposals_.erase(proposal);
    reject();
  }
}

void RaftNode::Impl::finish_proposal(struct raft_apply* request, int status, void* result) {
  auto* const key = static_cast<Proposal*>(request->data);
  const auto finished = key->impl->proposals_.extract(key);
  if (finished.empty()) {
    return;
  }
  const ProposalCallback done = std::move(finished.mapped()->done);
  if (done) {
    done(status == 0 ? *static_cast<CommandResult*>(result) : CommandResult::kLost);
  }
}

std::string RaftNode::Impl::leader() const {
  raft_id id = 0;
  const char* address = nullptr;
  if (!halted_) {
    raft_leader(&raft_, &id, &address);
  }
  const auto voter = address ? parse_voter(address) : std::nullopt;
  return voter ? voter->name : std::string();
}

std::vector<RaftNode::Impl::ConfiguredVoter> RaftNode::Impl::configuration() const {
  std::vector<ConfiguredVoter> configured;
  for (const RaftServer& server : servers_of(raft_.configuration)) {
    if (const auto voter = parse_voter(server.address)) {
      configured.push_back({*voter, server.role});
    }
  }
  return configured;
}

// In three changes: the next generation is added, so that the name stays known; the one that lost
// its storage is removed; and then the next one may vote.
std::uint32_t RaftNode::Impl::readmit(const std::string& name) {
  if (!is_leader() || change_in_progress_ || name == self_.name) {
    return 0;
  }
  std::vector<ConfiguredVoter> generations = configuration();
  std::erase_if(generations, [&name](const auto& entry) { return entry.voter.name != name; });
  if (generations.empty()) {
    return 0;
  }
  std::sort(generations.begin(), generations.end(),
            [](const auto& a, const auto& b) { return a.voter.generation < b.voter.generation; });
  const auto done = [](raft_change* change, int) {
    static_cast<Impl*>(change->data)->change_in_progress_ = false;
  };
  change_.data = this;
  const auto& [newest, newest_role] = generations.back();
  std::uint32_t generation = newest.generation;
  int error = 0;
  if (newest_role == RAFT_VOTER) {
    ++generation;
    const std::string next = Voter{name, generation}.address();
    error = raft_add(&raft_, &change_, server_id(next), next.c_str(), done);
  } else if (generations.size() > 1) {
    const std::string oldest = generations.front().voter.address();
    error = raft_remove(&raft_, &change_, server_id(oldest), done);
  } else {
    error = raft_assign(&raft_, &change_, server_id(newest.address()), RAFT_VOTER, done);
  }
  change_in_progress_ = error == 0;
  return error == 0 ? generation : 0;
}

// ---- RaftNode

RaftNode::RaftNode(Time now, const Voter& self, RaftStorage& storage,
                   MaintenanceStateMachine& state_machine, const RaftTiming& timing,
                   std::uint64_t seed)
    : impl_(std::make_unique<Impl>(now, self, storage, state_machine, timing, seed)) {
}

RaftNode::~RaftNode() = default;

void RaftNode::tick(Time now) {
  impl_->tick(now);
}

Time RaftNode::next_tick() const {
  return impl_->next_tick();
}

void RaftNode::receive(Time now, std::string_view bytes) {
  impl_->receive(now, bytes);
}

std::vector<RaftNode::Outgoing> RaftNode::take_outgoing() {
  return impl_->take_outgoing();
}

bool RaftNode::is_leader() const {
  return impl_->is_leader();
}

std::string RaftNode::leader() const {
  return impl_->leader();
}

std::uint64_t RaftNode::term() const {
  return impl_->term();
}

bool RaftNode::halted() const {
  return impl_->halted();
}

bool RaftNode::rolled_back() const {
  return impl_->rolled_back();
}

std::vector<Voter> RaftNode::voters() const {
  std::vector<Voter> voters;
  for (const auto& [voter, role] : impl_->configuration()) {
    if (role == RAFT_VOTER) {
      voters.push_back(voter);
    }
  }
  return voters;
}

std::uint32_t RaftNode::joining_generation(const std::string& name) const {
  std::uint32_t newest = 0;
  for (const auto& [voter, role] : impl_->configuration()) {
    if (voter.name == name && role != RAFT_VOTER) {
      newest = std::max(newest, voter.generation);
    }
  }
  return newest;
}

std::vector<std::string> RaftNode::pending_readmissions() const {
  std::map<std::string, int> generations;
  std::vector<std::string> names;
  for (const auto& [voter, role] : impl_->configuration()) {
    const bool second_generation = ++generations[voter.name] == 2;
    if (second_generation || role != RAFT_VOTER) {
      names.push_back(voter.name);
    }
  }
  return names;
}

void RaftNode::propose(const Command& command, ProposalCallback done) {
  impl_->propose(command, std::move(done));
}

std::size_t RaftNode::pending_proposals() const {
  return impl_->pending_proposals();
}

std::uint32_t RaftNode::readmit(const std::string& name) {
  return impl_->readmit(name);
}

}  // namespace beechhill::maintenance
