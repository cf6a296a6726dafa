// Client side of leases: requests leases from the leader and holds the permissions that they carry.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "maintenance/coordination_messages.h"
#include "maintenance/coordinator_settings.h"

namespace beechhill::maintenance {

/// Requests and holds the lease of one proxy. Performs no I/O and reads no clock. `settings` must
/// outlive the object.
class LeaseClient {
 public:
  /// `first_voter` is the index, modulo the number of voters, of the voter to ask first.
  LeaseClient(Time now, const CoordinatorSettings& settings, std::uint64_t boot_id,
              std::size_t first_voter);

  /// Time at which next_request() must be called next.
  Time next_request_at() const { return next_request_at_; }
  void request_at(Time time) { next_request_at_ = time; }
  /// Returns the next request, to be sent to the proxy leader(). `known_leader` is the leader known
  /// to raft; empty if unknown.
  LeaseRequest next_request(Time now, const LocalView& view, bool has_lost_storage,
                            const std::string& known_leader);

  /// Accepts a lease. Has no effect if the grant answers no outstanding request, or if its
  /// permissions are older than those held.
  void handle(const LeaseGrant& grant);
  /// Redirects later requests to the leader that the answer names. If that is another proxy than
  /// before, the next request is due at once. Has no effect if the answer belongs to no outstanding
  /// request.
  void handle(Time now, const NotLeader& answer);
  /// Like handle(), for an answer of this proxy to its own request. Does not make the next request
  /// due earlier.
  void redirect(const NotLeader& answer);

  /// Name of the proxy to which requests are sent; empty before the first request, and after an
  /// answer that named no leader.
  const std::string& leader() const { return leader_; }
  bool has_held_lease() const { return has_held_lease_; }
  /// Whether this proxy must drain itself because it is being taken out of service.
  bool is_self_out() const { return self_drain_.has_value(); }
  /// Permissions of the last lease.
  const DispatchPermissionMap& permissions() const { return permissions_; }

  /// Time until which new requests may be sent to the machine; Time::max() if unlimited,
  /// Time::min() if none may be sent.
  Time dispatch_permitted_until(Time now, const std::string& machine) const;
  /// Time until which this proxy may send requests at all; Time::max() if unlimited, Time::min() if
  /// it may send none.
  Time serving_permitted_until(Time now) const;

 private:
  void choose_leader(const std::string& known_leader);
  std::vector<DrainConfirmation> drain_confirmations(const LocalView& view) const;

  const CoordinatorSettings& settings_;
  const std::uint64_t boot_id_;
  const Time started_at_;
  Time next_request_at_;
  std::string leader_;
  std::size_t next_voter_;
  std::uint64_t next_number_ = 1;
  /// Send time of each outstanding request, by request number.
  std::map<std::uint64_t, Time> outstanding_;

  LogIndex held_index_ = 0;
  DispatchPermissionMap permissions_;
  /// Token of the workflow that takes this proxy out of service, if there is one.
  std::optional<FencingToken> self_drain_;
  bool has_held_lease_ = false;
  Time lease_expiry_ = Time::min();
};

}  // namespace beechhill::maintenance
