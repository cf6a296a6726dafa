// Backends that must not receive requests, regardless of their status in the endpoint list.
#pragma once

#include <map>
#include <set>
#include <string>
#include <utility>

#include "beechhill/balancer.h"
#include "proxy/decision_messages.h"

namespace beechhill::proxy {

/// Backends to which this proxy must not send requests: those that operators have excluded, and
/// those whose dispatch permission has ended. Dispatch permissions state until when the proxy may
/// send requests, as agreed among the proxies. Exclusions and permissions are kept after the
/// backend has left the endpoint list.
class BackendExclusions {
 public:
  explicit BackendExclusions(std::set<std::string> excluded_by_operator)
      : excluded_by_operator_(std::move(excluded_by_operator)) {}

  /// Returns whether the exclusion has changed.
  bool set_excluded_by_operator(const std::string& backend_id, bool excluded) {
    return excluded ? excluded_by_operator_.insert(backend_id).second
                    : excluded_by_operator_.erase(backend_id) > 0;
  }
  bool is_excluded_by_operator(const std::string& backend_id) const {
    return excluded_by_operator_.contains(backend_id);
  }
  const std::set<std::string>& excluded_by_operator() const { return excluded_by_operator_; }

  /// Replaces all permissions and returns the previous ones.
  DispatchPermissions replace_permissions(DispatchPermissions permissions) {
    serving_permitted_until_ = permissions.serving_permitted_until;
    return std::exchange(permissions_, std::move(permissions));
  }
  const DispatchPermissions& permissions() const { return permissions_; }

  /// Returns when the permission to send requests to the backend ends; Time::max() if it is not
  /// limited.
  Time permitted_until(const std::string& backend_id) const {
    const auto it = permissions_.permitted_until.find(backend_id);
    return it == permissions_.permitted_until.end() ? Time::max() : it->second;
  }

  /// Whether an operator has excluded the backend or the permission to use it has ended.
  bool is_excluded(const std::string& backend_id, Time now) const {
    return is_excluded_by_operator(backend_id) || permitted_until(backend_id) <= now;
  }

  /// Forbids sending requests to any backend until replace_permissions() permits it.
  void require_permissions() { serving_permitted_until_ = Time::min(); }
  bool serving_permitted(Time now) const { return now < serving_permitted_until_; }

 private:
  std::set<std::string> excluded_by_operator_;
  DispatchPermissions permissions_;
  Time serving_permitted_until_ = Time::max();
};

}  // namespace beechhill::proxy
