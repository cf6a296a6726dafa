#include "membership/indirect_probe_relay.h"

#include <algorithm>
#include <utility>

namespace beechhill::membership {
namespace {

// Maximum number of concurrent indirect probes, which limits memory and the traffic that ping
// requests can cause. Further ping requests are ignored.
constexpr std::size_t kMaxIndirectProbes = 64;

}  // namespace

bool IndirectProbeRelay::full() const {
  return probes_.size() >= kMaxIndirectProbes;
}

void IndirectProbeRelay::add(std::uint64_t sequence_number, IndirectProbe probe) {
  probes_[sequence_number] = std::move(probe);
}

std::optional<IndirectProbe> IndirectProbeRelay::complete(std::uint64_t sequence_number) {
  auto node = probes_.extract(sequence_number);
  if (node.empty()) {
    return std::nullopt;
  }
  return std::move(node.mapped());
}

std::vector<IndirectProbe> IndirectProbeRelay::take_nacks_due(Time now) {
  std::vector<IndirectProbe> due;
  for (auto& [sequence_number, probe] : probes_) {
    if (!probe.nacked && now >= probe.nack_at) {
      probe.nacked = true;
      due.push_back(probe);
    }
  }
  return due;
}

void IndirectProbeRelay::expire(Time now, Duration age) {
  std::erase_if(probes_, [&](const auto& entry) { return now >= entry.second.nack_at + age; });
}

std::optional<Time> IndirectProbeRelay::next_nack() const {
  std::optional<Time> first;
  for (const auto& [sequence_number, probe] : probes_) {
    if (!probe.nacked) {
      first = first ? std::min(*first, probe.nack_at) : probe.nack_at;
    }
  }
  return first;
}

}  // namespace beechhill::membership
