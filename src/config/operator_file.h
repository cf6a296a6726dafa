// The operator's own file (TOML): what the platform's configuration does not speak of. Read,
// checked and given defaults here and nowhere else; every key is described in
// docs/operators/configuration.md.
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
  std::string directory;  // on a disk that lasts; empty: none are kept
  std::chrono::milliseconds interval{2000};
};

struct MembershipSettings {
  std::string
      listen_address;  // UDP, an IPv4 address and a port; empty: the process talks with no other
  std::string advertised_address;           // where the others reach it; empty: `listen`
  std::vector<std::string> seed_addresses;  // addresses of some of the others
  std::string key_file;  // a key a line, as 64 hexadecimal digits: the first signs, a second one is
                         // believed too
  Duration probe_interval{1'000'000};
  Duration forget_after{3'600'000'000};
};

struct MaintenanceSettings {
  std::vector<std::string> voters;  // names; none: machines are not taken out by agreement
  std::string storage_directory;    // of a voter's storage, on a disk that lasts
  Duration lease_duration{5'000'000}, isolation_timeout{0}, initial_lease_timeout{5'000'000};
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

// Throws TomlFault naming file, line and key; an unknown key is one.
OperatorSettings read_operator(const toml::table& root, const std::string& file);
// `path` empty: the defaults, under which the program does as it did before there was such a file.
OperatorSettings load_operator(const std::string& path);

}  // namespace beechhill::config
