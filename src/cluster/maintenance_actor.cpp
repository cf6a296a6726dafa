#include "cluster/maintenance_actor.h"

#include <algorithm>

#include "log/log.h"
#include "proxy/connection_log.h"

namespace beechhill::maintenance {

using runtime::now;

namespace {

constexpr std::size_t kInboxCapacity = 1'024;  // as many as the datagrams of a common fault
constexpr Duration kLookEvery{200'000};
constexpr Duration kDiskLook{5'000};  // while something is being written
constexpr int kAtOnce = 64;

Seconds unix_now() {
  return std::chrono::duration_cast<std::chrono::seconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

MaintenanceCoordinator::ResponseCallback answer_to(
    std::shared_ptr<runtime::PendingTextReply> asked) {
  return [asked](bool done, const std::string& text) {
    const bool later =
        text == "no_leader" || text == "no_answer" || text == "lost" || text == "not_leader";
    asked->text = text;
    asked->complete(done ? 200 : later ? 503 : 409);
  };
}

}  // namespace

MaintenanceActor::MaintenanceActor(runtime::Scheduler& scheduler, CoordinatorSettings settings,
                                   std::string folder, std::uint64_t life,
                                   membership::GossipMailbox& talk,
                                   proxy::DecisionMailbox& decisions,
                                   std::function<LocalView()> look, std::function<void(bool)> drain)
    : scheduler_(scheduler),
      settings_(std::move(settings)),
      folder_(std::move(folder)),
      life_(life),
      votes_(std::find(settings_.voters.begin(), settings_.voters.end(), settings_.self) !=
             settings_.voters.end()),
      talk_(talk),
      decisions_(decisions),
      look_(std::move(look)),
      drain_(std::move(drain)),
      inbox_(kInboxCapacity) {
  if (votes_) {
    storage_ = DiskRaftStorage::open(folder_, settings_.self);
  }
  if (votes_ && !storage_) {
    log::warning("voter_without_storage", {});
  }
  begin();
}

void MaintenanceActor::begin() {
  works_ = std::make_unique<MaintenanceCoordinator>(now(), settings_, storage_.get(),
                                                    storage_ ? storage_->voter().generation : 0,
                                                    life_, life_ ^ 0x9e3779b97f4a7c15ULL, unix_now);
}

runtime::Task<> MaintenanceActor::run() {
  for (;;) {
    if (now() >= look_at_) {
      look_at_ = now() + kLookEvery;
      works_->update_local_view(look_());
    }
    for (int i = 0; i < kAtOnce && !inbox_.empty(); ++i) {
      MaintenanceMessage message = inbox_.take();
      std::visit([this](auto& m) { on(m); }, message);
    }
    works_->tick(now());
    mind_storage();
    pass_on();
    Time until = std::min(works_->next_tick(), look_at_);
    for (const auto& [machine, end] : told_) {
      if (end > now()) {
        until = std::min(until, end);  // told again the moment a right lapses
      }
    }
    if (storage_ && !storage_->failed() &&
        storage_->durable_records() < storage_->appended_records()) {
      until = std::min(until, now() + kDiskLook);
    }
    if (!inbox_.empty()) {
      until = now();
    }
    runtime::Wait wait(scheduler_);
    wait.notified(inbox_.arrived())
        .until(runtime::to_point(std::max(until, now() + Duration{1'000})));
    co_await wait;
  }
}

void MaintenanceActor::on(const membership::PayloadReceived& heard) {
  works_->receive(
      now(), heard.from,
      heard.channel == membership::Channel::kRaft ? Channel::kRaft : Channel::kCoordination,
      heard.payload);
}

void MaintenanceActor::on(const membership::ProcessResumed&) {
  works_->on_resume(now());
}

void MaintenanceActor::on(SubmitCommand& order) {
  log::info("maintenance_order", {{"request", std::string_view(order.command.id)},
                                  {"by", std::string_view(order.command.issued_by)}});
  works_->submit_command(now(), std::move(order.command), answer_to(order.reply));
}

void MaintenanceActor::on(QueryStatus& question) {
  works_->query(now(), question.request, answer_to(question.reply));
}

// A voter that cannot rely on its storage goes on without, as any proxy, until the one that leads
// has let it in as a new voter.
void MaintenanceActor::mind_storage() {
  if (!votes_) {
    return;
  }
  if (works_->halted() && !std::exchange(halted_said_, true)) {
    log::warning("voter_halted", {});
  }
  if (works_->rolled_back()) {
    storage_->set_aside();
    works_.reset();
    storage_.reset();
    begin();
  }
  if (const auto generation = works_->readmitted(); generation && !storage_) {
    try {
      storage_ = DiskRaftStorage::found(folder_, Voter{settings_.self, *generation}, {});
      log::info("voter_readmitted", {{"generation", static_cast<std::uint64_t>(*generation)}});
    } catch (const std::exception& error) {
      log::fault("voter_without_storage", error);
      return;
    }
    halted_said_ = false;
    begin();
  }
}

void MaintenanceActor::pass_on() {
  for (MaintenanceCoordinator::Outgoing& o : works_->take_outgoing()) {
    membership::GossipMessage say(membership::SendPayload{
        o.to,
        o.line == Channel::kRaft ? membership::Channel::kRaft : membership::Channel::kCoordination,
        std::move(o.bytes)});
    if (!talk_.post(std::move(say))) {
      log::dropped_message("say");  // as on any network
    }
  }
  std::map<std::string, Time> until;
  for (const auto& [machine, right] : works_->dispatch_permissions()) {
    const Time end = works_->dispatch_permitted_until(machine);
    until[machine] = end <= now() ? Time::min() : end;
  }
  const Time serve_until = works_->serving_permitted_until();
  const bool lapsed = std::any_of(told_.begin(), told_.end(), [](const auto& t) {
    return t.second > Time::min() && t.second <= now();
  });
  if (until != told_ || serve_until != told_serve_until_ || lapsed) {
    proxy::DecisionMessage message(proxy::DispatchPermissions{until, serve_until});
    if (decisions_.post(std::move(message))) {
      told_ = until, told_serve_until_ = serve_until;
    }
  }
  if (std::exchange(told_out_, works_->is_self_out()) != told_out_) {
    drain_(told_out_);
  }
  if (std::exchange(led_, works_->is_leader()) != led_) {
    log::info("maintenance", {{"leads", led_}});
  }
}

}  // namespace beechhill::maintenance
