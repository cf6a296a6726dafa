// The state that the processes of one proxy share during a hot restart: the stored format, and the
// changes to it. Performs no I/O.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace beechhill::hot_restart {

/// The state that the processes of one proxy share.
struct SharedState {
  /// Generation of the process that started last; the first process has generation 1.
  std::uint64_t generation = 0;
  /// Whether an operator has drained the proxy, so that it accepts no clients.
  bool drained = false;
  /// Ids of the backends that operators have excluded.
  std::set<std::string> excluded_backends;

  bool operator==(const SharedState&) const = default;
};

/// A change requested by an operator. A change is applied to the stored state under the directory's
/// lock, so that concurrent changes by two processes are both kept.
enum class StateChange { kExclude, kInclude, kDrain, kResume };

/// Applies `change`. `backend_id` is used by kExclude and kInclude only. Idempotent.
void apply(SharedState& state, StateChange change, const std::string& backend_id);

/// Returns the state as checksummed JSON (config/checksummed_json.h). Backend ids may contain any
/// bytes that JSON strings can hold.
std::string encode(const SharedState& state);

/// Returns the complete state, or nothing if `text` is torn, damaged or of another format or
/// version.
std::optional<SharedState> decode(std::string_view text);

}  // namespace beechhill::hot_restart
