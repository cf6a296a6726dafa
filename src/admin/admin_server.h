// Where operators call: one call to a connection, each carried to the actor that owns the matter
// and answered once that actor has done it. Its descriptors are its own, so that a door full of
// clients keeps no operator waiting.
#pragma once

#include <functional>
#include <list>
#include <memory>
#include <string>

#include "admin/command.h"
#include "hot_restart/hot_restart_actor.h"
#include "net/socket.h"
#include "proxy/messages.h"
#include "proxy/telemetry.h"

namespace beechhill::admin {

// Callers that the door holds at a time; further ones wait in the backlog until the longest silent
// one is let go.
inline constexpr std::size_t kMaxConnections = 16;

// Calls on membership and maintenance, where this process has them: answers `asked`, with a body.
// Null: they are unknown here.
using ClusterHandler =
    std::function<void(const Command& call, std::shared_ptr<runtime::PendingTextReply> asked)>;

class AdminServer {
 public:
  // What is referred to must outlive the door. `classes` names them by ClassId; `serving` says
  // whether this process takes clients. Throws std::system_error where the address cannot be
  // listened on.
  AdminServer(runtime::Scheduler& scheduler, const sockaddr_in& address,
              proxy::DecisionMailbox& decisions, hot_restart::OperatorCommandMailbox& orders,
              const proxy::Telemetry& telemetry, const std::vector<std::string>& classes,
              std::function<bool()> serving, ClusterHandler group = {});

  sockaddr_in address() const { return listener_.address(); }
  runtime::Task<> run();

 private:
  struct Caller {
    explicit Caller(runtime::Scheduler& scheduler, net::Fd fd) : stream(scheduler, std::move(fd)) {}
    net::Stream stream;
    runtime::Notifier let_go;
    runtime::TimePoint came = runtime::Clock::now();
    bool asking = true;  // its call is not read whole yet
  };

  runtime::Task<> serve(std::shared_ptr<Caller> caller);
  runtime::Task<> converse(Caller& caller);
  runtime::Task<std::string> answer_to(const std::string& method, const std::string& target);
  runtime::Task<std::string> figures();
  runtime::Task<std::string> of_group(const Command& call);
  bool let_one_go();

  runtime::Scheduler& scheduler_;
  proxy::DecisionMailbox& decisions_;
  hot_restart::OperatorCommandMailbox& orders_;
  const proxy::Telemetry& telemetry_;
  const std::vector<std::string>& classes_;
  std::function<bool()> serving_;
  const ClusterHandler group_;
  net::Listener listener_;
  std::list<std::shared_ptr<Caller>> callers_;  // the longest here first
  runtime::Notifier left_;
};

}  // namespace beechhill::admin
