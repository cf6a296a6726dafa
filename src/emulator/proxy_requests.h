/// The requests in flight at the proxies: passes events to each proxy's policy and performs the
/// actions that the policy returns.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "emulator/client_population.h"
#include "emulator/event_queue.h"
#include "emulator/network.h"
#include "emulator/proxy_fleet.h"
#include "emulator/slab.h"

namespace beechhill::emulator {

struct BackendJob;

/// Identifies an attempt by its request and its index in the request, counted from 0.
struct AttemptId {
  RequestId request = 0;
  std::uint32_t attempt = 0;
};

/// The result of an attempt as its proxy receives it.
struct AttemptResult {
  Result result = Result::kOk;
  LoadReport report;
  /// Work that contributed to the answer, in core-seconds at speed 1.
  double useful_work_s = 0;
};

/// Owns the requests. Follows the rules of the real proxy for skipped attempts, time-outs and final
/// answers.
class ProxyRequests {
 public:
  explicit ProxyRequests(Simulation& sim) : sim_(sim) {}

  std::size_t in_flight() const { return requests_.live(); }
  /// Returns null if the request is over. The pointer is valid until the next open().
  ProxyRequest* find(RequestId id) { return requests_.find(id); }

  /// Accepts a request at its proxy.
  void open(ProxyRequest request);
  /// Removes a request whose proxy has died. A client that still waits gets a lost connection.
  void lose(RequestId id);
  /// Passes an event to a proxy's policy and performs the actions that it returns.
  void notify(std::uint32_t proxy, const Event& event);
  void perform(std::uint32_t proxy, const std::vector<Action>& actions);

  /// Ends an attempt from the proxy's point of view. Does nothing if it has already ended.
  void complete_attempt(const AttemptId& id, const AttemptResult& result);
  /// Delivers the final answer to the job or client that waits for it.
  void deliver_answer(const ProxyRequest& request, const ClientAttemptResult& result);
  /// Schedules AnswerOverdue for the end of an answer grace period that begins now.
  void schedule_overdue(RequestId id);

  void on_response(JobId id);
  void on_deadline(RequestId id);
  void on_answer_overdue(RequestId id);
  void on_health_check_done(const HealthCheckDone& check);
  /// Resets the connections that the fault affects. Backends continue with the requests that they
  /// have, and their answers are dropped.
  void reset_connections(const LinkFault& fault);

 private:
  void apply(std::uint32_t proxy, const StartAttempt& action);
  void apply(std::uint32_t proxy, const Cancel& action);
  void apply(std::uint32_t proxy, const Reject& action);
  void apply(std::uint32_t proxy, const Fail& action);
  void apply(std::uint32_t proxy, const HealthCheck& action);
  void apply(std::uint32_t proxy, const SetTimer& action);
  // Does nothing, because emulated discovery sends all updates without a watch request.
  void apply(std::uint32_t, const WatchEndpoints&) {}

  void send(ProxyState& proxy, ProxyRequest& request, const AttemptId& id);
  void count_attempt(const ProxyState& proxy, EndpointId endpoint);
  bool take_idle_connection(ProxyState& proxy, EndpointId endpoint);
  void answer(std::uint32_t proxy, RequestId id, const ClientAttemptResult& result);
  void report_skipped_attempts();
  void remove_if_done(RequestId id);
  void remove(RequestId id);

  Simulation& sim_;
  Slab<ProxyRequest> requests_;
  // Attempts that were not sent. They are reported to the policy after all actions have been
  // performed.
  std::vector<AttemptId> skipped_attempts_;
  bool reporting_skipped_ = false;
};

}  // namespace beechhill::emulator
