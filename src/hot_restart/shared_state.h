// What the processes of one proxy share over a hot restart: the stored format, and how changes are
// applied. Free of I/O.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace beechhill::hot_restart {

struct SharedState {
  /// Of the process that started last; the first is 1.
  std::uint64_t generation = 0;
  /// Clients are sent away.
  bool drained = false;
  /// Ids of the backends that operators have excluded.
  std::set<std::string> excluded_backends;

  bool operator==(const SharedState&) const = default;
};

/// An operator's change. It is applied to the state as it is stored, never to a copy that a process
/// holds: so changes at two processes cannot undo each other.
enum class StateChange { kExclude, kInclude, kDrain, kResume };

/// Applies `change`. `backend_id` matters to kExclude and kInclude only. Idempotent.
void apply(SharedState& state, StateChange change, const std::string& backend_id);

/// Returns the state as checksummed JSON (config/checksummed_json.h). An id may hold any bytes that
/// a JSON text can.
std::string encode(const SharedState& state);

/// Returns the complete state, or nothing where `text` is torn, damaged or of another kind or
/// version.
std::optional<SharedState> decode(std::string_view text);

}  // namespace beechhill::hot_restart
