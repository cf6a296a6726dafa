#include "maintenance/status_json.h"

#include <json/json.h>

namespace beechhill::maintenance {
namespace {

Json::Value as_json(const std::set<std::string>& texts) {
  Json::Value all(Json::arrayValue);
  for (const std::string& t : texts) {
    all.append(t);
  }
  return all;
}

const char* stage(const Request& q) {
  return q.cancelled  ? "cancelled"
         : q.ended    ? "done"
         : q.on_hold  ? "held"
         : q.approved ? "approved"
                      : "asked";
}

Json::Value as_json(const Request& q) {
  Json::Value v;
  v["id"] = q.id, v["stage"] = stage(q),
  v["role"] = q.select.role == Role::kProxy ? "proxy" : "backend";
  if (!q.select.ids.empty()) {
    v["machines"] = as_json(q.select.ids);
  }
  for (const auto& [key, text] : {std::pair("zone", q.select.zone),
                                  {"cell", q.select.cell},
                                  {"kind", q.select.kind},
                                  {"by", q.requested_by},
                                  {"why", q.reason}}) {
    if (!text.empty()) {
      v[key] = text;
    }
  }
  v["at_once"] = q.max_concurrent, v["priority"] = q.priority,
  v["asked"] = Json::Int64(q.requested_at), v["done"] = as_json(q.completed_machines);
  if (q.work_duration > 0) {
    v["length_s"] = Json::Int64(q.work_duration);
  }
  if (q.not_before > 0) {
    v["not_before"] = Json::Int64(q.not_before);
  }
  if (q.not_after > 0) {
    v["not_after"] = Json::Int64(q.not_after);
  }
  return v;
}

Json::Value as_json(const MaintenanceWorkflow& c) {
  Json::Value v;
  v["machine"] = c.machine, v["request"] = c.request, v["step"] = name(c.state),
  v["fence"] = Json::UInt64(c.fencing_token);
  v["since"] = Json::Int64(c.state_since), v["confirmed"] = as_json(c.confirmed_proxies);
  return v;
}

}  // namespace

std::string status_json(const MaintenanceStateMachine& ledger,
                        const std::map<std::string, LogIndex>& shown, const std::string& request,
                        const std::string& trouble) {
  Json::Value root;
  root["index"] = Json::UInt64(ledger.applied_index()), root["time"] = Json::Int64(ledger.time()),
  root["paused"] = ledger.paused();
  if (!trouble.empty()) {
    root["trouble"] = trouble;
  }
  root["requests"] = root["courses"] = Json::Value(Json::arrayValue);
  root["proxies"] = as_json(ledger.proxies());
  for (const auto& [id, q] : ledger.requests()) {
    if (request.empty() || request == id) {
      root["requests"].append(as_json(q));
    }
  }
  for (const auto& [id, c] : ledger.workflows()) {
    if (request.empty() || request == c.request) {
      root["courses"].append(as_json(c));
    }
  }
  if (!request.empty()) {
    for (const std::string& line : ledger.explain(request, shown)) {
      root["waits"].append(line);
    }
  }
  Json::StreamWriterBuilder writer;
  writer["indentation"] = "";
  return Json::writeString(writer, root) + "\n";
}

}  // namespace beechhill::maintenance
