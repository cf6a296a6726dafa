/// The kinds of fault that a scenario can plan, and the targets of each fault.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "beechhill/balancer.h"

namespace beechhill::emulator {

/// The kinds of fault, in the order of fault_kind_names(). The kinds that affect stored state and
/// disks must be contiguous; see affects_state().
enum class FaultKind {
  kSilent,
  kErrors,
  kSlow,
  kLateReports,
  kStaleList,
  kCrash,
  kDrain,
  kReplace,
  kProxyCrash,
  /// Messages between the first half of the proxies and the selected backends are lost, in the
  /// direction `way`.
  kPartition,
  kBurst,
  kTenantBurst,
  /// Proxies are paused (SIGSTOP), then resumed.
  kProxyStop,
  /// Proxies shut down gracefully (SIGTERM), then are restarted.
  kProxyEnd,
  /// Discovery sends nothing to the affected proxies.
  kDiscoverySilent,
  /// Same targets as kPartition, but messages between the two sides are delayed by `delay`.
  kLinkDelay,
  /// Same targets as kPartition, but connections between the two sides are reset once, when the
  /// fault begins.
  kLinkReset,
  /// Discovery sends the affected proxies the endpoint list as it was `delay` ago, with the version
  /// of that time.
  kDiscoveryRewound,
  /// The state directories of the affected proxies are emptied when the fault begins, as on a new
  /// disk.
  kStateLost,
  /// The state of the affected proxies is copied when the fault begins, and the copy is restored
  /// when it ends.
  kStateOld,
  /// The files that the affected proxies have stored are truncated to half their size.
  kStateTorn,
  /// One bit of the files that the affected proxies have stored is flipped.
  kStateFlipped,
  /// The files that the affected proxies have stored are made older by `delay`.
  kStateAged,
  /// Writes by the affected proxies fail because the disk is full.
  kDiskFull,
  /// Writes by the affected proxies block.
  kDiskHangs,
  /// The affected proxies cannot open files for writing.
  kDiskGone,
  /// The affected proxies and the other proxies cannot reach each other by gossip. Only the cluster
  /// test applies gossip faults.
  kGossipPartition,
  /// A share `factor` of the gossip datagrams between proxies is lost, a third of that share is
  /// duplicated, and all datagrams are delayed by up to `delay`.
  kGossipDegraded,
};

/// The direction that a partition blocks. kThere: from proxies to backends; kBack: from backends to
/// proxies.
enum class Direction { kBoth, kThere, kBack };

/// One planned fault. The targets of a fault that affects backends are drawn when it begins, from
/// the backends in `zone` and `cell`: `nodes` of them, or else the share `part`, or all of them if
/// neither is set.
struct FaultSpec {
  FaultKind kind = FaultKind::kSilent;
  Duration at{0};
  Duration length{0};
  std::uint32_t tier = 0;
  /// Share of the backends, or of the proxies if the fault affects proxies, from 0 to 1; 0: not
  /// set.
  double part = 0;
  /// Number of backends; 0: not set.
  std::uint32_t nodes = 0;
  /// Selects the backends of one zone or cell; negative: not set.
  std::int64_t zone = -1;
  std::int64_t cell = -1;
  /// Error rate, slowdown, load multiple or datagram loss, depending on the kind.
  double factor = 0;
  Duration delay{0};
  std::uint32_t tenant = 0;
  /// Number of proxies, counted from the index `first`; 0: not set.
  std::uint32_t proxies = 0;
  std::uint32_t first = 0;
  Direction way = Direction::kBoth;
};

/// The names of the kinds in scenario files, in the order of FaultKind.
const std::vector<std::string>& fault_kind_names();

/// Whether the fault affects proxies that are selected by `part`, `proxies` and `first`.
bool affects_proxies(FaultKind kind);
/// Whether the fault affects the files that proxies store. Every such fault also satisfies
/// affects_proxies().
bool affects_state(FaultKind kind);
/// Whether the fault affects the gossip between proxies.
bool affects_gossip(FaultKind kind);
/// Whether the fault affects the links between the first half of the proxies and the selected
/// backends.
bool affects_links(FaultKind kind);

}  // namespace beechhill::emulator
