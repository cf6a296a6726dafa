#include "hot_restart/shared_state.h"

#include <utility>

#include "config/checksummed_json.h"

namespace beechhill::hot_restart {
namespace {

constexpr int kFormat = 1;
constexpr const char* kMagic = "beechhill-handover";

}  // namespace

void apply(SharedState& state, StateChange change, const std::string& host) {
  switch (change) {
    case StateChange::kExclude:
      state.excluded_backends.insert(host);
      break;
    case StateChange::kInclude:
      state.excluded_backends.erase(host);
      break;
    case StateChange::kDrain:
    case StateChange::kResume:
      state.drained = change == StateChange::kDrain;
      break;
  }
}

std::string encode(const SharedState& state) {
  Json::Value root;
  root["generation"] = Json::UInt64(state.generation);
  root["drained"] = state.drained;
  root["barred"] = Json::Value(Json::arrayValue);
  for (const std::string& host : state.excluded_backends) {
    root["barred"].append(host);
  }
  return config::encode_checksummed(std::move(root), kMagic, kFormat);
}

std::optional<SharedState> decode(std::string_view text) {
  const auto sealed = config::decode_checksummed(text, kMagic, kFormat);
  if (!sealed) {
    return std::nullopt;
  }
  const Json::Value& root = *sealed;
  if (!root["generation"].isUInt64() || !root["drained"].isBool() || !root["barred"].isArray()) {
    return std::nullopt;
  }
  SharedState state;
  state.generation = root["generation"].asUInt64();
  state.drained = root["drained"].asBool();
  for (const Json::Value& host : root["barred"]) {
    if (!host.isString()) {
      return std::nullopt;
    }
    state.excluded_backends.insert(host.asString());
  }
  return state;
}

}  // namespace beechhill::hot_restart
