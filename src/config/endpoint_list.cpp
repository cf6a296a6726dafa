#include "config/endpoint_list.h"

#include <utility>

#include "config/address_reader.h"

namespace beechhill::config {
namespace {

// Latest accepted start time. It does not overflow when it is converted to microseconds.
constexpr std::chrono::milliseconds kMaxStartTime{100'000'000'000'000};

EndpointStatus read_status(const Json::Value& entry) {
  const auto health = get_member<std::string>(entry, "health");
  if (health == "in_service") {
    return EndpointStatus::kUp;
  }
  if (health == "terminating") {
    return EndpointStatus::kDraining;
  }
  if (health == "terminated") {
    return EndpointStatus::kRemoved;
  }
  throw_json_error("health", "not one of in_service, terminating, terminated",
                   find_member(entry, "health"));
}

std::chrono::milliseconds read_start_time(const Json::Value& entry) {
  const std::chrono::milliseconds started_at(
      get_member<Duration>(entry, "born_ms", Duration{0}).count());
  if (started_at < std::chrono::milliseconds{0} || started_at > kMaxStartTime) {
    throw_json_error("born_ms", "not from 0 to 100000000000000 (Unix time in milliseconds)",
                     find_member(entry, "born_ms"));
  }
  return started_at;
}

EndpointListEntry read_entry(const Json::Value& json) {
  EndpointListEntry entry;
  entry.host = get_member<std::string>(json, "host");
  entry.status = read_status(json);
  if (entry.status != EndpointStatus::kRemoved) {
    entry.address = read_address(json, "dial");
  }
  entry.zone = get_member<std::string>(json, "site", "");
  entry.instance_type = get_member<std::string>(json, "class", "");
  entry.cell = get_member<std::uint32_t>(json, "block", 0);
  entry.started_at = read_start_time(json);
  return entry;
}

}  // namespace

EndpointList read_endpoint_list(const Json::Value& list) {
  EndpointList result;
  result.version = get_member<std::uint64_t>(list, "seq");
  result.complete = get_member<bool>(list, "whole");
  for (const Json::Value& entry : require_array(list, "hosts")) {
    result.entries.push_back(read_entry(entry));
  }
  return result;
}

}  // namespace beechhill::config
