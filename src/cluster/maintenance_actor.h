// Sole owner of this proxy's part in taking machines out: carries what Works says to the other
// proxies, the disk, and the actors here.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <variant>

#include "cluster/disk_raft_storage.h"
#include "cluster/gossip_actor.h"
#include "config/operator_file.h"
#include "maintenance/maintenance_coordinator.h"
#include "proxy/messages.h"

namespace beechhill::maintenance {

struct SubmitCommand {
  Command command;
  std::shared_ptr<runtime::PendingTextReply> reply;
};
struct QueryStatus {
  std::string request;  // empty: all
  std::shared_ptr<runtime::PendingTextReply> reply;
};
using MaintenanceMessage = std::variant<membership::PayloadReceived, membership::ProcessResumed,
                                        SubmitCommand, QueryStatus>;
using MaintenanceMailbox = runtime::Mailbox<MaintenanceMessage>;

class MaintenanceActor {
 public:
  // `look`: what this proxy sees; `drain`: called when this proxy itself is to take no clients any
  // more, and when it may again. What is referred to must outlive the actor. Throws
  // std::runtime_error where a voter's folder cannot be used.
  MaintenanceActor(runtime::Scheduler& scheduler, CoordinatorSettings settings, std::string folder,
                   std::uint64_t life, membership::GossipMailbox& talk,
                   proxy::DecisionMailbox& decisions, std::function<LocalView()> look,
                   std::function<void(bool)> drain);

  MaintenanceMailbox& inbox() { return inbox_; }
  runtime::Task<> run();

 private:
  void begin();
  void on(const membership::PayloadReceived& heard);
  void on(const membership::ProcessResumed&);
  void on(SubmitCommand& order);
  void on(QueryStatus& question);
  void mind_storage();
  void pass_on();

  runtime::Scheduler& scheduler_;
  const CoordinatorSettings settings_;
  const std::string folder_;
  const std::uint64_t life_;
  const bool votes_;
  membership::GossipMailbox& talk_;
  proxy::DecisionMailbox& decisions_;
  const std::function<LocalView()> look_;
  const std::function<void(bool)> drain_;
  MaintenanceMailbox inbox_;
  std::unique_ptr<DiskRaftStorage> storage_;
  std::unique_ptr<MaintenanceCoordinator> works_;
  bool led_ = false;
  Time look_at_{0};
  std::map<std::string, Time> told_;
  Time told_serve_until_ = Time::min();
  bool told_out_ = false, halted_said_ = false;
};

}  // namespace beechhill::maintenance
