#include "emulator/proxy_storage.h"

#include "snapshot/snapshot.h"

namespace beechhill::emulator {
namespace {

bool prevents_writes(FaultKind kind) {
  return kind == FaultKind::kDiskFull || kind == FaultKind::kDiskHangs ||
         kind == FaultKind::kDiskGone;
}

}  // namespace

void ProxyStorage::save(Time now, Duration interval, const Policy& policy,
                        const std::vector<KnownEndpoint>& endpoints) {
  if (write_faults_ > 0) {
    return;
  }
  current_.endpoints.clear();
  current_.taken_at = now - now % interval;
  for (EndpointId id = 0; id < endpoints.size(); ++id) {
    current_.endpoints.push_back({policy.endpoint_stats(id), endpoints[id].endpoint.started_at});
  }
}

std::vector<RestoredStats> ProxyStorage::load(Time now,
                                              const std::vector<KnownEndpoint>& endpoints) const {
  std::vector<RestoredStats> restored;
  for (EndpointId id = 0; id < current_.endpoints.size(); ++id) {
    const SavedStats& saved = current_.endpoints[id];
    const bool restarted = endpoints[id].endpoint.started_at != saved.started_at;
    const auto stats = snapshot::discounted(saved.stats, now - current_.taken_at, restarted);
    if (stats) {
      restored.push_back(RestoredStats{id, *stats});
    }
  }
  return restored;
}

void ProxyStorage::begin_fault(const FaultSpec& fault) {
  if (prevents_writes(fault.kind)) {
    ++write_faults_;
  } else if (fault.kind == FaultKind::kStateOld) {
    copy_ = current_;
  } else if (fault.kind == FaultKind::kStateAged) {
    current_.taken_at -= fault.delay;
  } else {
    current_ = {};
  }
}

void ProxyStorage::end_fault(const FaultSpec& fault) {
  if (prevents_writes(fault.kind)) {
    --write_faults_;
  } else if (fault.kind == FaultKind::kStateOld) {
    current_ = copy_;
  }
}

}  // namespace beechhill::emulator
