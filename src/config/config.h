// What a proxy is told when it starts: read, checked and given defaults here and nowhere else.
#pragma once

#include <netinet/in.h>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "config/settings_reader.h"

namespace beechhill::config {

struct ServerListEntry {
  std::string host, zone, kind;
  sockaddr_in address{};
  std::uint32_t cell = 0;
  ServerState state = ServerState::kUp;
  std::chrono::milliseconds born{0};  // Unix time; 0: long ago
};

struct ServerList {  // discovery's list, or the changes to it
  std::uint64_t version = 0;
  bool whole = true;
  std::vector<ServerListEntry> entries;
};

struct Config {
  std::string name;
  sockaddr_in listen{}, discovery{};
  std::optional<sockaddr_in> admin;  // where operators call; absent: nowhere
  std::optional<int>
      inherited;  // a descriptor that listens for clients already; absent: `listen` is bound
  std::string shared_folder;  // that the processes of one proxy share; empty: none
  std::uint32_t sockets = 1024;
  std::uint32_t memory_mb = 192;
  ServerList known;
  NamedSettings named;
};

// Throws JsonFault naming the key.
ServerList read_server_list(const Json::Value& list);
Config read_config(const Json::Value& root);

// The file that GW_CONFIG names; GW_NAME, GW_LISTEN, GW_DISCOVERY and GW_ADMIN_ADDR, where set, go
// before what it holds.
Config load_config();
// GW_FD and TMPDIR are the environment's alone: `inherited`, and with it `shared_folder`.
// The same file once it has been replaced: its own `discovery` counts now, as the variable is from
// the start.
Config reload_config();

}  // namespace beechhill::config
