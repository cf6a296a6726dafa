// State that a process reads at its start, saved by earlier or other processes of its proxy.
#pragma once

#include <chrono>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "config/config.h"
#include "config/operator_file.h"
#include "hot_restart/shared_state_directory.h"
#include "proxy/trace_id_table.h"
#include "snapshot/snapshot_store.h"

namespace beechhill::bootstrap {

/// The saved state, with the directory and the store from which it was read.
struct RestoredState {
  /// Directory of the state shared by the processes of one proxy. Null if the listener is
  /// not inherited or the directory cannot be opened.
  std::unique_ptr<hot_restart::SharedStateDirectory> shared_directory;
  /// Memory for the trace ids of this process's requests, shared with the other processes if there
  /// is a shared directory.
  proxy::TraceIdMemory trace_ids;
  /// Null if snapshots are disabled or the store cannot be opened.
  std::unique_ptr<snapshot::SnapshotStore> snapshot_store;
  bool drained = false;
  /// Ids of the backends that operators have excluded.
  std::set<std::string> excluded_backends;
  /// Records of endpoints in the snapshot of an earlier process; empty if there is no snapshot.
  std::vector<snapshot::EndpointRecord> endpoint_records;
};

/// Opens the shared state directory and the snapshot store, and reads them. If one of them cannot
/// be used, logs the error and continues without it.
RestoredState restore_state(const config::Config& config, const config::OperatorSettings& settings);

/// Returns the wall clock's time since the Unix epoch, as snapshots store it.
std::chrono::milliseconds unix_time();

}  // namespace beechhill::bootstrap
