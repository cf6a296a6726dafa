// What a process finds at its start of what earlier and other processes of its proxy left.
#pragma once

#include <chrono>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "config/config.h"
#include "config/operator_file.h"
#include "hot_restart/shared_state_directory.h"
#include "snapshot/snapshot_store.h"

namespace beechhill::bootstrap {

struct RestoredState {
  /// Null where no other process can share with this one.
  std::unique_ptr<hot_restart::SharedStateDirectory> shared_directory;
  /// Null where no snapshots are kept.
  std::unique_ptr<snapshot::SnapshotStore> snapshot_store;
  bool drained = false;
  /// Ids of backends that operators had excluded.
  std::set<std::string> excluded_backends;
  /// What an earlier process had learned of its backends.
  std::vector<snapshot::EndpointRecord> endpoint_records;
};

/// Opens both stores and reads them. A store that cannot be used is logged and left out: the
/// process serves without it.
RestoredState restore_state(const config::Config& config, const config::OperatorSettings& settings);

/// The wall clock's reading, as snapshots carry it.
std::chrono::milliseconds unix_time();

}  // namespace beechhill::bootstrap
