#include "testbed/cluster_test/fault_plan.h"

#include <fmt/format.h>

#include <algorithm>

#include "emulator/random.h"

namespace beechhill::testbed {

using emulator::FaultKind;
using emulator::FaultSpec;
using emulator::Scenario;

namespace {

// Not the world's own streams, whose numbers are those of nodes, proxies and faults.
constexpr std::uint64_t kPlanStream = 1ULL << 39;

bool of_processes(const FaultSpec& f) {
  return emulator::strikes_proxies(f.kind) && f.kind != FaultKind::kDiscoverySilent &&
         f.kind != FaultKind::kDiscoveryRewound && !emulator::strikes_talk(f.kind);
}

std::string span(Duration d) {
  return fmt::format("\"{}us\"", d.count());
}

}  // namespace

std::vector<FaultSpec> draw_faults(const Scenario& s, std::uint64_t seed) {
  static constexpr FaultKind kKinds[] = {
      FaultKind::kProxyCrash, FaultKind::kProxyCrash,      FaultKind::kProxyStop,
      FaultKind::kProxyStop,  FaultKind::kProxyEnd,        FaultKind::kDiscoverySilent,
      FaultKind::kSilent,     FaultKind::kErrors,          FaultKind::kSlow,
      FaultKind::kCrash,      FaultKind::kDrain,           FaultKind::kPartition,
      FaultKind::kStaleList,  FaultKind::kLateReports,     FaultKind::kLinkDelay,
      FaultKind::kLinkReset,  FaultKind::kDiscoveryRewound};
  static constexpr FaultKind kOfState[] = {
      FaultKind::kStateLost, FaultKind::kStateOld, FaultKind::kStateTorn, FaultKind::kStateFlipped,
      FaultKind::kStateAged, FaultKind::kDiskFull, FaultKind::kDiskHangs, FaultKind::kDiskGone};
  emulator::Stream dice(seed, emulator::Actor::kFaults, kPlanStream);
  const double whole = std::chrono::duration<double>(s.length).count();
  std::vector<FaultSpec> faults(2 + dice.below(5));
  for (FaultSpec& f : faults) {
    const std::size_t drawn =
        dice.below(std::size(kKinds) + (s.snapshot_every ? std::size(kOfState) : 0));
    f.kind = drawn < std::size(kKinds) ? kKinds[drawn] : kOfState[drawn - std::size(kKinds)];
    const double at = whole * dice.uniform({0.1, 0.5}), last = whole * 2 / 3;
    f.at = emulator::to_span(at);
    f.length = emulator::to_span(std::min(last - at, whole * dice.uniform({0.02, 0.3})));
    f.part = dice.uniform({0.05, emulator::strikes_proxies(f.kind) ? 1 : 0.3});
    if (emulator::strikes_proxies(f.kind)) {
      f.first = static_cast<std::uint32_t>(dice.below(s.proxies));
    }
    f.factor = f.kind == FaultKind::kErrors ? dice.uniform({0.2, 1}) : dice.uniform({1.5, 6});
    f.delay = emulator::to_span(f.kind == FaultKind::kLinkDelay ? dice.uniform({0.005, 0.1})
                                                                : dice.uniform({0.2, 2}));
    if (f.kind == FaultKind::kPartition) {
      f.way = static_cast<emulator::Direction>(dice.below(3));
    }
  }
  return faults;
}

std::string to_toml(const Scenario& s, const std::vector<FaultSpec>& faults) {
  std::string text;
  for (const FaultSpec& f : faults) {
    text += fmt::format("[[fault]]\nkind = \"{}\"\nat = {}\nfor = {}\n",
                        emulator::fault_words()[static_cast<std::size_t>(f.kind)], span(f.at),
                        span(f.length));
    if (f.tier > 0) {
      text += fmt::format("tier = {}\n", f.tier);
    }
    if (f.part > 0) {
      text += fmt::format("part = {}\n", f.part);
    }
    if (f.nodes > 0) {
      text += fmt::format("nodes = {}\n", f.nodes);
    }
    if (f.zone >= 0) {
      text += fmt::format("zone = {}\n", f.zone);
    }
    if (f.cell >= 0) {
      text += fmt::format("cell = {}\n", f.cell);
    }
    if (f.proxies > 0) {
      text += fmt::format("proxies = {}\n", f.proxies);
    }
    if (f.first > 0) {
      text += fmt::format("first = {}\n", f.first);
    }
    if (f.way != emulator::Direction::kBoth) {
      text +=
          fmt::format("way = \"{}\"\n", f.way == emulator::Direction::kThere ? "there" : "back");
    }
    text += fmt::format("factor = {}\ndelay = {}\n", f.factor, span(f.delay));
    if (f.kind == FaultKind::kTenantBurst) {
      text += fmt::format("tenant = \"{}\"\n", s.tenants[f.tenant].name);
    }
  }
  return text;
}

std::vector<FaultSpec> shrink(std::vector<FaultSpec> faults, std::size_t most_plays,
                              const std::function<bool(const std::vector<FaultSpec>&)>& fails) {
  std::size_t plays = 0;
  for (bool smaller = true; smaller;) {
    smaller = false;
    for (std::size_t i = 0; i < faults.size() && faults.size() > 1 && plays < most_plays;) {
      std::vector<FaultSpec> without = faults;
      without.erase(without.begin() + static_cast<std::ptrdiff_t>(i));
      ++plays;
      if (fails(without)) {
        faults = std::move(without);
        smaller = true;
      } else {
        ++i;
      }
    }
  }
  return faults;
}

Scenario control_of(Scenario s) {
  std::erase_if(s.faults, of_processes);
  return s;
}

Span processes_struck(const Scenario& s) {
  Span span;
  for (const FaultSpec& f : s.faults) {
    if (!of_processes(f) || emulator::strikes_state(f.kind)) {
      continue;
    }
    span.begun = span.back == Time{0} ? f.at : std::min(span.begun, f.at);
    span.back = std::max(span.back, f.at + f.length);
  }
  return span;
}

}  // namespace beechhill::testbed
