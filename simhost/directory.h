// The simulator's directories: numbered endpoint lists to which its discovery events refer.
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

/// An endpoint as the simulator describes it, with names in place of the balancer's integer ids.
struct DirectoryEntry {
  std::string upstream;
  std::string zone;
  std::string instance_type;
  EndpointStatus status = EndpointStatus::kUp;
  std::uint32_t cell = 0;
  /// Absent if the simulator gives no start time; the endpoint then counts as started long ago.
  std::optional<Time> started_at;
};

using Directory = std::vector<DirectoryEntry>;

/// The number of directories; slots are numbered from 0.
inline constexpr std::size_t kDirectorySlots = 16;

/// The directories by slot. All instances of a process share them.
using Directories = std::array<Directory, kDirectorySlots>;

/// Reads the endpoint list of a "Directory" event. Throws config::JsonError.
Directory read_directory(const Json::Value& event);

/// Reads the "slot" of an event, which must be less than kDirectorySlots. Throws config::JsonError.
std::size_t read_slot(const Json::Value& event);

}  // namespace beechhill::wire
