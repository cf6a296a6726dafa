/// What decides in an emulated proxy: the real module, or one of the plain policies that it is
/// measured against. All use the module's own events and actions.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "beechhill/balancer.h"

namespace beechhill::emulator {

/// One proxy's decisions. Single-threaded.
class Policy {
 public:
  virtual ~Policy() = default;
  /// As Balancer::handle: one event at `now`, which never goes back; actions are appended in order.
  virtual void handle(Time now, const Event& event, std::vector<Action>& actions) = 0;
  /// As Balancer::endpoint_stats, of a policy that learns.
  virtual EndpointStats known(EndpointId) const { return {}; }
};

/// The true state of the backends, for the oracle policy alone.
class TrueBackendState {
 public:
  virtual ~TrueBackendState() = default;
  /// Seconds until a core would be free for new work, were it sent now; a large number for a
  /// backend that is silent, down or overloaded, or fails what it gets.
  virtual double wait_s(Time now, std::uint32_t tier, EndpointId node) const = 0;
  /// Whether a cold backend can take one more job without coming near collapse.
  virtual bool spares(Time now, std::uint32_t tier, EndpointId node) const = 0;
};

/// Makes the policy of one proxy, at its start and at each restart.
using PolicyFactory = std::function<std::unique_ptr<Policy>(Time now, const Settings& settings,
                                                            const TrueBackendState& truth,
                                                            std::vector<Action>& actions)>;

/// Names: module, random, round_robin, two_choices, least_outstanding, weighted, oracle.
const std::vector<std::string>& policy_names();
/// Null where the name is unknown. `truth` must outlive the policy.
std::unique_ptr<Policy> make_policy(const std::string& name, Time now, const Settings& settings,
                                    const TrueBackendState& truth, std::vector<Action>& actions);

}  // namespace beechhill::emulator
