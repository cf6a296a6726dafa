/// The stored state of an emulated proxy, and the faults of its disk.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "emulator/policy.h"
#include "emulator/scenario.h"

namespace beechhill::emulator {

/// The latest state of a backend that a proxy has received from discovery.
struct KnownEndpoint {
  Endpoint endpoint;
  bool known = false;
  /// Time since which the backend has not been listed as up.
  std::optional<Time> not_up_since;
};

/// The snapshot of one proxy. Outlives the proxy's process.
class ProxyStorage {
 public:
  /// Stores a snapshot, dated at the latest multiple of `interval`. Does nothing while the disk
  /// cannot be written.
  void save(Time now, Duration interval, const Policy& policy,
            const std::vector<KnownEndpoint>& endpoints);
  /// Returns the stored statistics that are recent enough to be restored. `endpoints` is the
  /// endpoint list that the proxy has stored; it tells which backends were restarted after the
  /// snapshot.
  std::vector<RestoredStats> load(Time now, const std::vector<KnownEndpoint>& endpoints) const;

  /// Begins or ends a fault of state or disk; see affects_state(). Corruption counts as loss,
  /// because a real proxy detects it and discards the snapshot.
  void begin_fault(const FaultSpec& fault);
  void end_fault(const FaultSpec& fault);

 private:
  struct SavedStats {
    EndpointStats stats;
    std::optional<Time> started_at;
  };
  struct Snapshot {
    // Indexed by endpoint id.
    std::vector<SavedStats> endpoints;
    Time taken_at{0};
  };

  Snapshot current_;
  // The copy that is restored when a kStateOld fault ends.
  Snapshot copy_;
  // Number of faults that prevent writes.
  std::uint32_t write_faults_ = 0;
};

}  // namespace beechhill::emulator
