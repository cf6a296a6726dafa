#include "handover/state.h"

#include <utility>

#include "config/sealed.h"

namespace beechhill::handover {
namespace {

constexpr int kFormat = 1;
constexpr const char* kMagic = "beechhill-handover";

}  // namespace

void apply(SharedState& state, Change change, const std::string& host) {
  switch (change) {
    case Change::kExclude:
      state.barred.insert(host);
      break;
    case Change::kInclude:
      state.barred.erase(host);
      break;
    case Change::kEvacuate:
    case Change::kRejoin:
      state.drained = change == Change::kEvacuate;
      break;
  }
}

std::string encode(const SharedState& state) {
  Json::Value root;
  root["generation"] = Json::UInt64(state.generation);
  root["drained"] = state.drained;
  root["barred"] = Json::Value(Json::arrayValue);
  for (const std::string& host : state.barred) {
    root["barred"].append(host);
  }
  return config::seal(std::move(root), kMagic, kFormat);
}

std::optional<SharedState> decode(std::string_view text) {
  const auto sealed = config::unseal(text, kMagic, kFormat);
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
    state.barred.insert(host.asString());
  }
  return state;
}

}  // namespace beechhill::handover
