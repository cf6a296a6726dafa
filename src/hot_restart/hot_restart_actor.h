// Carries operators' orders to the actors that own the matter, and to the other processes of this
// proxy; and what those are told, here.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "hot_restart/shared_state_directory.h"
#include "proxy/messages.h"

namespace beechhill::hot_restart {

struct OperatorCommand {
  StateChange change = StateChange::kExclude;
  std::string backend_id;
  std::shared_ptr<runtime::PendingReply>
      reply;  // answered once it is done here and written for the others
};
using OperatorCommandMailbox = runtime::Mailbox<OperatorCommand>;

class HotRestartActor {
 public:
  // `folder` may be null: then there are no other processes. `look` is called every kLook with what
  // the others are, and returns what to tell them. What is referred to must outlive the actor.
  struct ProcessStatus {
    bool ready = false;
    std::uint32_t descriptors = 0;
  };
  using StatusExchange =
      std::function<ProcessStatus(const SharedStateDirectory::ProcessGroupStatus&)>;
  HotRestartActor(runtime::Scheduler& scheduler, std::unique_ptr<SharedStateDirectory> folder,
                  proxy::DecisionMailbox& decisions, proxy::ListenerMailbox& door,
                  StatusExchange look);

  OperatorCommandMailbox& inbox() { return inbox_; }
  runtime::Task<> run();
  // Whether the others have been told that this process takes clients: before that its yes would
  // have the old one end as if it were alone.
  bool readiness_published() const { return !folder_ || told_ready_; }
  // Asked at a planned end, at once: whether a later process takes the clients.
  bool has_successor();

 private:
  runtime::Task<> carry_out(OperatorCommand order);
  void follow();

  runtime::Scheduler& scheduler_;
  std::unique_ptr<SharedStateDirectory> folder_;
  proxy::DecisionMailbox& decisions_;
  proxy::ListenerMailbox& door_;
  StatusExchange look_;
  OperatorCommandMailbox inbox_;
  bool told_ready_ = false;
  SharedState followed_;  // what the actors here have been told
};

}  // namespace beechhill::hot_restart
