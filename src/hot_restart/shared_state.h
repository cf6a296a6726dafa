// What the processes of one proxy share over an upgrade: its format and how changes go into it. No
// I/O.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace beechhill::hot_restart {

struct SharedState {
  std::uint64_t generation = 0;  // of the process that started last; the first is 1
  bool drained = false;
  std::set<std::string> excluded_backends;  // ids of backends left out by hand

  bool operator==(const SharedState&) const = default;
};

// What an operator ordered. It is applied to the state as it stands, never to a copy that a process
// remembers: so two processes' orders cannot undo each other.
enum class StateChange { kExclude, kInclude, kDrain, kResume };
void apply(SharedState& state, StateChange change, const std::string& host);

// One line of JSON and one with its checksum (xxHash64). A host may hold any bytes that JSON text
// can.
std::string encode(const SharedState& state);
// Nothing where it is torn, foreign or another version's.
std::optional<SharedState> decode(std::string_view text);

}  // namespace beechhill::hot_restart
