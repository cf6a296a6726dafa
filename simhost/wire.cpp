#include "wire.h"

#include <cstdint>
#include <exception>
#include <map>
#include <sstream>
#include <string_view>
#include <utility>
#include <vector>

#include "beechhill/balancer.h"
#include "config/json.h"
#include "directory.h"
#include "instance.h"

namespace beechhill::wire {

using config::get_member;
using config::require_array;
using config::throw_json_error;

class Host::Impl {
 public:
  Impl() {
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    writer_.reset(builder.newStreamWriter());
  }

  std::string reply_to(const std::string& line) {
    std::string batch_name = "batch ?: ";
    try {
      const Json::Value batch = config::parse(line.data(), line.data() + line.size(), "line");
      if (!batch.isObject()) {
        throw_json_error("line", "not a JSON object");
      }
      const auto serial = get_member<std::uint64_t>(batch, "serial");
      batch_name = "batch " + std::to_string(serial) + ": ";
      const Time now = get_member<Duration>(batch, "moment");
      Json::Value reply(Json::objectValue);
      reply["serial"] = Json::UInt64(serial);
      Json::Value& groups = reply["balancers"] = Json::Value(Json::arrayValue);
      for (const Json::Value& group : require_array(batch, "balancers")) {
        handle_group(now, group, groups);
      }
      std::ostringstream text;
      writer_->write(reply, &text);
      return text.str();
    } catch (const config::JsonError& error) {
      throw WireError(batch_name + error.what());
    }
  }

 private:
  // Handles the events of one instance and, if there are any actions, appends them to `replies`.
  void handle_group(Time now, const Json::Value& group, Json::Value& replies) {
    const auto name = get_member<std::string>(group, "balancer-id");
    Json::Value json_actions(Json::arrayValue);
    for (const Json::Value& event : require_array(group, "events")) {
      handle_event(now, name, event, json_actions);
    }
    if (const auto instance = instances_.find(name); instance != instances_.end()) {
      instance->second->erase_ended_requests();
    }
    if (json_actions.empty()) {
      return;
    }
    Json::Value& reply = replies.append(Json::Value(Json::objectValue));
    reply["balancer-id"] = name;
    reply["out"] = std::move(json_actions);
  }

  // Appends the balancer's actions to `json_actions`. If the balancer throws, an "InternalError"
  // with the exception's message is appended after the actions that it returned before.
  void handle_event(Time now, const std::string& name, const Json::Value& event,
                    Json::Value& json_actions) {
    const auto type = get_member<std::string>(event, "event_type");
    actions_.clear();
    std::string failure;
    try {
      dispatch(now, name, type, event);
    } catch (const config::JsonError&) {
      throw;
    } catch (const std::exception& error) {
      failure = error.what();
    }
    for (const Action& action : actions_) {
      json_actions.append(instances_.at(name)->write_action(action));
    }
    if (!failure.empty()) {
      Json::Value error(Json::objectValue);
      error["event_type"] = "InternalError";
      error["what"] = failure;
      json_actions.append(std::move(error));
    }
  }

  void dispatch(Time now, const std::string& name, std::string_view type,
                const Json::Value& event) {
    if (type == "Directory") {
      const std::size_t slot = read_slot(event);
      directories_[slot] = read_directory(event);
      return;
    }
    if (type == "Begin") {
      instances_[name] = std::make_unique<Instance>(now, event, actions_);
      return;
    }
    const auto instance = instances_.find(name);
    if (instance == instances_.end()) {
      throw_json_error("balancer-id", "names an instance without a Begin event");
    }
    if (type == "PowerOff") {
      instances_.erase(instance);
      return;
    }
    const auto balancer_event = instance->second->read_event(type, event, directories_);
    if (balancer_event) {
      instance->second->balancer().handle(now, *balancer_event, actions_);
    }
  }

  std::unique_ptr<Json::StreamWriter> writer_;
  std::map<std::string, std::unique_ptr<Instance>> instances_;
  Directories directories_;
  std::vector<Action> actions_;
};

Host::Host() : impl_(std::make_unique<Impl>()) {
}

Host::~Host() = default;

std::string Host::reply_to(const std::string& line) {
  return impl_->reply_to(line);
}

}  // namespace beechhill::wire
