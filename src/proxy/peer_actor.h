// A backend over HTTP/1.1: its connections and the route steps on them.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "net/socket.h"
#include "proxy/fd_budget.h"
#include "proxy/log.h"
#include "proxy/operation.h"

namespace beechhill::proxy {

class PeerActor;

// What all peers share: the descriptors they may hold, and each other's idle connections.
struct PeerPool {
  explicit PeerPool(std::size_t descriptors) : budget(descriptors) {}
  FdBudget budget;
  std::vector<PeerActor*> peers;
};

class PeerActor : public Peer {
 public:
  PeerActor(runtime::Scheduler& scheduler, DecisionBox& decisions, PeerPool& pool, const Settings& settings,
            ServerId server, sockaddr_in address);
  ~PeerActor() override;

  [[nodiscard]] bool post(PeerMessage&& message) override;

 private:
  using StepKey = std::pair<RequestId, std::uint32_t>;
  struct Connection {  // logs its end
    Connection(FdBudget& budget, sockaddr_in to) : slot(budget), address(to) {}
    ~Connection() { log_end("peer", net::to_string(address), reason, operations); }
    FdBudget::Slot slot;
    sockaddr_in address;
    std::unique_ptr<net::Stream> stream;
    EndReason reason = EndReason::kStepCancelled;  // what it is if its route step is destroyed
    std::uint64_t operations = 0;
    bool names_requests = false;  // its last answer began with its request's id
    runtime::TimePoint idle_since{};
  };
  struct Exchanged {
    Result result = Result::kConnectFailed;
    LoadReport report;
    Reply reply;
  };

  runtime::Task<> run();
  runtime::Task<> run_step(RouteStep step);
  runtime::Task<> run_probe();
  runtime::Task<> deliver(DecisionMessage message);
  runtime::Task<Exchanged> exchange(const Payload& payload, Time connect_by, Time deadline);
  runtime::Task<Exchanged> receive(Connection& connection, std::string_view id, Time deadline,
                                   bool& reusable);

  void on(RouteStep& step);
  void on(CancelStep& cancel);
  void on(ProbePeer&);
  void on(PeerStatus& status);
  bool may_send() const;
  std::unique_ptr<Connection> take_idle();
  void drop_idle(std::size_t index, EndReason reason);
  bool make_room();
  void sweep();

  runtime::Scheduler& scheduler_;
  DecisionBox& decisions_;
  PeerPool& pool_;
  const Settings& settings_;
  ServerId server_;
  PeerStatus status_;
  runtime::Mailbox<PeerMessage> inbox_;
  std::vector<std::unique_ptr<Connection>> idle_;  // the most recently used last
  std::map<StepKey, runtime::TaskId> steps_;
  runtime::TaskId actor_;
};

}  // namespace beechhill::proxy
