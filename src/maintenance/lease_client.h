// A proxy's lease: asks the leader for it, and holds the permissions that come with it.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "maintenance/coordination_messages.h"
#include "maintenance/coordinator_settings.h"

namespace beechhill::maintenance {

/// Free of I/O and clocks. `settings` must outlive it.
class LeaseClient {
 public:
  /// `first_voter`: position, modulo their count, of the voter to ask first.
  LeaseClient(Time now, const CoordinatorSettings& settings, std::uint64_t boot_id,
              std::size_t first_voter);

  /// When next_request() is to be called.
  Time next_request_at() const { return next_request_at_; }
  void request_at(Time time) { next_request_at_ = time; }
  /// The next request, for the proxy leader(). `known_leader`: by raft, empty where unknown.
  LeaseRequest next_request(Time now, const LocalView& view, bool has_lost_storage,
                            const std::string& known_leader);

  /// Ignored where it answers no outstanding request, or an older state than the one held.
  void handle(const LeaseGrant& grant);
  /// Asks again at once where another leader is named.
  void handle(Time now, const NotLeader& answer);
  /// As handle(NotLeader) for a request to this proxy itself, without asking again before its time.
  void redirect(const NotLeader& answer);

  /// The proxy that it asks; empty before the first request and where the last one knew none.
  const std::string& leader() const { return leader_; }
  bool has_held_lease() const { return has_held_lease_; }
  /// Whether this proxy itself is to be taken out of service.
  bool is_self_out() const { return self_drain_.has_value(); }
  /// As last granted.
  const DispatchPermissionMap& permissions() const { return permissions_; }

  /// Until when new work may be sent to the machine: Time::max() without end, Time::min() not at
  /// all.
  Time dispatch_permitted_until(Time now, const std::string& machine) const;
  /// Until when anything may be sent to any machine.
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
  /// When each outstanding request was sent, by its number.
  std::map<std::uint64_t, Time> outstanding_;

  LogIndex held_index_ = 0;
  DispatchPermissionMap permissions_;
  /// Of the workflow that takes this proxy out.
  std::optional<FencingToken> self_drain_;
  bool has_held_lease_ = false;
  Time lease_expiry_ = Time::min();
};

}  // namespace beechhill::maintenance
