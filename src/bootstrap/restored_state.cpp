#include "bootstrap/restored_state.h"

#include <cstdint>
#include <optional>
#include <stdexcept>
#include <utility>

#include "log/log.h"

namespace beechhill::bootstrap {
namespace {

std::unique_ptr<hot_restart::SharedStateDirectory> open_shared_directory(
    const config::Config& config) {
  if (!config.inherited_listener_fd) {
    return nullptr;
  }
  try {
    if (config.shared_state_directory.empty()) {
      throw std::runtime_error("TMPDIR: not set; the shared state directory is unknown");
    }
    return std::make_unique<hot_restart::SharedStateDirectory>(config.shared_state_directory,
                                                               config.name);
  } catch (const std::exception& error) {
    log::fault("handover_off", error);
    return nullptr;
  }
}

// Returns memory for trace ids in `directory`, or private memory if it is null or fails.
proxy::TraceIdMemory trace_id_memory(const config::Config& config,
                                     const hot_restart::SharedStateDirectory* directory) {
  const std::uint64_t hash_seed = config.named_settings.settings.seed;
  if (directory) {
    try {
      return directory->map_trace_ids(hash_seed);
    } catch (const std::exception& error) {
      log::fault("handover_trace_ids_off", error);
    }
  }
  return proxy::private_trace_id_memory(hash_seed);
}

// Returns the scope of the snapshots. Records of endpoints are valid only for the zone, the tier
// and the classes for which they were made, so the scope identifies all of these.
std::string snapshot_scope(const config::Config& config) {
  std::string scope =
      config.named_settings.zone + "/" + std::to_string(config.named_settings.settings.tier);
  for (const std::string& name : config.named_settings.classes) {
    scope += "/" + name;
  }
  return scope;
}

std::unique_ptr<snapshot::SnapshotStore> open_snapshot_store(
    const config::Config& config, const config::SnapshotSettings& settings) {
  if (settings.directory.empty()) {
    return nullptr;
  }
  try {
    return std::make_unique<snapshot::SnapshotStore>(settings.directory, config.name,
                                                     snapshot_scope(config));
  } catch (const std::exception& error) {
    log::fault("snapshot_off", error);
    return nullptr;
  }
}

}  // namespace

RestoredState restore_state(const config::Config& config,
                            const config::OperatorSettings& settings) {
  RestoredState state;
  state.shared_directory = open_shared_directory(config);
  state.trace_ids = trace_id_memory(config, state.shared_directory.get());
  if (state.shared_directory) {
    state.drained = state.shared_directory->state().drained;
    state.excluded_backends = state.shared_directory->state().excluded_backends;
  }
  state.snapshot_store = open_snapshot_store(config, settings.snapshot);
  std::optional<snapshot::Snapshot> found;
  if (state.snapshot_store) {
    found = state.snapshot_store->load(unix_time());
  }
  if (!found) {
    return state;
  }
  log::info("snapshot_found",
            {{"rows", static_cast<std::uint64_t>(found->records.size())},
             {"barred", static_cast<std::uint64_t>(found->excluded_backends.size())}});
  // Exclusions in the shared directory are newer than those in a snapshot.
  if (!state.shared_directory) {
    state.excluded_backends = std::move(found->excluded_backends);
  }
  state.endpoint_records = std::move(found->records);
  return state;
}

std::chrono::milliseconds unix_time() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now().time_since_epoch());
}

}  // namespace beechhill::bootstrap
