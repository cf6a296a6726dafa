#include "handover/state.h"

#include <json/json.h>
#include <xxhash.h>

#include <memory>

namespace beechhill::handover {
namespace {

constexpr int kFormat = 1;
constexpr const char* kMagic = "beechhill-handover";

std::string checksum(std::string_view line) { return std::to_string(XXH64(line.data(), line.size(), 0)); }

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
  root["is"] = kMagic;
  root["format"] = kFormat;
  root["generation"] = Json::UInt64(state.generation);
  root["drained"] = state.drained;
  root["barred"] = Json::Value(Json::arrayValue);
  for (const std::string& host : state.barred) root["barred"].append(host);
  Json::StreamWriterBuilder writer;
  writer["indentation"] = "";
  const std::string line = Json::writeString(writer, root);
  return line + "\n" + checksum(line) + "\n";
}

std::optional<SharedState> decode(std::string_view text) {
  const auto end = text.find('\n');
  if (end == std::string_view::npos) return std::nullopt;
  const std::string_view line = text.substr(0, end);
  if (text.substr(end + 1) != checksum(line) + "\n") return std::nullopt;
  Json::Value root;
  const std::unique_ptr<Json::CharReader> reader(Json::CharReaderBuilder().newCharReader());
  if (!reader->parse(line.data(), line.data() + line.size(), &root, nullptr) || !root.isObject()) return std::nullopt;
  if (root["is"] != kMagic || root["format"] != kFormat) return std::nullopt;
  if (!root["generation"].isUInt64() || !root["drained"].isBool() || !root["barred"].isArray()) return std::nullopt;
  SharedState state;
  state.generation = root["generation"].asUInt64();
  state.drained = root["drained"].asBool();
  for (const Json::Value& host : root["barred"]) {
    if (!host.isString()) return std::nullopt;
    state.barred.insert(host.asString());
  }
  return state;
}

}  // namespace beechhill::handover
