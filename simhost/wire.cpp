#include "wire.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <sstream>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "beechhill/balancer.h"
#include "config/interner.h"
#include "config/settings_reader.h"

namespace beechhill::wire {
namespace {

using config::convert;
using config::find_member;
using config::get_member;
using config::require_array;
using config::require_member;
using config::require_object;
using config::throw_json_error;

constexpr std::size_t kSlots = 16;

struct ListEntry {
  std::string upstream, zone, kind;
  EndpointStatus state = EndpointStatus::kUp;
  std::uint32_t cell = 0;
  std::optional<Time> born;
};

EndpointStatus state_from(std::string_view word) {
  if (word == "up") {
    return EndpointStatus::kUp;
  }
  if (word == "draining") {
    return EndpointStatus::kDraining;
  }
  if (word == "removed") {
    return EndpointStatus::kRemoved;
  }
  throw_json_error("state", "not one of up, draining, removed");
}

std::vector<ListEntry> read_directory(const Json::Value& event) {
  std::vector<ListEntry> list;
  for (const Json::Value& row : require_array(event, "entries")) {
    ListEntry e;
    e.upstream = get_member<std::string>(row, "upstream");
    e.zone = get_member<std::string>(row, "az", "");
    e.kind = get_member<std::string>(row, "kind", "");
    e.state = state_from(get_member<std::string>(row, "state"));
    e.cell = get_member<std::uint32_t>(row, "unit-group", 0);
    const auto born = get_member<Duration>(row, "born", Duration{0});
    if (born > Duration{0}) {
      e.born = born;
    }
    list.push_back(std::move(e));
  }
  return list;
}

Result result_from(const Json::Value& event) {
  switch (get_member<std::uint32_t>(event, "result")) {
    case 0:
      return Result::kOk;
    case 5:
      return Result::kError;
    case 11:
      return Result::kOverloaded;
    case 110:
      return Result::kTimeout;
    case 111:
      return Result::kConnectFailed;
    case 104:
      return Result::kReset;
    case 125:
      return Result::kCancelled;
    case 114:
      return Result::kSkipped;
    default:
      throw_json_error("result", "not a known code");
  }
}

LoadReport report_in(const Json::Value& event) {
  LoadReport report;
  const Json::Value* info = find_member(event, "health-info");
  if (!info) {
    return report;
  }
  if (!info->isObject()) {
    throw_json_error("health-info", "not an object");
  }
  if (const Json::Value* v = find_member(*info, "cpu_share")) {
    report.utilization = convert<double>(*v, "cpu_share");
  }
  if (const Json::Value* v = find_member(*info, "served_ps")) {
    report.requests_per_s = convert<double>(*v, "served_ps");
  }
  return report;
}

// ---- One instance

class Instance {
 public:
  Instance(Time now, const Json::Value& begin, std::vector<Action>& actions)
      : balancer_(now, settings_from(begin), actions) {}

  Balancer& balancer() { return balancer_; }

  std::optional<Event> event_from(std::string_view type, const Json::Value& e,
                                  const std::array<std::vector<ListEntry>, kSlots>& lists) {
    if (type == "Request") {
      return request_from(e);
    }
    if (type == "Done") {
      return outcome_from(e);
    }
    if (type == "Wakeup") {
      return timer_from(e);
    }
    if (type == "StatusBack") {
      const auto server = servers_.known(get_member<std::string>(e, "upstream"));
      if (!server) {
        throw_json_error("upstream", "not on any list of this instance");
      }
      return HealthCheckResult{*server, result_from(e), report_in(e)};
    }
    if (type == "Discovery") {
      return discovery_from(e, lists);
    }
    if (type == "FirstByte") {
      const auto id = request(e);
      if (!id) {
        return std::nullopt;
      }
      return FirstByte{*id, get_member<std::uint32_t>(e, "send-no")};
    }
    if (type == "CancelledByClient") {
      const auto id = request(e);
      if (!id) {
        return std::nullopt;
      }
      open_.at(*id).over = true;
      return ClientDisconnected{*id};
    }
    if (type == "Message") {
      return std::nullopt;  // this module sends none, so none is for it
    }
    throw_json_error("event_type", "not a known event");
  }

  Json::Value json_of(const Action& action) {
    return std::visit([&](const auto& a) { return put(a); }, action);
  }

  void tidy() {  // forgets requests that are over, after their batch was answered
    for (const RequestId id : touched_) {
      const auto it = open_.find(id);
      if (it == open_.end() || !it->second.over || it->second.attempts > 0) {
        continue;
      }
      requests_.erase(it->second.name);
      open_.erase(it);
    }
    touched_.clear();
  }

