// The operator's own file (TOML): what the platform's configuration does not speak of. Read, checked and given
// defaults here and nowhere else; every key is described in docs/operators/configuration.md.
#pragma once

#include <chrono>
#include <string>

#include "config/toml_reader.h"
#include "log/log.h"
#include "routing/subset.h"

namespace beechhill::config {

struct SnapshotSettings {
  std::string folder;                     // on a disk that lasts; empty: none are kept
  std::chrono::milliseconds every{2000};
};

struct OperatorSettings {
  log::Settings log;
  SnapshotSettings snapshot;
  routing::SubsetSettings subset;
};

// Throws TomlFault naming file, line and key; an unknown key is one.
OperatorSettings read_operator(const toml::table& root, const std::string& file);
// `path` empty: the defaults, under which the program does as it did before there was such a file.
OperatorSettings load_operator(const std::string& path);

}  // namespace beechhill::config
