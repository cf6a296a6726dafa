// The actor of one HTTP/1.1 backend. It owns the connections to the backend and runs attempts and
// health checks on them.
#pragma once

#include <netinet/in.h>

#include <cstdint>
#include <map>
#include <memory>
#include <utility>

#include "proxy/backend_exchange.h"
#include "proxy/backend_messages.h"
#include "proxy/backend_pool.h"
#include "proxy/decision_messages.h"
#include "proxy/idle_connections.h"
#include "runtime/mailbox.h"
#include "runtime/scheduler.h"

namespace beechhill::proxy {

/// The actor of one HTTP/1.1 backend. It runs from construction to destruction. The destructor
/// closes the connections and cancels outstanding attempts without posting their outcomes. All
/// members must be called on the scheduler's thread.
class BackendActor : public Backend {
 public:
  /// Posts the outcome of each attempt and health check to `decisions`. All arguments that are
  /// passed by reference must outlive the actor.
  BackendActor(runtime::Scheduler& scheduler, DecisionMailbox& decisions, BackendPool& pool,
               const Settings& settings, EndpointId endpoint, sockaddr_in address);
  ~BackendActor() override;

  [[nodiscard]] bool post(BackendMessage&& message) override;

 private:
  using AttemptKey = std::pair<RequestId, std::uint32_t>;

  runtime::Task<> run();
  runtime::Task<> run_attempt(AttemptRequest attempt);
  runtime::Task<> run_health_check();
  runtime::Task<ExchangeResult> exchange(const Payload& payload, Time connect_deadline,
                                         Time deadline, const AttemptRequest* attempt);
  runtime::Task<std::unique_ptr<BackendConnection>> acquire_connection(Time connect_deadline,
                                                                       Time write_deadline);
  runtime::Task<std::unique_ptr<BackendConnection>> take_idle(Time deadline);
  runtime::Task<std::unique_ptr<BackendConnection>> connect(Time connect_deadline);

  void on(AttemptRequest& attempt);
  void on(CancelAttempt& cancel);
  void on(CheckHealth&);
  void on(BackendStatus& status);

  bool may_send() const;
  bool is_current(const BackendConnection& connection) const;
  Result unsent_result(const AttemptRequest* attempt) const;

  runtime::Scheduler& scheduler_;
  DecisionMailbox& decisions_;
  BackendPool& pool_;
  const Settings& settings_;
  EndpointId endpoint_;
  BackendStatus status_;
  runtime::Mailbox<BackendMessage> inbox_;
  IdleConnections idle_connections_;
  std::map<AttemptKey, runtime::TaskId> attempts_;
  runtime::TaskId actor_task_;
};

}  // namespace beechhill::proxy