 private:
  struct Open {
    std::string name;
    int attempts = 0;
    bool over = false;
  };

  Settings settings_from(const Json::Value& begin) {
    config::NamedSettings named = config::read_settings(require_object(begin, "env"),
                                                        get_member<std::uint64_t>(begin, "prng"));
    for (const auto& name : named.classes) {
      classes_.id(name);
    }
    for (const auto& name : named.tenants) {
      tenants_.id(name);
    }
    zones_.id(named.zone);
    return std::move(named.settings);
  }

  Event request_from(const Json::Value& e) {
    Request r;
    const auto name = get_member<std::string>(e, "id");
    r.id = next_request_++;
    if (!requests_.try_emplace(std::string(name), r.id).second) {
      throw_json_error("id", "came before");
    }
    open_[r.id].name = name;
    const auto class_id = classes_.known(get_member<std::string>(e, "kind"));
    if (!class_id) {
      throw_json_error("kind", "not listed in profiles");
    }
    r.class_id = *class_id;
    const Json::Value* account = find_member(e, "account");
    if (account && account->isString()) {
      const auto tenant = tenants_.known(account->asString());
      if (!tenant) {
        throw_json_error("account", "not listed in tenants");
      }
      r.tenant = *tenant;
    }
    r.deadline = get_member<Duration>(e, "drop-dead");
    if (find_member(e, "hint")) {
      r.work_hint = get_member<Duration>(e, "hint");
    }
    return r;
  }

  std::optional<Event> outcome_from(const Json::Value& e) {
    const auto id = request(e);
    if (!id) {
      throw_json_error("id", "has no attempt out");
    }
    Open& open = open_.at(*id);
    --open.attempts;
    Outcome o{*id, get_member<std::uint32_t>(e, "send-no"), result_from(e),
              get_member<bool>(e, "final"), report_in(e)};
    open.over |= o.is_final;
    return o;
  }

  Event timer_from(const Json::Value& e) const {
    const std::string tag(get_member<std::string>(e, "tag"));
    if (tag.empty() || tag.size() > 19 ||
        tag.find_first_not_of("0123456789") != std::string::npos) {
      throw_json_error("tag", "not one that was set");
    }
    return Timer{std::stoull(tag)};
  }

  Event discovery_from(const Json::Value& e,
                       const std::array<std::vector<ListEntry>, kSlots>& lists) {
    EndpointUpdate d;
    const auto mode = get_member<std::string>(e, "mode");
    if (mode == "D") {
      d.kind = UpdateKind::kDelta;
    } else if (mode == "F") {
      d.kind = UpdateKind::kSnapshot;
    } else if (mode == "C") {
      d.kind = UpdateKind::kCached;
    } else if (mode == "X") {
      d.kind = UpdateKind::kFailed;
      return d;
    } else {
      throw_json_error("mode", "not one of D, F, C, X");
    }
    const auto slot = get_member<std::uint32_t>(e, "slot");
    if (slot >= kSlots) {
      throw_json_error("slot", "not in 0 to 15");
    }
    for (const ListEntry& row : lists[slot]) {
      d.endpoints.push_back({servers_.id(row.upstream), row.state, zones_.id(row.zone), row.cell,
                             row.born, kinds_.id(row.kind)});
    }
    return d;
  }

  std::optional<RequestId> request(const Json::Value& e) {
    const auto it = requests_.find(std::string(get_member<std::string>(e, "id")));
    if (it == requests_.end()) {
      return std::nullopt;
    }
    touched_.push_back(it->second);
    return it->second;
  }

  // ---- Actions

  Json::Value row(const char* type) const {
    Json::Value out(Json::objectValue);
    out["event_type"] = type;
    return out;
  }
  Json::Value row(const char* type, RequestId id) const {
    Json::Value out = row(type);
    out["id"] = open_.at(id).name;
    return out;
  }
  Json::Value put(const StartAttempt& a) {
    Json::Value out = row("Relay", a.id);
    ++open_.at(a.id).attempts;
    out["upstream"] = servers_.name(a.endpoint);
    return out;
  }
  Json::Value put(const Cancel& a) {
    Json::Value out = row("DropAttempt", a.id);
    out["send-no"] = a.attempt;
    return out;
  }
  Json::Value put(const Reject& a) {
    Json::Value out = row("PushBack", a.id);
    out["cool-down"] = Json::Int64(a.retry_after.count());
    end(a.id);
    return out;
  }
  Json::Value put(const Fail& a) {
    Json::Value out = row("ReportFailure", a.id);
    end(a.id);
    return out;
  }
  Json::Value put(const HealthCheck& a) {
    Json::Value out = row("Sample");
    out["upstream"] = servers_.name(a.endpoint);
    return out;
  }
  Json::Value put(const SetTimer& a) {
    Json::Value out = row("Remind");
    out["tag"] = std::to_string(a.token);
    out["alarm-time"] = Json::Int64(a.at.count());
    return out;
  }
  Json::Value put(const WatchEndpoints&) {
    Json::Value out = row("Listen");
    out["want"] = true;
    return out;
  }
  void end(RequestId id) {
    open_.at(id).over = true;
    touched_.push_back(id);
  }

