/// The discovery service of the emulated deployment: the state of the backends that it publishes,
/// and when each proxy receives it.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "emulator/random.h"
#include "emulator/scenario.h"

namespace beechhill::emulator {

struct Simulation;

/// Owns the updates sent to the proxies, the history of backend changes, and the extra delay that a
/// stale-list fault adds.
class DiscoveryFeed {
 public:
  explicit DiscoveryFeed(Simulation& sim);

  /// Sends a backend's new state to every proxy of its tier. Updates reach each proxy in order,
  /// after the scenario's discovery lag and `extra_delay`.
  void publish(std::uint32_t tier, const Endpoint& endpoint, Duration extra_delay = Duration{0});
  /// Delivers an update to a proxy: the update with this number, or the present full list if there
  /// is none. The update is lost during a fault of discovery for this proxy; the proxy gets the
  /// full list when the fault ends.
  void deliver(std::uint32_t proxy, std::optional<std::size_t> update);
  /// The endpoint list as of the time `at`: the latest change of each backend up to then.
  /// O(backends + changes).
  std::vector<Endpoint> endpoints_at(std::uint32_t tier, Time at) const;
  /// Sets the delay that is added to the lag of every update from now on.
  void set_staleness(Duration staleness) { staleness_ = staleness; }

 private:
  struct Change {
    Time at{0};
    std::uint32_t tier = 0;
    Endpoint endpoint;
  };

  Simulation& sim_;
  Stream random_;
  std::vector<EndpointUpdate> updates_;
  std::vector<Change> changes_;
  Duration staleness_{0};
};

}  // namespace beechhill::emulator
