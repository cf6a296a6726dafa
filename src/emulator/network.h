/// The links between proxies and backends: delays, and the link faults that are in force.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "emulator/scenario.h"

namespace beechhill::emulator {

struct ProxyState;
struct Simulation;

/// A partition, a delay or a reset of the links between some proxies and some backends of one tier.
struct LinkFault {
  /// Its number in the scenario, which tells kind and tier.
  std::size_t fault = 0;
  /// By their numbers, whether it affects them. Those added later are not affected.
  std::vector<bool> proxies;
  std::vector<bool> backends;
};

/// Owns the link faults in force. Draws delays from the random stream of the proxy concerned.
class Network {
 public:
  explicit Network(Simulation& sim) : sim_(sim) {}

  /// One way between a proxy and something in `zone`, without link faults.
  Duration one_way_delay(ProxyState& proxy, std::uint32_t zone) const;
  /// What link faults add to it, one way.
  Duration added_delay(const ProxyState& proxy, std::uint32_t tier, EndpointId endpoint) const;
  /// Whether nothing passes in that direction; for kBoth: whether nothing passes there or back.
  bool blocked(const ProxyState& proxy, std::uint32_t tier, EndpointId endpoint,
               Direction direction) const;
  bool affects(const LinkFault& fault, const ProxyState& proxy, std::uint32_t tier,
               EndpointId endpoint) const;

  void add(LinkFault fault);
  /// Ends the link fault with that number in the scenario.
  void remove(std::size_t fault);

 private:
  Simulation& sim_;
  std::vector<LinkFault> faults_;
};

}  // namespace beechhill::emulator
