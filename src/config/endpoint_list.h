// The list of endpoints, as stored in the configuration and as discovery sends it on the watch.
#pragma once

#include <netinet/in.h>

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "beechhill/balancer.h"
#include "config/json.h"

namespace beechhill::config {

struct EndpointListEntry {
  std::string host;
  std::string zone;
  std::string instance_type;
  /// The address to connect to; not set if the endpoint has been removed.
  sockaddr_in address{};
  std::uint32_t cell = 0;
  EndpointStatus status = EndpointStatus::kUp;
  /// Milliseconds since the Unix epoch; 0 if the start time is not given.
  std::chrono::milliseconds started_at{0};
};

struct EndpointList {
  std::uint64_t version = 0;
  /// Whether the list contains all endpoints, or only those that have changed.
  bool complete = true;
  std::vector<EndpointListEntry> entries;
};

/// Reads an endpoint list. Throws JsonError if it is invalid.
EndpointList read_endpoint_list(const Json::Value& list);

}  // namespace beechhill::config
