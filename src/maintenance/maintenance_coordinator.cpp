#include "maintenance/maintenance_coordinator.h"

#include <algorithm>
#include <utility>

#include "maintenance/command_result.h"
#include "maintenance/status_json.h"

namespace beechhill::maintenance {
namespace {

OperatorResponse rejection(CommandResult result) {
  return {false, to_string(result)};
}

// Repeating a command is not an error: a command that changes nothing is accepted as well.
OperatorResponse response_to(CommandResult result) {
  const bool accepted =
      result == CommandResult::kApplied || result == CommandResult::kNothingToChange;
  return {accepted, to_string(result)};
}

}  // namespace

MaintenanceCoordinator::MaintenanceCoordinator(Time now, CoordinatorSettings settings,
                                               RaftStorage* storage, std::uint32_t voter_generation,
                                               std::uint64_t boot_id, std::uint64_t seed,
                                               std::function<Seconds()> unix_time)
    : settings_(std::move(settings)),
      unix_time_(std::move(unix_time)),
      now_(now),
      next_tick_(now),
      // The seed selects the voter to ask first, so that proxies do not all ask the same one.
      lease_(now, settings_, boot_id, static_cast<std::size_t>(seed)) {
  if (storage == nullptr) {
    return;
  }
  raft_ = std::make_unique<RaftNode>(now, Voter{settings_.self, voter_generation}, *storage,
                                     state_machine_, settings_.raft_timing, seed);
  leader_ = std::make_unique<MaintenanceLeader>(
      settings_, *raft_, state_machine_, unix_time_,
      [this](const std::string& to, CoordinationMessage message) { send(to, std::move(message)); });
}

// ---- Ticks and permissions

void MaintenanceCoordinator::tick(Time now) {
  now_ = now;
  if (raft_) {
    raft_->tick(now);
    leader_->tick(now, view_);
  }
  if (now >= lease_.next_request_at()) {
    request_lease(now);
  }
  calls_.expire(now);
  next_tick_ = lease_.next_request_at();
  if (raft_ && !raft_->halted()) {
    next_tick_ = std::min(next_tick_, raft_->next_tick());
  }
}

void MaintenanceCoordinator::on_resume(Time now) {
  now_ = now;
  if (leader_) {
    leader_->on_resume();
  }
  lease_.request_at(now);
  next_tick_ = now;
}

Time MaintenanceCoordinator::serving_permitted_until() const {
  return lease_.serving_permitted_until(now_);
}

Time MaintenanceCoordinator::dispatch_permitted_until(const std::string& machine) const {
  return lease_.dispatch_permitted_until(now_, machine);
}

// ---- Messages

std::vector<MaintenanceCoordinator::Outgoing> MaintenanceCoordinator::take_outgoing() {
  if (raft_) {
    for (RaftNode::Outgoing& message : raft_->take_outgoing()) {
      outgoing_.push_back({std::move(message.to), Channel::kRaft, std::move(message.bytes)});
    }
  }
  return std::exchange(outgoing_, {});
}

void MaintenanceCoordinator::send(const std::string& to, CoordinationMessage message) {
  if (to != settings_.self) {
    outgoing_.push_back({to, Channel::kCoordination, encode(message)});
    return;
  }
  std::visit([this](const auto& typed) { handle(now_, settings_.self, typed); }, message);
}

void MaintenanceCoordinator::receive(Time now, const std::string& from, Channel channel,
                                     std::string_view bytes) {
  now_ = now;
  if (channel == Channel::kRaft) {
    if (raft_) {
      raft_->receive(now, bytes);
    }
    next_tick_ = now;
    return;
  }
  if (const auto message = decode_coordination_message(bytes)) {
    std::visit([&](const auto& typed) { handle(now, from, typed); }, *message);
  }
  next_tick_ = std::min(next_tick_, now);
}

// ---- Leases

bool MaintenanceCoordinator::has_lost_storage() const {
  const auto& voters = settings_.voters;
  const bool is_named = std::find(voters.begin(), voters.end(), settings_.self) != voters.end();
  return halted() || (is_named && !raft_);
}

void MaintenanceCoordinator::request_lease(Time now) {
  const std::string known_leader = raft_ ? raft_->leader() : std::string();
  LeaseRequest request = lease_.next_request(now, view_, has_lost_storage(), known_leader);
  send(lease_.leader(), std::move(request));
}

void MaintenanceCoordinator::handle(Time now, const std::string& from,
                                    const LeaseRequest& request) {
  if (is_ready_leader()) {
    return leader_->handle(now, from, request);
  }
  NotLeader answer{request.number, {}};
  if (raft_ && !raft_->is_leader()) {
    answer.leader = raft_->leader();
  }
  if (from == settings_.self) {
    lease_.redirect(answer);
  } else {
    send(from, std::move(answer));
  }
}

void MaintenanceCoordinator::handle(Time, const std::string&, const LeaseGrant& grant) {
  lease_.handle(grant);
}

void MaintenanceCoordinator::handle(Time now, const std::string&, const NotLeader& answer) {
  lease_.handle(now, answer);
}

void MaintenanceCoordinator::handle(Time, const std::string& from, const LeadershipCheck& check) {
  if (raft_ && !raft_->halted() && raft_->term() == check.term) {
    send(from, LeadershipConfirmation{check.term, check.round});
  }
}

void MaintenanceCoordinator::handle(Time, const std::string& from,
                                    const LeadershipConfirmation& confirmation) {
  if (leader_) {
    leader_->handle(from, confirmation);
  }
}

void MaintenanceCoordinator::handle(Time, const std::string&, const Readmission& readmission) {
  if (!raft_ || halted()) {
    readmitted_ = readmission.generation;
  }
}

// ---- Operators' calls

bool MaintenanceCoordinator::can_forward() const {
  return !lease_.leader().empty() && lease_.leader() != settings_.self && !calls_.full();
}

void MaintenanceCoordinator::submit_command(Time now, Command command, ResponseCallback done) {
  if (!is_leader()) {
    if (!can_forward()) {
      return done(rejection(CommandResult::kNoLeader));
    }
    const std::uint64_t number = calls_.add(now, std::move(done));
    return send(lease_.leader(), Submit{number, std::move(command)});
  }
  if (!is_ready_leader()) {
    return done(rejection(CommandResult::kNoLeader));
  }
  command.issued_at = unix_time_();
  if (command.request) {
    command.request->requested_at = command.issued_at;
  }
  raft_->propose(command, [done](CommandResult result) { done(response_to(result)); });
}

void MaintenanceCoordinator::query(Time now, const std::string& request, ResponseCallback done) {
  if (is_ready_leader()) {
    return done({true, status_json(state_machine_, leader_->acknowledged_indexes(), request,
                                   leader_->incident())});
  }
  if (!can_forward()) {
    return done(rejection(CommandResult::kNoLeader));
  }
  const std::uint64_t number = calls_.add(now, std::move(done));
  send(lease_.leader(), Query{number, request});
}

void MaintenanceCoordinator::handle(Time now, const std::string& from, const Submit& call) {
  if (calls_.full()) {
    return;
  }
  const auto answer = [this, from, number = call.number](const OperatorResponse& response) {
    send(from, SubmitResult{number, response.accepted, response.text});
  };
  if (is_ready_leader()) {
    submit_command(now, call.command, answer);
  } else {
    answer(rejection(CommandResult::kNoLeader));
  }
}

void MaintenanceCoordinator::handle(Time now, const std::string& from, const Query& call) {
  const auto answer = [this, from, number = call.number](const OperatorResponse& response) {
    send(from, QueryResult{number, response.accepted, response.text});
  };
  if (is_ready_leader()) {
    query(now, call.request, answer);
  } else {
    answer(rejection(CommandResult::kNoLeader));
  }
}

void MaintenanceCoordinator::handle(Time, const std::string&, const SubmitResult& result) {
  calls_.complete(result.number, {result.accepted, result.reason});
}

void MaintenanceCoordinator::handle(Time, const std::string&, const QueryResult& result) {
  calls_.complete(result.number, {result.accepted, result.text});
}

}  // namespace beechhill::maintenance
