// Carries operators' orders to the actors that own the matter, and to the other processes of this
// proxy; and what those are told, here.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "handover/folder.h"
#include "proxy/operation.h"

namespace beechhill::handover {

struct Order {
  Change change = Change::kExclude;
  std::string host;
  std::shared_ptr<proxy::Asked> asked;  // answered once it is done here and written for the others
};
using OrderBox = runtime::Mailbox<Order>;

class HandoverActor {
 public:
  // `folder` may be null: then there are no other processes. `look` is called every kLook with what
  // the others are, and returns what to tell them. What is referred to must outlive the actor.
  struct Own {
    bool ready = false;
    std::uint32_t descriptors = 0;
  };
  using Look = std::function<Own(const Folder::Others&)>;
  HandoverActor(runtime::Scheduler& scheduler, std::unique_ptr<Folder> folder,
                proxy::DecisionBox& decisions, proxy::DoorBox& door, Look look);

  OrderBox& inbox() { return inbox_; }
  runtime::Task<> run();
  // Whether the others have been told that this process takes clients: before that its yes would
  // have the old one end as if it were alone.
  bool told_ready() const { return !folder_ || told_ready_; }
  // Asked at a planned end, at once: whether a later process takes the clients.
  bool succeeded();

 private:
  runtime::Task<> carry_out(Order order);
  void follow();

  runtime::Scheduler& scheduler_;
  std::unique_ptr<Folder> folder_;
  proxy::DecisionBox& decisions_;
  proxy::DoorBox& door_;
  Look look_;
  OrderBox inbox_;
  bool told_ready_ = false;
  SharedState followed_;  // what the actors here have been told
};

}  // namespace beechhill::handover
