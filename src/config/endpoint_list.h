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

/// One endpoint of a list, or the removal of one (EndpointStatus::kRemoved).
struct EndpointListEntry {
  std::string host;
  std::string zone;
  std::string instance_type;
  /// Address for connections to the endpoint; not set if the endpoint has been removed.
  sockaddr_in address{};
  std::uint32_t cell = 0;
  EndpointStatus status = EndpointStatus::kUp;
  /// Start time of the backend's process in milliseconds since the Unix epoch; 0 if unknown.
  std::chrono::milliseconds started_at{0};
};

/// A snapshot or a delta of the endpoints known to discovery.
struct EndpointList {
  std::uint64_t version = 0;
  /// True for a snapshot, which contains all endpoints; false for a delta, which contains only
  /// those that have changed.
  bool complete = true;
  std::vector<EndpointListEntry> entries;
};

/// Reads an endpoint list. Throws JsonError if it is invalid.
EndpointList read_endpoint_list(const Json::Value& list);

}  // namespace beechhill::config
