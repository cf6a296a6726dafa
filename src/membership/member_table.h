// The other members of the cluster as this process knows them, and the digest and pages by which
// anti-entropy compares and copies tables.
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

/// Another member, by the latest update about it.
struct Member {
  MemberUpdate update;
  /// When it entered its state.
  Time state_since{0};
};

/// A change of a member's state.
struct MemberChange {
  std::string name;
  MemberState from = MemberState::kAlive;
  MemberState to = MemberState::kAlive;
  /// It is another process than before.
  bool restarted = false;
  /// It was not in the table before.
  bool joined = false;
};

/// The part of a table's digest that `update` stands for. A suspicion counts as alive: it is not
/// something that all members have to agree on.
std::uint64_t digest_of(const MemberUpdate& update);

/// The members apart from this process, by name.
class MemberTable {
 public:
  const std::map<std::string, Member>& members() const { return members_; }
  /// Null where there is none of that name. Valid until the member is forgotten.
  const Member* find(const std::string& name) const;
  bool contains(const std::string& name) const { return members_.contains(name); }
  /// The update of a member that is in the table.
  const MemberUpdate& update_of(const std::string& name) const;

  /// The members that are alive or suspect. O(n).
  std::size_t active_count() const;
  /// Whether no further member may be added.
  bool full() const { return members_.size() + 1 >= kMaxMembers; }

  /// Stores `update` as the latest about its member, and records a change of state.
  void set(Time now, const MemberUpdate& update);
  /// Removes the members that have been dead or left for at least `age`.
  void forget_inactive(Time now, Duration age);

  /// Equal for two tables whose members have equal states, suspicions aside: the exclusive or of
  /// digest_of() over all members.
  std::uint64_t digest() const { return digest_; }
  /// One page of the table: the members whose names sort after `after`, as many as fit into a
  /// message. Stateless: the next page starts where this one ended.
  std::vector<MemberUpdate> page_after(const std::string& after) const;

  /// At most `count` distinct members that satisfy `predicate`, drawn by `random`. O(n).
  std::vector<std::string> sample(std::size_t count,
                                  const std::function<bool(const Member&)>& predicate,
                                  std::mt19937_64& random) const;

  /// The changes since the last call.
  std::vector<MemberChange> take_changes() { return std::exchange(changes_, {}); }

 private:
  std::map<std::string, Member> members_;
  std::uint64_t digest_ = 0;
  std::vector<MemberChange> changes_;
};

}  // namespace beechhill::membership
