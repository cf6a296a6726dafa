#include "maintenance/maintenance_leader.h"

#include <utility>

namespace beechhill::maintenance {
namespace {

// The first report after an election is made after the lease duration divided by this number, by
// which time every proxy has sent a lease request.
constexpr int kFirstReportDivisor = 5;

}  // namespace

MaintenanceLeader::MaintenanceLeader(const CoordinatorSettings& settings, RaftNode& raft,
                                     const MaintenanceStateMachine& state_machine,
                                     std::function<Seconds()> unix_time, MessageSender send)
    : settings_(settings),
      raft_(raft),
      state_machine_(state_machine),
      send_(std::move(send)),
      proxies_(settings),
      proposals_(raft, std::move(unix_time)),
      leases_(settings, raft, state_machine, proxies_, send_),
      observations_(state_machine, proxies_, proposals_),
      workflows_(state_machine, proxies_, raft, proposals_) {
}

void MaintenanceLeader::tick(Time now, const LocalView& view) {
  if (raft_.is_leader() && !leading_) {
    become_leader(now);
  }
  if (!raft_.is_leader()) {
    leading_ = false;
    ready_ = false;
  }
  if (!ready_) {
    return;
  }
  leases_.tick(now);
  workflows_.confirm_expired_leases(now);
  workflows_.remove_stopped_proxies(now);
  workflows_.continue_readmissions();
  observations_.tick(now, view);
  workflows_.propose_next_commands();
}

void MaintenanceLeader::become_leader(Time now) {
  leading_ = true;
  ready_ = false;
  proxies_.reset(now);
  leases_.reset();
  proposals_.reset();
  observations_.reset(now, now + settings_.lease_duration / kFirstReportDivisor);
  // Replicates the disruption budget from this proxy's settings. This is the first command of the
  // new term, so committing it also commits all entries of earlier terms.
  Command command;
  command.type = CommandType::kSetDisruptionBudget;
  command.disruption_budget = settings_.disruption_budget;
  const std::uint64_t term = raft_.term();
  proposals_.propose(std::move(command), [this, term](CommandResult result) {
    const bool decided = result != CommandResult::kLost && result != CommandResult::kNotLeader;
    if (decided && raft_.is_leader() && raft_.term() == term) {
      ready_ = true;
    }
  });
}

void MaintenanceLeader::handle(Time now, const std::string& from, const LeaseRequest& request) {
  if (request.has_lost_storage) {
    readmit(from);
  }
  if (!proxies_.accepts(from)) {
    return;
  }
  proxies_.update(now, from, request);
  for (const DrainConfirmation& confirmation : request.drained) {
    workflows_.confirm_drained(from, confirmation);
  }
  if (!state_machine_.proxies().contains(from) && !request.is_shutting_down) {
    // The lease is granted on the proxy's next request, once the proxy has been added.
    return proposals_.propose_once(CommandType::kAddProxy, from);
  }
  leases_.enqueue(now, from, request.number);
}

void MaintenanceLeader::handle(const std::string& from,
                               const LeadershipConfirmation& confirmation) {
  if (raft_.is_leader()) {
    leases_.handle(from, confirmation);
  }
}

void MaintenanceLeader::readmit(const std::string& voter) {
  if (raft_.joining_generation(voter) == 0) {
    raft_.readmit(voter);
  }
  // The generation is sent at each request of the voter, because an earlier message may have been
  // lost and the configuration change waits for the voter.
  if (const std::uint32_t generation = raft_.joining_generation(voter)) {
    send_(voter, Readmission{generation});
  }
}

}  // namespace beechhill::maintenance
