/// The network between proxies and backends: delays, and the link faults in force.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "emulator/scenario.h"

namespace beechhill::emulator {

struct ProxyState;
struct Simulation;

/// A partition, delay or reset of the links between some proxies and some backends of one tier.
struct LinkFault {
  /// Index of the fault in the scenario, which defines its kind and tier.
  std::size_t fault_index = 0;
  /// Whether the fault affects a proxy or a backend, by index. Proxies and backends added after the
  /// fault began are not affected.
  std::vector<bool> proxies;
  std::vector<bool> backends;
};

/// Owns the link faults in force. Draws delays from the random stream of the proxy at one end of
/// the link.
class Network {
 public:
  explicit Network(Simulation& sim) : sim_(sim) {}

  /// One-way delay between a proxy and a backend in `zone`, without link faults.
  Duration one_way_delay(ProxyState& proxy, std::uint32_t zone) const;
  /// One-way delay that the link faults in force add.
  Duration added_delay(const ProxyState& proxy, std::uint32_t tier, EndpointId endpoint) const;
  /// Whether a partition blocks the given direction; for kBoth, whether it blocks either direction.
  bool blocked(const ProxyState& proxy, std::uint32_t tier, EndpointId endpoint,
               Direction direction) const;
  bool affects(const LinkFault& fault, const ProxyState& proxy, std::uint32_t tier,
               EndpointId endpoint) const;

  void add(LinkFault fault);
  /// Ends the link fault with this index in the scenario.
  void remove(std::size_t fault);

 private:
  Simulation& sim_;
  std::vector<LinkFault> faults_;
};

}  // namespace beechhill::emulator
