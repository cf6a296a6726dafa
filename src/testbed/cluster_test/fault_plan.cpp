#include "testbed/cluster_test/fault_plan.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <iterator>

#include "emulator/random.h"

namespace beechhill::testbed {

using emulator::FaultKind;
using emulator::FaultSpec;
using emulator::Scenario;

namespace {

// Selects a random stream distinct from those for backends, proxies and faults.
constexpr std::uint64_t kPlanStream = 1ULL << 39;
constexpr std::size_t kMinFaults = 2;
constexpr std::size_t kMaxFaults = 6;

// Fault kinds to draw from. All entries have the same probability, so that a kind that is listed
// twice is drawn twice as often.
constexpr std::array kDrawnKinds{
    FaultKind::kProxyCrash, FaultKind::kProxyCrash,      FaultKind::kProxyStop,
    FaultKind::kProxyStop,  FaultKind::kProxyEnd,        FaultKind::kDiscoverySilent,
    FaultKind::kSilent,     FaultKind::kErrors,          FaultKind::kSlow,
    FaultKind::kCrash,      FaultKind::kDrain,           FaultKind::kPartition,
    FaultKind::kStaleList,  FaultKind::kLateReports,     FaultKind::kLinkDelay,
    FaultKind::kLinkReset,  FaultKind::kDiscoveryRewound};
// Additional fault kinds to draw from if the proxies keep snapshots.
constexpr std::array kDrawnStateKinds{
    FaultKind::kStateLost, FaultKind::kStateOld, FaultKind::kStateTorn, FaultKind::kStateFlipped,
    FaultKind::kStateAged, FaultKind::kDiskFull, FaultKind::kDiskHangs, FaultKind::kDiskGone};

bool affects_process(const FaultSpec& fault) {
  return emulator::affects_proxies(fault.kind) && fault.kind != FaultKind::kDiscoverySilent &&
         fault.kind != FaultKind::kDiscoveryRewound && !emulator::affects_gossip(fault.kind);
}

FaultKind draw_kind(const Scenario& scenario, emulator::Stream& random) {
  const std::size_t state_kinds = scenario.snapshot_every ? kDrawnStateKinds.size() : 0;
  const std::size_t drawn = random.below(kDrawnKinds.size() + state_kinds);
  return drawn < kDrawnKinds.size() ? kDrawnKinds[drawn]
                                    : kDrawnStateKinds[drawn - kDrawnKinds.size()];
}

FaultSpec draw_fault(const Scenario& scenario, emulator::Stream& random) {
  const double length_s = emulator::to_s(scenario.length);
  FaultSpec fault;
  fault.kind = draw_kind(scenario, random);
  const bool affects_proxies = emulator::affects_proxies(fault.kind);
  const double at_s = length_s * random.uniform({0.1, 0.5});
  const double latest_end_s = length_s * 2 / 3;  // leaves time to observe the recovery
  fault.at = emulator::to_duration(at_s);
  fault.length =
      emulator::to_duration(std::min(latest_end_s - at_s, length_s * random.uniform({0.02, 0.3})));
  fault.part = random.uniform({0.05, affects_proxies ? 1 : 0.3});
  if (affects_proxies) {
    fault.first = static_cast<std::uint32_t>(random.below(scenario.proxies));
  }
  fault.factor =
      fault.kind == FaultKind::kErrors ? random.uniform({0.2, 1}) : random.uniform({1.5, 6});
  fault.delay =
      emulator::to_duration(fault.kind == FaultKind::kLinkDelay ? random.uniform({0.005, 0.1})
                                                                : random.uniform({0.2, 2}));
  if (fault.kind == FaultKind::kPartition) {
    fault.way = static_cast<emulator::Direction>(random.below(3));
  }
  return fault;
}

std::string toml_duration(Duration duration) {
  return fmt::format("\"{}us\"", duration.count());
}

// Returns the line "key = value" if `given` is true, otherwise an empty string.
template <typename Number>
std::string toml_line_if(bool given, const char* key, Number value) {
  return given ? fmt::format("{} = {}\n", key, value) : "";
}

std::string to_toml(const Scenario& scenario, const FaultSpec& fault) {
  const std::string& kind = emulator::fault_kind_names()[static_cast<std::size_t>(fault.kind)];
  std::string text = fmt::format("[[fault]]\nkind = \"{}\"\nat = {}\nfor = {}\n", kind,
                                 toml_duration(fault.at), toml_duration(fault.length));
  text += toml_line_if(fault.tier > 0, "tier", fault.tier);
  text += toml_line_if(fault.part > 0, "part", fault.part);
  text += toml_line_if(fault.nodes > 0, "nodes", fault.nodes);
  text += toml_line_if(fault.zone >= 0, "zone", fault.zone);
  text += toml_line_if(fault.cell >= 0, "cell", fault.cell);
  text += toml_line_if(fault.proxies > 0, "proxies", fault.proxies);
  text += toml_line_if(fault.first > 0, "first", fault.first);
  if (fault.way != emulator::Direction::kBoth) {
    const bool there = fault.way == emulator::Direction::kThere;
    text += fmt::format("way = \"{}\"\n", there ? "there" : "back");
  }
  text += fmt::format("factor = {}\ndelay = {}\n", fault.factor, toml_duration(fault.delay));
  if (fault.kind == FaultKind::kTenantBurst) {
    text += fmt::format("tenant = \"{}\"\n", scenario.tenants[fault.tenant].name);
  }
  return text;
}

}  // namespace

std::vector<FaultSpec> draw_faults(const Scenario& scenario, std::uint64_t seed) {
  emulator::Stream random(seed, emulator::Actor::kFaults, kPlanStream);
  const std::size_t count = kMinFaults + random.below(kMaxFaults - kMinFaults + 1);
  std::vector<FaultSpec> faults;
  faults.reserve(count);
  for (std::size_t i = 0; i < count; ++i) {
    faults.push_back(draw_fault(scenario, random));
  }
  return faults;
}

std::string to_toml(const Scenario& scenario, const std::vector<FaultSpec>& faults) {
  std::string text;
  for (const FaultSpec& fault : faults) {
    text += to_toml(scenario, fault);
  }
  return text;
}

std::vector<FaultSpec> shrink(std::vector<FaultSpec> faults, std::size_t max_calls,
                              const std::function<bool(const std::vector<FaultSpec>&)>& fails) {
  std::size_t calls = 0;
  for (bool shrunk = true; shrunk;) {
    shrunk = false;
    for (std::size_t i = 0; i < faults.size() && faults.size() > 1 && calls < max_calls;) {
      std::vector<FaultSpec> remaining = faults;
      remaining.erase(remaining.begin() + static_cast<std::ptrdiff_t>(i));
      ++calls;
      if (fails(remaining)) {
        faults = std::move(remaining);
        shrunk = true;
      } else {
        ++i;
      }
    }
  }
  return faults;
}

Scenario without_process_faults(Scenario scenario) {
  std::erase_if(scenario.faults, affects_process);
  return scenario;
}

FaultWindow process_fault_window(const Scenario& scenario) {
  FaultWindow window;
  for (const FaultSpec& fault : scenario.faults) {
    if (!affects_process(fault) || emulator::affects_state(fault.kind)) {
      continue;
    }
    window.began = window.ended == Time{0} ? fault.at : std::min(window.began, fault.at);
    window.ended = std::max(window.ended, fault.at + fault.length);
  }
  return window;
}

}  // namespace beechhill::testbed
