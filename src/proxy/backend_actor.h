// A backend over HTTP/1.1: its connections and the attempts on them.
#pragma once

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "http/parser.h"
#include "net/socket.h"
#include "proxy/connection_log.h"
#include "proxy/descriptor_budget.h"
#include "proxy/messages.h"
#include "proxy/telemetry.h"

namespace beechhill::proxy {

class BackendActor;

// What all peers share: the descriptors they may hold, and each other's idle connections.
struct BackendPool {
  BackendPool(std::size_t descriptors, BodyBudget& pipes, Telemetry& figures,
              const Settings& settings);
  DescriptorBudget budget;
  BodyBudget& body_budget;
  Telemetry& telemetry;
  std::vector<BackendActor*> backends;
  Duration max_response_gap = Duration::max();  // the longest within an answer that has begun
  std::function<bool()> endpoints_are_current = [] {
    return true;
  };  // whether the list held may still be acted on
};

class BackendActor : public Backend {
 public:
  BackendActor(runtime::Scheduler& scheduler, DecisionMailbox& decisions, BackendPool& pool,
               const Settings& settings, EndpointId server, sockaddr_in address);
  ~BackendActor() override;

  [[nodiscard]] bool post(BackendMessage&& message) override;

 private:
  using AttemptKey = std::pair<RequestId, std::uint32_t>;
  struct Connection;
  using IdleList = std::list<std::unique_ptr<Connection>>;
  struct Connection final : runtime::IoWatcher {  // logs its end
    Connection(BackendActor& peer, sockaddr_in to)
        : owner(peer), slot(peer.pool_.budget), address(to) {}
    ~Connection() { log_end("peer", net::to_string(address), reason, operations); }
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;
    void on_readable() override;  // only while it is idle
    BackendActor& owner;
    DescriptorBudget::Slot slot;
    sockaddr_in address;
    std::unique_ptr<net::Stream> stream;
    EndReason reason = EndReason::kStepCancelled;  // what it is if its attempt is destroyed
    std::uint64_t operations = 0;
    bool names_requests = false;  // its last answer began with its request's id
    runtime::TimePoint idle_since{};
    IdleList::iterator place;  // while it is idle
    std::optional<std::size_t>
        stirred_at;  // and has stirred: where it stands in the owner's list of such
  };
  struct Exchanged {
    Result result = Result::kConnectFailed;
    LoadReport report;
    BackendResponse reply;
    bool told = false;  // the outcome is delivered already, with the answer's first part
  };

  runtime::Task<> run();
  runtime::Task<> run_attempt(AttemptRequest attempt);
  runtime::Task<> run_probe();
  runtime::Task<> deliver(DecisionMessage message);
  // `attempt`: whose outcome may be delivered before the answer's end; null for a probe.
  runtime::Task<Exchanged> exchange(const Payload& payload, Time connect_by, Time deadline,
                                    const AttemptRequest* attempt);
  runtime::Task<net::Io> send_rest(net::Stream& stream, const Payload& payload);
  runtime::Task<Exchanged> receive(Connection& connection, std::string_view id, Time deadline,
                                   const AttemptRequest* attempt, bool& reusable);
  runtime::Task<bool> pass_on(Connection& connection, http::Parser& parser, std::string& buffer,
                              Exchanged& got, const AttemptRequest& attempt);

  void on(AttemptRequest& attempt);
  void on(CancelAttempt& cancel);
  void on(CheckHealth&);
  void on(BackendStatus& status);
  bool may_send() const;
  Result unsent() const;
  std::unique_ptr<Connection> take_idle();
  void keep_idle(std::unique_ptr<Connection> connection);
  std::unique_ptr<Connection> leave_idle(IdleList::iterator place);
  void drop_idle(IdleList::iterator place, EndReason reason);
  void drop_all_idle();
  void forget_stirred(Connection& connection);
  bool make_room();
  void sweep();
  runtime::TimePoint oldest_ends() const;

  runtime::Scheduler& scheduler_;
  DecisionMailbox& decisions_;
  BackendPool& pool_;
  const Settings& settings_;
  EndpointId server_;
  BackendStatus status_;
  runtime::Mailbox<BackendMessage> inbox_;
  IdleList idle_;                     // the most recently used last
  std::vector<Connection*> stirred_;  // idle ones that the backend has closed or written to
  std::map<AttemptKey, runtime::TaskId> attempts_;
  runtime::TaskId actor_;
};

}  // namespace beechhill::proxy
