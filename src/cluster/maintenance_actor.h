// Runs this proxy's maintenance coordinator. Exchanges its messages with the other proxies, writes
// its records to disk, and publishes its permissions to the actor that decides on requests.
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

/// A command from an operator. The reply has status 200 if the command was applied, 409 and a
/// reason code if it was rejected, and 503 if no decision was made.
struct SubmitCommand {
  Command command;
  std::shared_ptr<runtime::PendingTextReply> reply;
};
/// A query from an operator. The reply is JSON.
struct QueryStatus {
  /// Id of a maintenance request; empty selects all requests.
  std::string request;
  std::shared_ptr<runtime::PendingTextReply> reply;
};
using MaintenanceMessage = std::variant<membership::PayloadReceived, membership::ProcessResumed,
                                        SubmitCommand, QueryStatus>;
using MaintenanceMailbox = runtime::Mailbox<MaintenanceMessage>;

/// Owns the maintenance coordinator of this proxy and its storage. Runs on the scheduler's thread.
class MaintenanceActor {
 public:
  /// `observe` returns the state that this proxy observes locally. `set_draining` is called with
  /// true when this proxy must stop accepting clients, and with false when it may accept them
  /// again. Referenced objects must outlive the actor. Throws RaftStorageError on a voter whose
  /// storage directory cannot be used.
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
  /// Logs a halt of the voter, sets a rolled-back storage aside, and creates a new storage when the
  /// leader readmits the voter. Until then a voter without usable storage acts as a non-voting
  /// proxy.
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
  /// Holds a pointer to `storage_`.
  std::unique_ptr<MaintenanceCoordinator> coordinator_;
  Time next_observation_{0};
  /// The permissions last published: for each machine in maintenance, the time until which new
  /// requests may be sent to it; Time::min() if sending is not permitted.
  std::map<std::string, Time> published_machines_;
  /// The time last published until which this proxy may send requests to any backend.
  Time published_serving_ = Time::min();
  /// The states that were last passed on or logged.
  bool was_self_in_maintenance_ = false;
  bool was_leader_ = false;
  bool halt_logged_ = false;
};

}  // namespace beechhill::maintenance
