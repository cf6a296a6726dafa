// One simulated balancer: converts the simulator's JSON events to Events and the balancer's Actions
// to JSON, and maps the simulator's names to the balancer's integer ids.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "beechhill/balancer.h"
#include "config/interner.h"
#include "directory.h"

namespace beechhill::wire {

/// A balancer with the names and the requests of the simulator that it has received.
class Instance {
 public:
  /// `begin` is the "Begin" event, which contains the settings. Appends the balancer's first
  /// actions to `actions`. Throws config::JsonError, or the balancer's exception for invalid
  /// settings.
  Instance(Time now, const Json::Value& begin, std::vector<Action>& actions);

  Balancer& balancer() { return balancer_; }

  /// Converts `json`, an event of type `type`. Returns nullopt if the event does not concern the
  /// balancer or refers to a request that has ended. Throws config::JsonError.
  std::optional<Event> read_event(std::string_view type, const Json::Value& json,
                                  const Directories& directories);

  /// Converts `action` to JSON and updates the request that it concerns. Must be called exactly
  /// once for each action, in the order of the actions.
  Json::Value write_action(const Action& action);

  /// Erases the requests that have ended and have no open attempt. Must be called after each batch.
  void erase_ended_requests();

 private:
  struct RequestEntry {
    std::string name;
    int open_attempts = 0;
    bool ended = false;
  };

  Settings read_settings(const Json::Value& begin);

  Event read_request(const Json::Value& json);
  Event read_outcome(const Json::Value& json);
  Event read_timer(const Json::Value& json) const;
  Event read_health_check_result(const Json::Value& json) const;
  Event read_endpoint_update(const Json::Value& json, const Directories& directories);
  std::optional<Event> read_first_byte(const Json::Value& json);
  std::optional<Event> read_client_disconnect(const Json::Value& json);
  std::optional<RequestId> find_request(const Json::Value& json);

  Json::Value write_request_action(const char* type, RequestId id) const;
  Json::Value write(const StartAttempt& action);
  Json::Value write(const Cancel& action) const;
  Json::Value write(const Reject& action);
  Json::Value write(const Fail& action);
  Json::Value write(const HealthCheck& action) const;
  Json::Value write(const SetTimer& action) const;
  Json::Value write(const WatchEndpoints& action) const;
  void end_request(RequestId id);

  // read_settings() fills some of these members, so they must be constructed before balancer_.
  config::Interner endpoints_;
  config::Interner zones_;
  config::Interner instance_types_;
  config::Interner classes_;
  config::Interner tenants_;
  std::unordered_map<std::string, RequestId> request_ids_;
  std::unordered_map<RequestId, RequestEntry> requests_;
  // Requests that an event or a final action of the current batch concerned.
  std::vector<RequestId> changed_requests_;
  RequestId next_request_id_ = 0;
  Balancer balancer_;
};

}  // namespace beechhill::wire
