// Runs this proxy's maintenance coordinator: carries its messages to and from the other proxies,
// its records to the disk, and its permissions to the actor that decides on requests.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <variant>

#include "cluster/disk_raft_storage.h"
#include "cluster/gossip_actor.h"
#include "config/operator_file.h"
#include "maintenance/maintenance_coordinator.h"
#include "proxy/messages.h"

namespace beechhill::maintenance {

/// An operator's command. The reply is 200 where it was applied, 409 with a reason code where it
/// was rejected, and 503 where it was not decided on.
struct SubmitCommand {
  Command command;
  std::shared_ptr<runtime::PendingTextReply> reply;
};
/// An operator's query; the reply is JSON.
struct QueryStatus {
  /// Id of a request; empty: all.
  std::string request;
  std::shared_ptr<runtime::PendingTextReply> reply;
};
using MaintenanceMessage = std::variant<membership::PayloadReceived, membership::ProcessResumed,
                                        SubmitCommand, QueryStatus>;
using MaintenanceMailbox = runtime::Mailbox<MaintenanceMessage>;

/// Sole owner of the coordinator and its storage. Runs on the scheduler's thread.
class MaintenanceActor {
 public:
  /// `observe` returns what this proxy sees; `set_draining` is called with true when this proxy is
  /// to accept no clients any more, and with false when it may again. What is referred to must
  /// outlive the actor. Throws RaftStorageError on a voter whose directory cannot be used.
  MaintenanceActor(runtime::Scheduler& scheduler, CoordinatorSettings settings,
                   std::string storage_directory, std::uint64_t boot_id,
                   membership::GossipMailbox& gossip, proxy::DecisionMailbox& decisions,
                   std::function<LocalView()> observe, std::function<void(bool)> set_draining);

  MaintenanceMailbox& inbox() { return inbox_; }
  runtime::Task<> run();

 private:
  void start_coordinator();
  void on(const membership::PayloadReceived& received);
  void on(const membership::ProcessResumed& resumed);
  void on(SubmitCommand& message);
  void on(QueryStatus& message);
  void take_messages();
  /// A voter without usable storage goes on as any other proxy until the leader readmits it.
  void check_storage();
  void create_storage(std::uint32_t generation);
  void send_messages();
  void publish_permissions();
  void report_changes();
  Time next_wake_up() const;

  runtime::Scheduler& scheduler_;
  const CoordinatorSettings settings_;
  const std::string storage_directory_;
  const std::uint64_t boot_id_;
  const bool is_voter_;
  membership::GossipMailbox& gossip_;
  proxy::DecisionMailbox& decisions_;
  const std::function<LocalView()> observe_;
  const std::function<void(bool)> set_draining_;
  MaintenanceMailbox inbox_;
  std::unique_ptr<DiskRaftStorage> storage_;
  /// Refers to the storage.
  std::unique_ptr<MaintenanceCoordinator> coordinator_;
  Time next_observation_{0};
  /// As last published: until when each machine with a workflow may get new work.
  std::map<std::string, Time> published_machines_;
  Time published_serving_ = Time::min();
  /// As last reported.
  bool was_self_out_ = false;
  bool was_leader_ = false;
  bool halt_logged_ = false;
};

}  // namespace beechhill::maintenance
