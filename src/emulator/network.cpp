#include "emulator/network.h"

#include <algorithm>

#include "emulator/simulation.h"

namespace beechhill::emulator {

Duration Network::one_way_delay(ProxyState& proxy, std::uint32_t zone) const {
  const Scenario& scenario = sim_.scenario;
  const double spread = 1 + scenario.network_spread * (2 * proxy.random.uniform() - 1);
  const Duration between_zones = proxy.zone != zone ? scenario.cross_zone : Duration{0};
  return to_duration(to_s(scenario.network) * spread) + between_zones;
}

Duration Network::added_delay(const ProxyState& proxy, std::uint32_t tier,
                              EndpointId endpoint) const {
  Duration sum{0};
  for (const LinkFault& fault : faults_) {
    const FaultSpec& spec = sim_.scenario.faults[fault.fault_index];
    if (spec.kind == FaultKind::kLinkDelay && affects(fault, proxy, tier, endpoint)) {
      sum += spec.delay;
    }
  }
  return sum;
}

bool Network::blocked(const ProxyState& proxy, std::uint32_t tier, EndpointId endpoint,
                      Direction direction) const {
  return std::any_of(faults_.begin(), faults_.end(), [&](const LinkFault& fault) {
    const FaultSpec& spec = sim_.scenario.faults[fault.fault_index];
    return spec.kind == FaultKind::kPartition &&
           (direction == Direction::kBoth || spec.way == Direction::kBoth ||
            spec.way == direction) &&
           affects(fault, proxy, tier, endpoint);
  });
}

bool Network::affects(const LinkFault& fault, const ProxyState& proxy, std::uint32_t tier,
                      EndpointId endpoint) const {
  return sim_.scenario.faults[fault.fault_index].tier == tier &&
         proxy.index < fault.proxies.size() && fault.proxies[proxy.index] &&
         endpoint < fault.backends.size() && fault.backends[endpoint];
}

void Network::add(LinkFault fault) {
  faults_.push_back(std::move(fault));
}

void Network::remove(std::size_t fault) {
  std::erase_if(faults_, [fault](const LinkFault& other) { return other.fault_index == fault; });
}

}  // namespace beechhill::emulator
