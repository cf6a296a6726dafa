/// What an emulated proxy keeps on its disk, and the faults of that disk.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "emulator/policy.h"
#include "emulator/scenario.h"

namespace beechhill::emulator {

/// What a proxy has heard of a backend from discovery.
struct KnownEndpoint {
  Endpoint endpoint;
  bool known = false;
  /// Since when it has been known not to be up.
  std::optional<Time> not_up_since;
};

/// The snapshot of one proxy. Outlives its process.
class ProxyStorage {
 public:
  /// Writes the snapshot as of the last multiple of `interval`. Does nothing while the disk cannot
  /// be written.
  void save(Time now, Duration interval, const Policy& policy,
            const std::vector<KnownEndpoint>& endpoints);
  /// What of the snapshot is still worth restoring into a proxy that knows these endpoints.
  std::vector<RestoredStats> load(Time now, const std::vector<KnownEndpoint>& endpoints) const;

  /// A fault of state or disk (see affects_state()) begins or ends. Damage that the proxy would
  /// notice counts as loss, because the proxy sets a damaged snapshot aside.
  void begin_fault(const FaultSpec& fault);
  void end_fault(const FaultSpec& fault);

 private:
  struct SavedStats {
    EndpointStats stats;
    std::optional<Time> started_at;
  };
  struct Snapshot {
    // By endpoint id.
    std::vector<SavedStats> endpoints;
    Time taken_at{0};
  };

  Snapshot current_;
  // Put back when a kStateOld ends.
  Snapshot copy_;
  // How many faults keep the disk from being written.
  std::uint32_t write_faults_ = 0;
};

}  // namespace beechhill::emulator
