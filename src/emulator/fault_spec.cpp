#include "emulator/fault_spec.h"

namespace beechhill::emulator {

const std::vector<std::string>& fault_kind_names() {
  static const std::vector<std::string> kNames{"silent",        "errors",     "slow",
                                               "late_reports",  "stale_list", "crash",
                                               "drain",         "replace",    "proxy_crash",
                                               "partition",     "burst",      "tenant_burst",
                                               "proxy_stop",    "proxy_end",  "discovery_silent",
                                               "link_delay",    "link_reset", "discovery_rewound",
                                               "state_lost",    "state_old",  "state_torn",
                                               "state_flipped", "state_aged", "disk_full",
                                               "disk_hangs",    "disk_gone",  "talk_cut",
                                               "talk_spoil"};
  return kNames;
}

bool affects_proxies(FaultKind kind) {
  return kind == FaultKind::kProxyCrash || kind == FaultKind::kProxyStop ||
         kind == FaultKind::kProxyEnd || kind == FaultKind::kDiscoverySilent ||
         kind == FaultKind::kDiscoveryRewound || affects_state(kind) ||
         kind == FaultKind::kGossipPartition;
}

bool affects_gossip(FaultKind kind) {
  return kind == FaultKind::kGossipPartition || kind == FaultKind::kGossipDegraded;
}

bool affects_state(FaultKind kind) {
  return kind >= FaultKind::kStateLost && kind <= FaultKind::kDiskGone;
}

bool affects_links(FaultKind kind) {
  return kind == FaultKind::kPartition || kind == FaultKind::kLinkDelay ||
         kind == FaultKind::kLinkReset;
}

}  // namespace beechhill::emulator
