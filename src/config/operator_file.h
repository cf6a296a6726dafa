// The operator file (TOML): what the operators decide, beside the platform's configuration. Read,
// checked and given defaults here and nowhere else. docs/operators/configuration.md describes every
// key.
#pragma once

#include <chrono>
#include <string>
#include <vector>

#include "config/toml_reader.h"
#include "log/log.h"
#include "maintenance/maintenance_state_machine.h"
#include "routing/subset.h"

namespace beechhill::config {

struct SnapshotSettings {
  /// On a disk that outlives the process; empty: no snapshots are kept.
  std::string directory;
  std::chrono::milliseconds interval{2000};
};

struct MembershipSettings {
  /// UDP, an IPv4 address and a port; empty: the process is in no cluster.
  std::string listen_address;
  /// Where the other members reach it; empty: `listen_address`.
  std::string advertised_address;
  /// Of some of the other members.
  std::vector<std::string> seed_addresses;
  /// One key a line, as 64 hexadecimal digits. The first signs; a second one is accepted too.
  std::string key_file;
  Duration probe_interval{1'000'000};
  Duration forget_after{3'600'000'000};
};

struct MaintenanceSettings {
  /// Names of proxies; none: maintenance is not coordinated.
  std::vector<std::string> voters;
  /// Of a voter's log, on a disk that outlives the process.
  std::string storage_directory;
  Duration lease_duration{5'000'000};
  /// 0: none.
  Duration isolation_timeout{0};
  Duration initial_lease_timeout{5'000'000};
  bool serve_without_lease = false;
  maintenance::DisruptionBudget disruption_budget;
};

struct OperatorSettings {
  log::Settings log;
  MembershipSettings membership;
  MaintenanceSettings maintenance;
  SnapshotSettings snapshot;
  routing::SubsetSettings subset;
};

/// Throws TomlError naming `file`, the line and the key; an unknown key is an error.
OperatorSettings read_operator_settings(const toml::table& root, const std::string& file);
/// Reads the file at `path`; the defaults where `path` is empty. Throws TomlError.
OperatorSettings load_operator_settings(const std::string& path);

}  // namespace beechhill::config
