#include "cluster/maintenance_actor.h"

#include <algorithm>
#include <utility>

#include "log/log.h"
#include "maintenance/command_result.h"
#include "proxy/connection_log.h"

namespace beechhill::maintenance {

using runtime::now;

namespace {

// Maximum number of queued messages. It exceeds the number of datagrams that arrive at the same
// time when a fault affects many proxies.
constexpr std::size_t kInboxCapacity = 1'024;
constexpr int kMaxMessagesPerRound = 64;
constexpr Duration kObservationInterval{200'000};
// Interval at which the actor checks whether appended records have become durable.
constexpr Duration kDiskPollInterval{5'000};
constexpr Duration kMinWait{1'000};
// Derives a seed for Raft that differs from the boot id, which seeds other generators.
constexpr std::uint64_t kRaftSeedMask = 0x9e3779b97f4a7c15ULL;

constexpr int kOk = 200;
constexpr int kConflict = 409;
constexpr int kUnavailable = 503;

Seconds unix_now() {
  return std::chrono::duration_cast<std::chrono::seconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

bool is_named_voter(const CoordinatorSettings& settings) {
  return std::find(settings.voters.begin(), settings.voters.end(), settings.self) !=
         settings.voters.end();
}

ResponseCallback reply_to(std::shared_ptr<runtime::PendingTextReply> reply) {
  return [reply](const OperatorResponse& response) {
    reply->text = response.text;
    if (response.accepted) {
      reply->complete(kOk);
    } else {
      reply->complete(is_retryable(response.text) ? kUnavailable : kConflict);
    }
  };
}

}  // namespace

MaintenanceActor::MaintenanceActor(runtime::Scheduler& scheduler, CoordinatorSettings settings,
                                   std::string storage_directory, std::uint64_t boot_id,
                                   membership::GossipMailbox& gossip,
                                   proxy::DecisionMailbox& decisions,
                                   std::function<LocalView()> observe,
                                   std::function<void(bool)> set_draining)
    : scheduler_(scheduler),
      settings_(std::move(settings)),
      storage_directory_(std::move(storage_directory)),
      boot_id_(boot_id),
      is_voter_(is_named_voter(settings_)),
      gossip_(gossip),
      decisions_(decisions),
      observe_(std::move(observe)),
      set_draining_(std::move(set_draining)),
      inbox_(kInboxCapacity) {
  if (is_voter_) {
    storage_ = DiskRaftStorage::open(storage_directory_, settings_.self);
  }
  if (is_voter_ && !storage_) {
    log::warning("voter_without_storage", {});
  }
  start_coordinator();
}

void MaintenanceActor::start_coordinator() {
  const std::uint32_t generation = storage_ ? storage_->voter().generation : 0;
  coordinator_ = std::make_unique<MaintenanceCoordinator>(
      now(), settings_, storage_.get(), generation, boot_id_, boot_id_ ^ kRaftSeedMask, unix_now);
}

runtime::Task<> MaintenanceActor::run() {
  for (;;) {
    if (now() >= next_observation_) {
      next_observation_ = now() + kObservationInterval;
      coordinator_->update_local_view(observe_());
    }
    take_messages();
    coordinator_->tick(now());
    check_storage();
    send_messages();
    publish_permissions();
    report_changes();
    const Time wake_up = std::max(next_wake_up(), now() + kMinWait);
    runtime::Wait wait(scheduler_);
    wait.notified(inbox_.arrived()).until(runtime::to_time_point(wake_up));
    co_await wait;
  }
}

Time MaintenanceActor::next_wake_up() const {
  if (!inbox_.empty()) {
    return now();
  }
  Time wake_up = std::min(coordinator_->next_tick(), next_observation_);
  for (const auto& [machine, end] : published_machines_) {
    if (end > now()) {
      // The actor wakes up when a permission expires, in order to publish that immediately.
      wake_up = std::min(wake_up, end);
    }
  }
  const bool writing =
      storage_ && !storage_->failed() && storage_->durable_records() < storage_->appended_records();
  return writing ? std::min(wake_up, now() + kDiskPollInterval) : wake_up;
}

void MaintenanceActor::take_messages() {
  for (int i = 0; i < kMaxMessagesPerRound && !inbox_.empty(); ++i) {
    MaintenanceMessage message = inbox_.take();
    std::visit([this](auto& typed) { on(typed); }, message);
  }
}

void MaintenanceActor::on(const membership::PayloadReceived& received) {
  const bool is_raft = received.channel == membership::Channel::kRaft;
  coordinator_->receive(now(), received.from, is_raft ? Channel::kRaft : Channel::kCoordination,
                        received.payload);
}

void MaintenanceActor::on(const membership::ProcessResumed&) {
  coordinator_->on_resume(now());
}

void MaintenanceActor::on(SubmitCommand& message) {
  log::info("maintenance_order", {{"request", std::string_view(message.command.id)},
                                  {"by", std::string_view(message.command.issued_by)}});
  coordinator_->submit_command(now(), std::move(message.command), reply_to(message.reply));
}

void MaintenanceActor::on(QueryStatus& message) {
  coordinator_->query(now(), message.request, reply_to(message.reply));
}

void MaintenanceActor::check_storage() {
  if (!is_voter_) {
    return;
  }
  if (coordinator_->halted() && !std::exchange(halt_logged_, true)) {
    log::warning("voter_halted", {});
  }
  if (coordinator_->rolled_back()) {
    storage_->set_aside();
    coordinator_.reset();
    storage_.reset();
    start_coordinator();
  }
  if (const auto generation = coordinator_->readmitted(); generation && !storage_) {
    create_storage(*generation);
  }
}

void MaintenanceActor::create_storage(std::uint32_t generation) {
  try {
    storage_ = DiskRaftStorage::create(storage_directory_, Voter{settings_.self, generation}, {});
    log::info("voter_readmitted", {{"generation", static_cast<std::uint64_t>(generation)}});
  } catch (const std::exception& error) {
    log::fault("voter_without_storage", error);
    return;
  }
  halt_logged_ = false;
  start_coordinator();
}

void MaintenanceActor::send_messages() {
  for (MaintenanceCoordinator::Outgoing& message : coordinator_->take_outgoing()) {
    const bool is_raft = message.channel == Channel::kRaft;
    membership::GossipMessage payload(membership::SendPayload{
        std::move(message.to),
        is_raft ? membership::Channel::kRaft : membership::Channel::kCoordination,
        std::move(message.bytes)});
    if (!gossip_.post(std::move(payload))) {
      // A dropped payload is equivalent to loss on the network: Raft and the lease client
      // retransmit.
      log::dropped_message("maintenance_payload");
    }
  }
}

void MaintenanceActor::publish_permissions() {
  std::map<std::string, Time> machines;
  for (const auto& [machine, permission] : coordinator_->dispatch_permissions()) {
    const Time end = coordinator_->dispatch_permitted_until(machine);
    machines[machine] = end <= now() ? Time::min() : end;
  }
  const Time serving = coordinator_->serving_permitted_until();
  const bool permission_expired = std::any_of(
      published_machines_.begin(), published_machines_.end(),
      [](const auto& entry) { return entry.second > Time::min() && entry.second <= now(); });
  if (machines == published_machines_ && serving == published_serving_ && !permission_expired) {
    return;
  }
  proxy::DecisionMessage message(proxy::DispatchPermissions{machines, serving});
  if (decisions_.post(std::move(message))) {
    published_machines_ = std::move(machines);
    published_serving_ = serving;
  }
}

void MaintenanceActor::report_changes() {
  const bool self_out = coordinator_->is_self_in_maintenance();
  if (std::exchange(was_self_in_maintenance_, self_out) != self_out) {
    set_draining_(self_out);
  }
  const bool leader = coordinator_->is_leader();
  if (std::exchange(was_leader_, leader) != leader) {
    log::info("maintenance", {{"leads", leader}});
  }
}

}  // namespace beechhill::maintenance
