// The other members of the cluster as this process knows them. Anti-entropy, which makes the tables
// of all members converge, compares tables by their digests and copies them page by page.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "beechhill/balancer.h"
#include "membership/message.h"

namespace beechhill::membership {

/// Another member, as described by the latest update about it.
struct Member {
  MemberUpdate update;
  /// When the member entered its current state.
  Time state_since{0};
};

/// A change of a member's state.
struct MemberChange {
  std::string name;
  MemberState from = MemberState::kAlive;
  MemberState to = MemberState::kAlive;
  /// Whether the member's boot id changed: another process now runs under its name.
  bool restarted = false;
  /// Whether the member was not in the table before.
  bool joined = false;
};

/// Returns the contribution of `update` to a table's digest. A suspect member is hashed as alive,
/// because members need not agree on suspicions.
std::uint64_t digest_of(const MemberUpdate& update);

/// The members other than this process, keyed by name.
class MemberTable {
 public:
  const std::map<std::string, Member>& members() const { return members_; }
  /// Returns null if there is no member of that name. The pointer is valid until the member is
  /// removed.
  const Member* find(const std::string& name) const;
  bool contains(const std::string& name) const { return members_.contains(name); }
  /// Returns the update of a member, which must be in the table.
  const MemberUpdate& update_of(const std::string& name) const;

  /// The number of members that are alive or suspect. O(n).
  std::size_t active_count() const;
  /// Whether the table has reached kMaxMembers, so that no member may be added.
  bool full() const { return members_.size() + 1 >= kMaxMembers; }

  /// Stores `update` as the latest about its member and records any change of state.
  void set(Time now, const MemberUpdate& update);
  /// Removes the members that have been dead or left for at least `age`.
  void forget_inactive(Time now, Duration age);

  /// The exclusive or of digest_of() over all members. Two tables have equal digests if their
  /// members have equal states, ignoring suspicions.
  std::uint64_t digest() const { return digest_; }
  /// Returns one page of the table: the members whose names sort after `after`, as many as fit into
  /// a message. The caller requests the next page with the last name of this one.
  std::vector<MemberUpdate> page_after(const std::string& after) const;

  /// Returns at most `count` distinct members that satisfy `predicate`, chosen at random. O(n).
  std::vector<std::string> sample(std::size_t count,
                                  const std::function<bool(const Member&)>& predicate,
                                  std::mt19937_64& random) const;

  /// Returns the changes since the last call.
  std::vector<MemberChange> take_changes() { return std::exchange(changes_, {}); }

 private:
  std::map<std::string, Member> members_;
  std::uint64_t digest_ = 0;
  std::vector<MemberChange> changes_;
};

}  // namespace beechhill::membership
