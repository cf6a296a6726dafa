// The platform's configuration of a proxy. All reading, validation and defaults are in this module.
#pragma once

#include <netinet/in.h>

#include <cstdint>
#include <optional>
#include <string>

#include "config/endpoint_list.h"
#include "config/settings_reader.h"

namespace beechhill::config {

/// The configuration of one proxy.
struct Config {
  std::string name;
  sockaddr_in listen{};
  sockaddr_in discovery{};
  /// Listening address for operators' calls. If it is absent, operators cannot connect.
  std::optional<sockaddr_in> admin;
  /// A descriptor that already listens for clients. If it is absent, the process itself listens on
  /// `listen`.
  std::optional<int> inherited_listener_fd;
  /// Directory of the state that the processes of one proxy share. If it is empty, no state is
  /// shared.
  std::string shared_state_directory;
  std::uint32_t max_descriptors = 1024;
  std::uint32_t memory_mb = 192;
  EndpointList cached_endpoints;
  NamedSettings named_settings;
};

/// Reads and validates a configuration. Throws JsonError, or std::invalid_argument if the settings
/// are inconsistent.
Config read_config(const Json::Value& root);

/// Loads the file that GW_CONFIG names. GW_NAME, GW_LISTEN, GW_DISCOVERY and GW_ADMIN_ADDR, if set,
/// take precedence over its keys. The inherited listener is read only from the environment, from
/// GW_FD. The shared state directory is TMPDIR if GW_FD is set, otherwise there is none. Throws
/// like read_config().
Config load_config();

/// Like load_config(), but takes the discovery address from the file even if GW_DISCOVERY is set.
/// Called when operators have replaced the file. Throws like read_config().
Config reload_config();

}  // namespace beechhill::config
