#include "bootstrap/membership_json.h"

#include <json/json.h>

#include <chrono>

namespace beechhill::bootstrap {

std::string membership_json(const membership::SwimNode& node, const std::string& self,
                            std::uint64_t rejected_datagrams, Time now) {
  Json::Value root;
  root["self"] = self;
  root["sure"] = node.has_contact();
  root["slowness"] = node.local_health_penalty();
  root["incarnation"] = node.incarnation();
  root["refused_datagrams"] = Json::UInt64(rejected_datagrams);
  root["members"] = Json::Value(Json::arrayValue);
  for (const auto& [name, member] : node.members()) {
    Json::Value row;
    row["name"] = name;
    row["address"] = member.update.address;
    row["state"] = membership::name(member.update.state);
    row["incarnation"] = member.update.incarnation;
    row["for_s"] = Json::Int64((now - member.state_since) / std::chrono::seconds(1));
    root["members"].append(row);
  }
  Json::StreamWriterBuilder writer;
  writer["indentation"] = "";
  return Json::writeString(writer, root) + "\n";
}

}  // namespace beechhill::bootstrap
