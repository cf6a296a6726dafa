// The operator file (TOML): settings chosen by the operators, separate from the platform's
// configuration. All reading, validation and defaults are in this module.
// docs/operators/configuration.md describes every key.
#pragma once

#include <chrono>
#include <string>
#include <vector>

#include "config/toml_reader.h"
#include "log/log.h"
#include "maintenance/maintenance_state_machine.h"
#include "routing/subset.h"

namespace beechhill::config {

/// Settings of the periodic snapshots, from the table `snapshot`.
struct SnapshotSettings {
  /// Directory of the snapshots, on a disk that outlives the process. If it is empty, no snapshots
  /// are written.
  std::string directory;
  std::chrono::milliseconds interval{2000};
};

/// Settings of the cluster membership, from the table `membership`.
struct MembershipSettings {
  /// IPv4 address and UDP port to listen on. If it is empty, the process is not in a cluster.
  std::string listen_address;
  /// Address to which the other members send datagrams. If it is empty, `listen_address` is used.
  std::string advertised_address;
  /// Addresses of other members that this process contacts to join or rejoin the cluster.
  std::vector<std::string> seed_addresses;
  /// File with one key per line, as 64 hexadecimal digits. The first key signs datagrams; a second
  /// key is also accepted on received ones.
  std::string key_file;
  Duration probe_interval{1'000'000};
  Duration forget_after{3'600'000'000};
};

/// Settings of the coordinated maintenance, from the table `maintenance`.
struct MaintenanceSettings {
  /// Names of the proxies that vote. If it is empty, maintenance is not coordinated.
  std::vector<std::string> voters;
  /// Directory of the Raft log if this proxy is a voter, on a disk that outlives the process.
  std::string storage_directory;
  Duration lease_duration{5'000'000};
  /// Time for which a proxy keeps serving after its lease has expired; 0 means no limit.
  Duration isolation_timeout{0};
  Duration initial_lease_timeout{5'000'000};
  bool serve_without_lease = false;
  maintenance::DisruptionBudget disruption_budget;
};

/// The contents of the operator file.
struct OperatorSettings {
  log::Settings log;
  MembershipSettings membership;
  MaintenanceSettings maintenance;
  SnapshotSettings snapshot;
  routing::SubsetSettings subset;
};

/// Reads and validates the settings. Throws TomlError, with `file`, the line and the key, if a key
/// is unknown or its value is invalid.
OperatorSettings read_operator_settings(const toml::table& root, const std::string& file);
/// Loads the file at `path`; returns the defaults if `path` is empty. Throws TomlError.
OperatorSettings load_operator_settings(const std::string& path);

}  // namespace beechhill::config
