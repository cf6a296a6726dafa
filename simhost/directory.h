// The simulator's numbered lists of endpoints, which its discovery events refer to.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "beechhill/balancer.h"
#include "config/json.h"

namespace beechhill::wire {

/// An endpoint with the names that the simulator gives it.
struct DirectoryEntry {
  std::string upstream;
  std::string zone;
  std::string instance_type;
  EndpointStatus status = EndpointStatus::kUp;
  std::uint32_t cell = 0;
  /// Absent: long ago.
  std::optional<Time> started_at;
};

using Directory = std::vector<DirectoryEntry>;

inline constexpr std::size_t kDirectorySlots = 16;

/// By slot. Shared by all instances of a process.
using Directories = std::array<Directory, kDirectorySlots>;

/// The list in a "Directory" event. Throws config::JsonError.
Directory read_directory(const Json::Value& event);

/// The "slot" of an event, under kDirectorySlots. Throws config::JsonError.
std::size_t read_slot(const Json::Value& event);

}  // namespace beechhill::wire
