// The actor that makes an operator's command that was sent to one process take effect in all
// processes of the proxy: it passes commands to the actors that execute them and shares them with
// the other processes.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "hot_restart/shared_state_directory.h"
#include "proxy/messages.h"

namespace beechhill::hot_restart {

/// An operator's command that changes the shared state.
struct OperatorCommand {
  StateChange change = StateChange::kExclude;
  /// Id of the backend to exclude or include; unused by the other changes.
  std::string backend_id;
  /// Completed with 200 once the command has been executed in this process and stored for the
  /// others. Otherwise completed with the status of the actor that executes the command, or with
  /// 503.
  std::shared_ptr<runtime::PendingReply> reply;
};
using OperatorCommandMailbox = runtime::Mailbox<OperatorCommand>;

/// Executes operators' commands and synchronizes this process with the other processes of the
/// proxy. Runs on the scheduler's thread.
class HotRestartActor {
 public:
  /// The status that this process publishes to the others.
  struct ProcessStatus {
    /// Whether the process accepts clients.
    bool ready = false;
    /// Number of file descriptors used by connections, plus those that the process reserves for
    /// other uses.
    std::uint32_t descriptors = 0;
  };
  /// Called at each synchronization with the status of the other processes. Returns the status of
  /// this process.
  using StatusExchange =
      std::function<ProcessStatus(const SharedStateDirectory::ProcessGroupStatus&)>;

  /// `directory` is null if the proxy has only this process. Referenced objects must outlive the
  /// actor.
  HotRestartActor(runtime::Scheduler& scheduler, std::unique_ptr<SharedStateDirectory> directory,
                  proxy::DecisionMailbox& decisions, proxy::ListenerMailbox& listener,
                  StatusExchange exchange_status);

  OperatorCommandMailbox& inbox() { return inbox_; }
  runtime::Task<> run();

  /// Whether the other processes can see that this one is ready. Readiness must not be reported to
  /// the platform earlier: the platform could then stop the predecessor, which would shut down as
  /// if it had no successor.
  bool readiness_published() const { return !directory_ || readiness_published_; }

  /// Reads the directory and returns whether a process that started later is alive and accepts
  /// clients. Always false without a directory. Blocks on the local disk.
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
  /// The shared state that was last posted to the actors of this process.
  SharedState forwarded_state_;
};

}  // namespace beechhill::hot_restart
