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
  /// Delivers a message to a proxy: the update with the index `update`, or the present full
  /// endpoint list if `update` is empty. The message is lost while a discovery fault affects the
  /// proxy; the proxy receives the full list when the fault ends.
  void deliver(std::uint32_t proxy, std::optional<std::size_t> update);
  /// Returns the endpoint list of the time `at`, which includes all changes up to that time. Takes
  /// O(backends + changes) time.
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
