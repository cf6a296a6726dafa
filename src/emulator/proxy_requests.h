/// The requests in flight at the proxies: what goes to each proxy's policy, and what becomes of the
/// actions that it returns.
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

/// Names one attempt of a request by its number, from 0.
struct AttemptId {
  RequestId request = 0;
  std::uint32_t attempt = 0;
};

/// What the proxy learns at the end of an attempt.
struct AttemptResult {
  Result result = Result::kOk;
  LoadReport report;
  /// Core-seconds at speed 1 that the answer is worth.
  double useful_work_s = 0;
};

/// Owns the requests. Follows the real proxy in what is skipped, what a time-out is, and who owes
/// the final answer.
class ProxyRequests {
 public:
  explicit ProxyRequests(Simulation& sim) : sim_(sim) {}

  std::size_t in_flight() const { return requests_.live(); }
  /// Null where the request is over. Valid until the next open().
  ProxyRequest* find(RequestId id) { return requests_.find(id); }

  /// A proxy takes a request.
  void open(ProxyRequest request);
  /// Its proxy has died: the request is gone, and its client, if it has no answer yet, learns so.
  void lose(RequestId id);
  /// Gives an event to a proxy's policy and performs what it returns.
  void notify(std::uint32_t proxy, const Event& event);
  void perform(std::uint32_t proxy, const std::vector<Action>& actions);

  /// An attempt has ended as the proxy sees it. Does nothing where it has ended before.
  void complete_attempt(const AttemptId& id, const AttemptResult& result);
  /// The final answer, to the job or the client that waits for it.
  void deliver_answer(const ProxyRequest& request, const ClientAttemptResult& result);
  /// Has AnswerOverdue come after the grace.
  void schedule_overdue(RequestId id);

  void on_response(JobId id);
  void on_deadline(RequestId id);
  void on_answer_overdue(RequestId id);
  void on_health_check_done(const HealthCheckDone& check);
  /// The connections that the fault affects end. Backends go on with what they have; the answers
  /// find nobody.
  void reset_connections(const LinkFault& fault);

 private:
  void apply(std::uint32_t proxy, const StartAttempt& action);
  void apply(std::uint32_t proxy, const Cancel& action);
  void apply(std::uint32_t proxy, const Reject& action);
  void apply(std::uint32_t proxy, const Fail& action);
  void apply(std::uint32_t proxy, const HealthCheck& action);
  void apply(std::uint32_t proxy, const SetTimer& action);
  // Updates are pushed here.
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
  // Attempts that were not sent at all, to be reported once all actions have been performed.
  std::vector<AttemptId> skipped_attempts_;
  bool reporting_skipped_ = false;
};

}  // namespace beechhill::emulator
