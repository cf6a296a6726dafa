/// What discovery knows of the backends, and when each proxy hears of it.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "emulator/random.h"
#include "emulator/scenario.h"

namespace beechhill::emulator {

struct Simulation;

/// Owns the updates sent to proxies, the history of changes, and how stale the list is made.
class DiscoveryFeed {
 public:
  explicit DiscoveryFeed(Simulation& sim);

  /// Sends a backend's new state to every proxy of its tier, in order, after the scenario's lag and
  /// `extra_delay`.
  void publish(std::uint32_t tier, const Endpoint& endpoint, Duration extra_delay = Duration{0});
  /// An update reaches a proxy: the one of that number, or without one the full list as it is now.
  /// Lost where a fault keeps discovery from the proxy; the full list makes up for it later.
  void deliver(std::uint32_t proxy, std::optional<std::size_t> update);
  /// The list as it was: every backend as it last changed by then. O(backends + changes).
  std::vector<Endpoint> endpoints_at(std::uint32_t tier, Time at) const;
  /// Added to the lag of every update from now on.
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
