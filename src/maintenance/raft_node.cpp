#include "maintenance/raft_node.h"

#include <algorithm>
#include <charconv>
#include <map>
#include <stdexcept>
#include <utility>

#include "base/byte_codec.h"
#include "maintenance/raft_messages.h"
#include "maintenance/raft_node_impl.h"

namespace beechhill::maintenance {

namespace {

// Number of log entries, of some hundred bytes each, after which a snapshot is taken, and number of
// entries before the snapshot that are kept for followers that lag slightly behind.
constexpr unsigned kSnapshotThreshold = 512;
constexpr unsigned kSnapshotTrailing = 64;
constexpr std::size_t kMaxPendingProposals = 256;
// Maximum number of queued messages. Beyond it the oldest message is dropped, which raft tolerates.
constexpr std::size_t kMaxOutgoing = 1'024;
constexpr std::uint32_t kMaxGeneration = 1'000'000'000;
// Maximum numbers of callbacks that are run at a time. They ensure that the loops end, as callbacks
// may queue further ones.
constexpr int kMaxCallbacksPerTick = 1'000;
constexpr int kMaxCallbacksAtShutdown = 10'000;

unsigned milliseconds(Duration duration) {
  return static_cast<unsigned>(duration / std::chrono::milliseconds(1));
}

}  // namespace

std::optional<Voter> parse_voter(std::string_view address) {
  const auto separator = address.rfind('#');
  if (separator == std::string_view::npos || separator == 0) {
    return std::nullopt;
  }
  const std::string digits(address.substr(separator + 1));
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
  servers.reserve(voters.size());
  for (const std::string& name : voters) {
    servers.push_back({Voter{name, 1}.address(), RAFT_VOTER});
  }
  // Sorts the servers, so that all voters write the same entry whatever the order in their
  // settings.
  std::sort(servers.begin(), servers.end(),
            [](const RaftServer& a, const RaftServer& b) { return a.address < b.address; });
  raft_configuration configuration;
  make_configuration(configuration, servers);
  raft_buffer encoded{};
  const int error = raft_configuration_encode(&configuration, &encoded);
  raft_configuration_close(&configuration);
  if (error != 0) {
    throw std::runtime_error(std::string("raft: cannot encode the initial configuration: ") +
                             raft_strerror(error));
  }
  const LogEntry entry{1, RAFT_CHANGE, std::string(content_of(encoded))};
  raft_free(encoded.base);
  return {LogRecord::set_term(1), LogRecord::append(1, {entry})};
}

// ---- Start and shutdown

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
    throw std::runtime_error(std::string("raft: ") + raft_strerror(error) + ": " +
                             raft_errmsg(&raft_));
  }
}

void RaftNode::Impl::stop() {
  for (auto& [key, proposal] : proposals_) {
    proposal->done = {};
  }
  // Completes outstanding requests while libraft is still running. Messages queued by their
  // callbacks are never sent.
  for (int i = 0; i < kMaxCallbacksAtShutdown && !(deferred_.empty() && writes_.empty()); ++i) {
    if (!deferred_.empty()) {
      run_first_deferred();
    } else {
      run_first_write(0);
    }
  }
  raft_close(&raft_, [](struct raft*) {});
  cancel_callbacks();
  // libraft's log is in use until its requests have completed, so the close callback runs last.
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
  // The number of records of a storage never decreases. A peer with fewer records than before runs
  // on an older copy of its storage and may have forgotten a vote, so its message is dropped and
  // the peer is notified.
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

// Readmission takes three configuration changes: adding the next generation as a non-voter, so that
// the name stays configured; removing the generation that lost its storage; and making the next
// generation a voter.
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
