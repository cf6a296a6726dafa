#include "maintenance/status_json.h"

#include <json/json.h>

#include "maintenance/maintenance_planner.h"

namespace beechhill::maintenance {
namespace {

template <typename Texts>
Json::Value text_array(const Texts& texts) {
  Json::Value array(Json::arrayValue);
  for (const std::string& text : texts) {
    array.append(text);
  }
  return array;
}

const char* request_stage(const Request& request) {
  if (request.cancelled) {
    return "cancelled";
  }
  if (request.ended) {
    return "done";
  }
  if (request.on_hold) {
    return "held";
  }
  return request.approved ? "approved" : "asked";
}

void set_unless_empty(Json::Value& object, const char* key, const std::string& text) {
  if (!text.empty()) {
    object[key] = text;
  }
}

void set_if_positive(Json::Value& object, const char* key, Seconds seconds) {
  if (seconds > 0) {
    object[key] = Json::Int64(seconds);
  }
}

Json::Value as_json(const Request& request) {
  Json::Value object;
  object["id"] = request.id;
  object["stage"] = request_stage(request);
  object["role"] = request.selector.role == Role::kProxy ? "proxy" : "backend";
  if (!request.selector.ids.empty()) {
    object["machines"] = text_array(request.selector.ids);
  }
  set_unless_empty(object, "zone", request.selector.zone);
  set_unless_empty(object, "cell", request.selector.cell);
  set_unless_empty(object, "kind", request.selector.instance_type);
  set_unless_empty(object, "by", request.requested_by);
  set_unless_empty(object, "why", request.reason);
  object["at_once"] = request.max_concurrent;
  object["priority"] = request.priority;
  object["asked"] = Json::Int64(request.requested_at);
  object["done"] = text_array(request.completed_machines);
  set_if_positive(object, "length_s", request.work_duration);
  set_if_positive(object, "not_before", request.not_before);
  set_if_positive(object, "not_after", request.not_after);
  return object;
}

Json::Value as_json(const MaintenanceWorkflow& workflow) {
  Json::Value object;
  object["machine"] = workflow.machine;
  object["request"] = workflow.request;
  object["step"] = name(workflow.state);
  object["fence"] = Json::UInt64(workflow.fencing_token);
  object["since"] = Json::Int64(workflow.state_since);
  object["confirmed"] = text_array(workflow.confirmed_proxies);
  return object;
}

}  // namespace

std::string status_json(const MaintenanceStateMachine& state,
                        const AcknowledgedIndexes& acknowledged, const std::string& request,
                        const std::string& incident) {
  Json::Value root;
  root["index"] = Json::UInt64(state.applied_index());
  root["time"] = Json::Int64(state.time());
  root["paused"] = state.paused();
  set_unless_empty(root, "trouble", incident);
  root["requests"] = Json::Value(Json::arrayValue);
  root["courses"] = Json::Value(Json::arrayValue);
  root["proxies"] = text_array(state.proxies());
  for (const auto& [id, entry] : state.requests()) {
    if (request.empty() || request == id) {
      root["requests"].append(as_json(entry));
    }
  }
  for (const auto& [machine, workflow] : state.workflows()) {
    if (request.empty() || request == workflow.request) {
      root["courses"].append(as_json(workflow));
    }
  }
  if (!request.empty()) {
    for (const std::string& line : MaintenancePlanner(state).explain(request, acknowledged)) {
      root["waits"].append(line);
    }
  }
  Json::StreamWriterBuilder writer;
  writer["indentation"] = "";
  return Json::writeString(writer, root) + "\n";
}

}  // namespace beechhill::maintenance
