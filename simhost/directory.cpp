#include "directory.h"

#include <utility>

namespace beechhill::wire {
namespace {

EndpointStatus read_status(const Json::Value& entry) {
  const auto state = config::get_member<std::string>(entry, "state");
  if (state == "up") {
    return EndpointStatus::kUp;
  }
  if (state == "draining") {
    return EndpointStatus::kDraining;
  }
  if (state == "removed") {
    return EndpointStatus::kRemoved;
  }
  config::throw_json_error("state", "not one of up, draining, removed");
}

DirectoryEntry read_entry(const Json::Value& json) {
  DirectoryEntry entry;
  entry.upstream = config::get_member<std::string>(json, "upstream");
  entry.zone = config::get_member<std::string>(json, "az", "");
  entry.instance_type = config::get_member<std::string>(json, "kind", "");
  entry.status = read_status(json);
  entry.cell = config::get_member<std::uint32_t>(json, "unit-group", 0);
  const auto started_at = config::get_member<Duration>(json, "born", Duration{0});
  if (started_at > Duration{0}) {
    entry.started_at = started_at;
  }
  return entry;
}

}  // namespace

Directory read_directory(const Json::Value& event) {
  Directory directory;
  for (const Json::Value& entry : config::require_array(event, "entries")) {
    directory.push_back(read_entry(entry));
  }
  return directory;
}

std::size_t read_slot(const Json::Value& event) {
  const auto slot = config::get_member<std::uint32_t>(event, "slot");
  if (slot >= kDirectorySlots) {
    config::throw_json_error("slot", "not in 0 to 15");
  }
  return slot;
}

}  // namespace beechhill::wire
