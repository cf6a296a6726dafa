/// The decision logic of an emulated proxy: the production balancer, or one of the baseline
/// policies that it is compared with. All of them use the balancer's events and actions.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "beechhill/balancer.h"

namespace beechhill::emulator {

/// The decisions of one proxy. Single-threaded.
class Policy {
 public:
  virtual ~Policy() = default;
  /// Processes one event at `now`, which never decreases, and appends the resulting actions in
  /// order. Same contract as Balancer::handle.
  virtual void handle(Time now, const Event& event, std::vector<Action>& actions) = 0;
  /// Returns the statistics that the policy has collected on a backend, as
  /// Balancer::endpoint_stats() does. Baseline policies return empty statistics.
  virtual EndpointStats endpoint_stats(EndpointId) const { return {}; }
};

/// The true state of the backends. Used only by the oracle policy.
class TrueBackendState {
 public:
  virtual ~TrueBackendState() = default;
  /// Estimated seconds until a core is free for work that is sent now. A very large number for a
  /// backend that is silent, down or overloaded, or that fails many of its requests.
  virtual double wait_s(Time now, std::uint32_t tier, EndpointId node) const = 0;
  /// Whether the backend is warm, or is cold but can take one more job without risk of collapse.
  virtual bool has_headroom(Time now, std::uint32_t tier, EndpointId node) const = 0;
};

/// Creates the policy of a proxy. Called each time the proxy's process starts.
using PolicyFactory = std::function<std::unique_ptr<Policy>(Time now, const Settings& settings,
                                                            const TrueBackendState& true_state,
                                                            std::vector<Action>& actions)>;

/// Returns the names of the policies: module, random, round_robin, two_choices, least_outstanding,
/// weighted, oracle. "module" is the balancer under test.
const std::vector<std::string>& policy_names();
/// Returns null if the name is unknown. `true_state` must outlive the policy.
std::unique_ptr<Policy> make_policy(const std::string& name, Time now, const Settings& settings,
                                    const TrueBackendState& true_state,
                                    std::vector<Action>& actions);

}  // namespace beechhill::emulator
