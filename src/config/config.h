// What a proxy is told when it starts: read, checked and given defaults here and nowhere else.
#pragma once

#include <netinet/in.h>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "config/settings_reader.h"

namespace beechhill::config {

struct EndpointListEntry {
  std::string host, zone, instance_type;
  sockaddr_in address{};
  std::uint32_t cell = 0;
  EndpointStatus status = EndpointStatus::kUp;
  std::chrono::milliseconds started_at{0};  // Unix time; 0: long ago
};

struct EndpointList {  // discovery's list, or the changes to it
  std::uint64_t version = 0;
  bool complete = true;
  std::vector<EndpointListEntry> entries;
};

struct Config {
  std::string name;
  sockaddr_in listen{}, discovery{};
  std::optional<sockaddr_in> admin;          // where operators call; absent: nowhere
  std::optional<int> inherited_listener_fd;  // a descriptor that listens for clients already;
                                             // absent: `listen` is bound
  std::string shared_state_directory;        // that the processes of one proxy share; empty: none
  std::uint32_t max_descriptors = 1024;
  std::uint32_t memory_mb = 192;
  EndpointList cached_endpoints;
  NamedSettings named_settings;
};

// Throws JsonFault naming the key.
EndpointList read_endpoint_list(const Json::Value& list);
Config read_config(const Json::Value& root);

// The file that GW_CONFIG names; GW_NAME, GW_LISTEN, GW_DISCOVERY and GW_ADMIN_ADDR, where set, go
// before what it holds.
Config load_config();
// GW_FD and TMPDIR are the environment's alone: `inherited`, and with it `shared_folder`.
// The same file once it has been replaced: its own `discovery` counts now, as the variable is from
// the start.
Config reload_config();

}  // namespace beechhill::config
