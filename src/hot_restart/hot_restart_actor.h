// The actor between operators' commands, the actors of this process that execute them, and the
// other processes of this proxy: a command at one process takes effect in all.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "hot_restart/shared_state_directory.h"
#include "proxy/messages.h"

namespace beechhill::hot_restart {

struct OperatorCommand {
  StateChange change = StateChange::kExclude;
  /// Of kExclude and kInclude.
  std::string backend_id;
  /// Completed with 200 once the command is executed here and stored for the other processes; else
  /// with the owner's status, or 503.
  std::shared_ptr<runtime::PendingReply> reply;
};
using OperatorCommandMailbox = runtime::Mailbox<OperatorCommand>;

/// Runs on the scheduler's thread.
class HotRestartActor {
 public:
  /// What this process publishes about itself.
  struct ProcessStatus {
    /// It accepts clients.
    bool ready = false;
    /// File descriptors that its connections hold.
    std::uint32_t descriptors = 0;
  };
  /// Called at each synchronization with the status of the other processes; returns this process's.
  using StatusExchange =
      std::function<ProcessStatus(const SharedStateDirectory::ProcessGroupStatus&)>;

  /// `directory` is null where there are no other processes. References must outlive the actor.
  HotRestartActor(runtime::Scheduler& scheduler, std::unique_ptr<SharedStateDirectory> directory,
                  proxy::DecisionMailbox& decisions, proxy::ListenerMailbox& listener,
                  StatusExchange exchange_status);

  OperatorCommandMailbox& inbox() { return inbox_; }
  runtime::Task<> run();

  /// Whether the other processes can see that this one is ready. If it reported readiness earlier,
  /// its predecessor would end as if it had no successor.
  bool readiness_published() const { return !directory_ || readiness_published_; }

  /// Reads the directory, at a planned end: whether a later process accepts the clients.
  bool has_successor();

 private:
  runtime::Task<> execute(OperatorCommand command);
  bool post_to_owner(const OperatorCommand& command,
                     const std::shared_ptr<runtime::PendingReply>& reply);
  runtime::Task<bool> store(const OperatorCommand& command);
  void synchronize();
  void forward_state_changes();
  bool post_exclusion_changes(const SharedState& current);
  bool post_drain_change(const SharedState& current);

  runtime::Scheduler& scheduler_;
  std::unique_ptr<SharedStateDirectory> directory_;
  proxy::DecisionMailbox& decisions_;
  proxy::ListenerMailbox& listener_;
  StatusExchange exchange_status_;
  OperatorCommandMailbox inbox_;
  bool readiness_published_ = false;
  /// The shared state as this process's actors have it.
  SharedState forwarded_state_;
};

}  // namespace beechhill::hot_restart