  config::Interner servers_, zones_, kinds_, classes_,
      tenants_;  // filled by settings_from: stay ahead of balancer_
  std::unordered_map<std::string, RequestId> requests_;
  std::unordered_map<RequestId, Open> open_;
  std::vector<RequestId> touched_;
  RequestId next_request_ = 0;
  Balancer balancer_;
};

}  // namespace

// ---- The process: batches in, replies out

class Host::Impl {
 public:
  Impl() {
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    writer_.reset(builder.newStreamWriter());
  }

  std::string reply_to(const std::string& line) {
    std::string where = "batch ?: ";
    try {
      const Json::Value batch = config::parse(line.data(), line.data() + line.size(), "line");
      if (!batch.isObject()) {
        throw_json_error("line", "not a JSON object");
      }
      const auto serial = get_member<std::uint64_t>(batch, "serial");
      where = "batch " + std::to_string(serial) + ": ";
      const Time now = get_member<Duration>(batch, "moment");
      Json::Value reply(Json::objectValue);
      reply["serial"] = Json::UInt64(serial);
      Json::Value& groups = reply["balancers"] = Json::Value(Json::arrayValue);
      for (const Json::Value& group : require_array(batch, "balancers")) {
        play(now, group, groups);
      }
      std::ostringstream text;
      writer_->write(reply, &text);
      return text.str();
    } catch (const config::JsonError& error) {
      throw WireError(where + error.what());
    }
  }

 private:
  void play(Time now, const Json::Value& group, Json::Value& groups) {
    const auto name = get_member<std::string>(group, "balancer-id");
    Json::Value out(Json::arrayValue);
    for (const Json::Value& e : require_array(group, "events")) {
      const auto type = get_member<std::string>(e, "event_type");
      actions_.clear();
      std::string failure;
      try {
        step(now, name, type, e);
      } catch (const config::JsonError&) {
        throw;
      } catch (const std::exception& error) {
        failure = error.what();
      }
      for (const Action& action : actions_) {
        out.append(instances_.at(name)->json_of(action));
      }
      if (failure.empty()) {
        continue;
      }
      Json::Value row(Json::objectValue);
      row["event_type"] = "InternalError";
      row["what"] = failure;
      out.append(std::move(row));
    }
    if (const auto it = instances_.find(name); it != instances_.end()) {
      it->second->tidy();
    }
    if (out.empty()) {
      return;
    }
    Json::Value& answered = groups.append(Json::Value(Json::objectValue));
    answered["balancer-id"] = name;
    answered["out"] = std::move(out);
  }

  void step(Time now, const std::string& name, std::string_view type, const Json::Value& e) {
    if (type == "Directory") {
      const auto slot = get_member<std::uint32_t>(e, "slot");
      if (slot >= kSlots) {
        throw_json_error("slot", "not in 0 to 15");
      }
      lists_[slot] = read_directory(e);
    } else if (type == "Begin") {
      instances_[name] = std::make_unique<Instance>(now, e, actions_);
    } else {
      const auto it = instances_.find(name);
      if (it == instances_.end()) {
        throw_json_error("balancer-id", "names an instance that has not begun");
      }
      if (type == "PowerOff") {
        instances_.erase(it);
      } else if (const auto event = it->second->event_from(type, e, lists_)) {
        it->second->balancer().handle(now, *event, actions_);
      }
    }
  }

  std::unique_ptr<Json::StreamWriter> writer_;
  std::map<std::string, std::unique_ptr<Instance>> instances_;
  std::array<std::vector<ListEntry>, kSlots> lists_;
  std::vector<Action> actions_;
};

Host::Host() : impl_(std::make_unique<Impl>()) {
}
Host::~Host() = default;
std::string Host::reply_to(const std::string& line) {
  return impl_->reply_to(line);
}

}  // namespace beechhill::wire
