#include "hot_restart/shared_state.h"

#include <utility>

#include "config/checksummed_json.h"

namespace beechhill::hot_restart {
namespace {

constexpr int kFormat = 1;
constexpr const char* kMagic = "beechhill-handover";

// Keys of the stored format.
constexpr const char* kGenerationKey = "generation";
constexpr const char* kDrainedKey = "drained";
constexpr const char* kExcludedBackendsKey = "barred";

}  // namespace

void apply(SharedState& state, StateChange change, const std::string& backend_id) {
  switch (change) {
    case StateChange::kExclude:
      state.excluded_backends.insert(backend_id);
      break;
    case StateChange::kInclude:
      state.excluded_backends.erase(backend_id);
      break;
    case StateChange::kDrain:
      state.drained = true;
      break;
    case StateChange::kResume:
      state.drained = false;
      break;
  }
}

std::string encode(const SharedState& state) {
  Json::Value root;
  root[kGenerationKey] = Json::UInt64(state.generation);
  root[kDrainedKey] = state.drained;
  Json::Value& excluded_backends = root[kExcludedBackendsKey] = Json::Value(Json::arrayValue);
  for (const std::string& backend_id : state.excluded_backends) {
    excluded_backends.append(backend_id);
  }
  return config::encode_checksummed(std::move(root), kMagic, kFormat);
}

std::optional<SharedState> decode(std::string_view text) {
  const std::optional<Json::Value> decoded = config::decode_checksummed(text, kMagic, kFormat);
  if (!decoded) {
    return std::nullopt;
  }
  const Json::Value& root = *decoded;
  if (!root[kGenerationKey].isUInt64() || !root[kDrainedKey].isBool() ||
      !root[kExcludedBackendsKey].isArray()) {
    return std::nullopt;
  }
  SharedState state;
  state.generation = root[kGenerationKey].asUInt64();
  state.drained = root[kDrainedKey].asBool();
  for (const Json::Value& backend_id : root[kExcludedBackendsKey]) {
    if (!backend_id.isString()) {
      return std::nullopt;
    }
    state.excluded_backends.insert(backend_id.asString());
  }
  return state;
}

}  // namespace beechhill::hot_restart
