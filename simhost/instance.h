// One balancer of the simulator: converts its JSON events to the balancer's and the balancer's
// actions to JSON, and keeps the names that stand for the balancer's numbers.
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

class Instance {
 public:
  /// `begin`: the "Begin" event, with the settings. The balancer's first actions go to `actions`.
  /// Throws config::JsonError, or what the balancer throws at settings that it rejects.
  Instance(Time now, const Json::Value& begin, std::vector<Action>& actions);

  Balancer& balancer() { return balancer_; }

  /// The balancer's event for `json`, of type `type`. Nothing where it is not for the balancer, or
  /// is about a request that has ended. Throws config::JsonError.
  std::optional<Event> read_event(std::string_view type, const Json::Value& json,
                                  const Directories& directories);

  /// `action` as the simulator reads it. To be called once for each action, in their order.
  Json::Value write_action(const Action& action);

  /// Forgets the requests that ended in this batch. To be called after each batch.
  void forget_ended_requests();

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

  // read_settings() fills some of these: they must be constructed before balancer_.
  config::Interner endpoints_;
  config::Interner zones_;
  config::Interner instance_types_;
  config::Interner classes_;
  config::Interner tenants_;
  std::unordered_map<std::string, RequestId> request_ids_;
  std::unordered_map<RequestId, RequestEntry> requests_;
  std::vector<RequestId> touched_requests_;  // in this batch
  RequestId next_request_id_ = 0;
  Balancer balancer_;
};

}  // namespace beechhill::wire
