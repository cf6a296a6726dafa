// The platform's configuration of a proxy: read, checked and given defaults here and nowhere else.
#pragma once

#include <netinet/in.h>

#include <cstdint>
#include <optional>
#include <string>

#include "config/endpoint_list.h"
#include "config/settings_reader.h"

namespace beechhill::config {

struct Config {
  std::string name;
  sockaddr_in listen{};
  sockaddr_in discovery{};
  /// Where operators call; absent: nowhere.
  std::optional<sockaddr_in> admin;
  /// A descriptor that already listens for clients; absent: `listen` is bound.
  std::optional<int> inherited_listener_fd;
  /// What the processes of one proxy share; empty: none.
  std::string shared_state_directory;
  std::uint32_t max_descriptors = 1024;
  std::uint32_t memory_mb = 192;
  EndpointList cached_endpoints;
  NamedSettings named_settings;
};

/// Throws JsonError, or std::invalid_argument where the settings contradict each other.
Config read_config(const Json::Value& root);

/// The file that GW_CONFIG names. GW_NAME, GW_LISTEN, GW_DISCOVERY and GW_ADMIN_ADDR, where set,
/// take precedence over it. GW_FD and, with it, TMPDIR give what the environment alone decides: the
/// inherited listener and the shared state's directory. Throws like read_config().
Config load_config();

/// The same file after it was replaced. Its own discovery address counts now, whatever GW_DISCOVERY
/// holds. Throws like read_config().
Config reload_config();

}  // namespace beechhill::config
