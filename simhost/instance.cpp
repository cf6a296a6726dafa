#include "instance.h"

#include <cstdint>
#include <utility>
#include <variant>

#include "config/settings_reader.h"

namespace beechhill::wire {
namespace {

using config::convert;
using config::find_member;
using config::get_member;
using config::require_object;
using config::throw_json_error;

// Maximum length of a timer tag. Every number of 19 decimal digits fits into a 64-bit integer.
constexpr std::size_t kMaxTagDigits = 19;

Result read_result(const Json::Value& event) {
  switch (get_member<std::uint32_t>(event, "result")) {
    case 0:
      return Result::kOk;
    case 5:
      return Result::kError;
    case 11:
      return Result::kOverloaded;
    case 104:
      return Result::kReset;
    case 110:
      return Result::kTimeout;
    case 111:
      return Result::kConnectFailed;
    case 114:
      return Result::kSkipped;
    case 125:
      return Result::kCancelled;
    default:
      throw_json_error("result",
                       "unknown result code; 0, 5, 11, 104, 110, 111, 114 and 125 are accepted");
  }
}

LoadReport read_load_report(const Json::Value& event) {
  LoadReport report;
  const Json::Value* const info = find_member(event, "health-info");
  if (info == nullptr) {
    return report;
  }
  if (!info->isObject()) {
    throw_json_error("health-info", "not an object");
  }
  if (const Json::Value* utilization = find_member(*info, "cpu_share")) {
    report.utilization = convert<double>(*utilization, "cpu_share");
  }
  if (const Json::Value* rate = find_member(*info, "served_ps")) {
    report.requests_per_s = convert<double>(*rate, "served_ps");
  }
  return report;
}

UpdateKind read_update_kind(const Json::Value& event) {
  const auto mode = get_member<std::string>(event, "mode");
  if (mode == "D") {
    return UpdateKind::kDelta;
  }
  if (mode == "F") {
    return UpdateKind::kSnapshot;
  }
  if (mode == "C") {
    return UpdateKind::kCached;
  }
  if (mode == "X") {
    return UpdateKind::kFailed;
  }
  throw_json_error("mode", "not one of D, F, C, X");
}

Json::Value begin_action(const char* type) {
  Json::Value json(Json::objectValue);
  json["event_type"] = type;
  return json;
}

}  // namespace

Instance::Instance(Time now, const Json::Value& begin, std::vector<Action>& actions)
    : balancer_(now, read_settings(begin), actions) {
}

Settings Instance::read_settings(const Json::Value& begin) {
  config::NamedSettings named =
      config::read_settings(require_object(begin, "env"), get_member<std::uint64_t>(begin, "prng"));
  for (const std::string& name : named.classes) {
    classes_.id(name);
  }
  for (const std::string& name : named.tenants) {
    tenants_.id(name);
  }
  zones_.id(named.zone);
  return std::move(named.settings);
}

std::optional<Event> Instance::read_event(std::string_view type, const Json::Value& json,
                                          const Directories& directories) {
  if (type == "Request") {
    return read_request(json);
  }
  if (type == "Done") {
    return read_outcome(json);
  }
  if (type == "Wakeup") {
    return read_timer(json);
  }
  if (type == "StatusBack") {
    return read_health_check_result(json);
  }
  if (type == "Discovery") {
    return read_endpoint_update(json, directories);
  }
  if (type == "FirstByte") {
    return read_first_byte(json);
  }
  if (type == "CancelledByClient") {
    return read_client_disconnect(json);
  }
  if (type == "Message") {
    // Ignores a message of another balancer, as this implementation's balancers exchange none.
    return std::nullopt;
  }
  throw_json_error("event_type", "not a known event");
}

void Instance::erase_ended_requests() {
  for (const RequestId id : changed_requests_) {
    const auto request = requests_.find(id);
    if (request == requests_.end() || !request->second.ended || request->second.open_attempts > 0) {
      continue;
    }
    request_ids_.erase(request->second.name);
    requests_.erase(request);
  }
  changed_requests_.clear();
}

Event Instance::read_request(const Json::Value& json) {
  Request request;
  const auto name = get_member<std::string>(json, "id");
  request.id = next_request_id_++;
  if (!request_ids_.try_emplace(name, request.id).second) {
    throw_json_error("id", "already used by a known request");
  }
  requests_[request.id].name = name;
  const auto class_id = classes_.find(get_member<std::string>(json, "kind"));
  if (!class_id) {
    throw_json_error("kind", "not listed in profiles");
  }
  request.class_id = *class_id;
  const Json::Value* const account = find_member(json, "account");
  if (account != nullptr && account->isString()) {
    const auto tenant = tenants_.find(account->asString());
    if (!tenant) {
      throw_json_error("account", "not listed in tenants");
    }
    request.tenant = *tenant;
  }
  request.deadline = get_member<Duration>(json, "drop-dead");
  if (find_member(json, "hint") != nullptr) {
    request.work_hint = get_member<Duration>(json, "hint");
  }
  return request;
}

Event Instance::read_outcome(const Json::Value& json) {
  const auto id = find_request(json);
  if (!id) {
    throw_json_error("id", "names no known request");
  }
  RequestEntry& request = requests_.at(*id);
  --request.open_attempts;
  const Outcome outcome{*id, get_member<std::uint32_t>(json, "send-no"), read_result(json),
                        get_member<bool>(json, "final"), read_load_report(json)};
  request.ended |= outcome.is_final;
  return outcome;
}

Event Instance::read_timer(const Json::Value& json) const {
  const auto tag = get_member<std::string>(json, "tag");
  if (tag.empty() || tag.size() > kMaxTagDigits ||
      tag.find_first_not_of("0123456789") != std::string::npos) {
    throw_json_error("tag", "not a timer tag; 1 to 19 decimal digits are accepted");
  }
  return Timer{std::stoull(tag)};
}

Event Instance::read_health_check_result(const Json::Value& json) const {
  const auto endpoint = endpoints_.find(get_member<std::string>(json, "upstream"));
  if (!endpoint) {
    throw_json_error("upstream", "not on any endpoint list that this instance has received");
  }
  return HealthCheckResult{*endpoint, read_result(json), read_load_report(json)};
}

Event Instance::read_endpoint_update(const Json::Value& json, const Directories& directories) {
  EndpointUpdate update;
  update.kind = read_update_kind(json);
  if (update.kind == UpdateKind::kFailed) {
    return update;
  }
  for (const DirectoryEntry& entry : directories[read_slot(json)]) {
    update.endpoints.push_back({endpoints_.id(entry.upstream), entry.status, zones_.id(entry.zone),
                                entry.cell, entry.started_at,
                                instance_types_.id(entry.instance_type)});
  }
  return update;
}

std::optional<Event> Instance::read_first_byte(const Json::Value& json) {
  const auto id = find_request(json);
  if (!id) {
    return std::nullopt;
  }
  return FirstByte{*id, get_member<std::uint32_t>(json, "send-no")};
}

std::optional<Event> Instance::read_client_disconnect(const Json::Value& json) {
  const auto id = find_request(json);
  if (!id) {
    return std::nullopt;
  }
  requests_.at(*id).ended = true;
  return ClientDisconnected{*id};
}

// Returns nullopt for an unknown request: one that never began, or that has ended and been erased.
std::optional<RequestId> Instance::find_request(const Json::Value& json) {
  const auto request = request_ids_.find(get_member<std::string>(json, "id"));
  if (request == request_ids_.end()) {
    return std::nullopt;
  }
  changed_requests_.push_back(request->second);
  return request->second;
}

Json::Value Instance::write_action(const Action& action) {
  return std::visit([this](const auto& alternative) { return write(alternative); }, action);
}

Json::Value Instance::write_request_action(const char* type, RequestId id) const {
  Json::Value json = begin_action(type);
  json["id"] = requests_.at(id).name;
  return json;
}

Json::Value Instance::write(const StartAttempt& action) {
  Json::Value json = write_request_action("Relay", action.id);
  ++requests_.at(action.id).open_attempts;
  json["upstream"] = endpoints_.name(action.endpoint);
  return json;
}

Json::Value Instance::write(const Cancel& action) const {
  Json::Value json = write_request_action("DropAttempt", action.id);
  json["send-no"] = action.attempt;
  return json;
}

Json::Value Instance::write(const Reject& action) {
  Json::Value json = write_request_action("PushBack", action.id);
  json["cool-down"] = Json::Int64(action.retry_after.count());
  end_request(action.id);
  return json;
}

Json::Value Instance::write(const Fail& action) {
  Json::Value json = write_request_action("ReportFailure", action.id);
  end_request(action.id);
  return json;
}

Json::Value Instance::write(const HealthCheck& action) const {
  Json::Value json = begin_action("Sample");
  json["upstream"] = endpoints_.name(action.endpoint);
  return json;
}

Json::Value Instance::write(const SetTimer& action) const {
  Json::Value json = begin_action("Remind");
  json["tag"] = std::to_string(action.token);
  json["alarm-time"] = Json::Int64(action.at.count());
  return json;
}

Json::Value Instance::write(const WatchEndpoints& /*action*/) const {
  Json::Value json = begin_action("Listen");
  json["want"] = true;
  return json;
}

void Instance::end_request(RequestId id) {
  requests_.at(id).ended = true;
  changed_requests_.push_back(id);
}

}  // namespace beechhill::wire
