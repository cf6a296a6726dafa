// The queues of requests, by priority level, width and flow, with their virtual times.
//
// The accounting is that of "Priority and Fairness for API Server Requests" (Kubernetes KEP-1040):
// each queue has a virtual start time, from which its head's finish follows.
#pragma once

#include <array>
#include <cstddef>
#include <deque>
#include <vector>

#include "balancer/state/request_state.h"
#include "balancer/state/units.h"

namespace beechhill {

struct FairQueue {
  std::deque<RequestId> waiting;
  double virtual_start_s = 0;
  int running = 0;  // requests

  bool idle() const { return running == 0 && waiting.empty(); }
};

struct PriorityLevel {
  static constexpr std::size_t kMaxWidth = 2;

  double weight = 0;                                     // of the requests in it
  double assured_share = 0;                              // of the concurrency limit
  int running = 0;                                       // widths, without silent requests
  std::size_t waiting = 0;                               // requests
  std::array<std::vector<FairQueue>, kMaxWidth> queues;  // by width - 1

  /// The head with the earliest virtual finish; some request waits. All are expected to take
  /// equally long, so that it is the one with the earliest start. O(queues).
  RequestId earliest_head() const;
};

/// Owns the levels and queues; the request records stay the caller's. Decides nothing: callers say
/// which queue a request joins and when it leaves. O(1) but where stated.
class FairQueues {
 public:
  /// Appends a level, under those there are.
  void add_level(double weight, double assured_share);
  std::vector<PriorityLevel>& levels() { return levels_; }
  const std::vector<PriorityLevel>& levels() const { return levels_; }

  /// Sets the request's queue by its tenant (shuffle sharding): of two in its level, the shorter.
  const FairQueue& assign_queue(RequestState& state);
  /// Appends to the queue that the request names.
  void push(RequestState& state);
  /// Puts back at the head a request whose attempt has just ended; settle() follows.
  void push_front(RequestState& state);
  /// Takes out a request that is about to be sent. O(length of its queue).
  void take(RequestState& state);
  /// Takes out a request that will not be sent. O(length of its queue).
  void withdraw(RequestState& state);

  /// An attempt starts; it is expected to take `expected_s`.
  void start_attempt(const RequestState& state, double expected_s);
  /// An attempt is over that took `actual_s`. settle() follows once it is known what comes next.
  void end_attempt(const RequestState& state, double expected_s, double actual_s);
  /// Counts an attempt as present again, as the request is sent anew.
  void keep_present(const RequestState& state) { present_ += state.width; }
  /// Closes the account of an attempt that is over.
  void settle(const RequestState& state);
  /// From now on the request does not count into what its level runs.
  void mark_silent(const RequestState& state) { levels_[state.level].running -= state.width; }

  /// Moves virtual time, which runs at min(present widths, concurrency limit) / busy widths.
  void advance(double elapsed_s, double concurrency_limit);

  std::size_t waiting_count() const { return waiting_; }
  /// When the first request that waits has waited too long; Time::max() where none waits.
  Time next_expiry() const { return next_expiry_; }
  /// The requests that have waited too long, by level, width and queue. O(waiting) where one has.
  std::vector<RequestId> expired(Time now, const RequestTable& requests);
  /// All that wait have waited long enough. O(requests).
  void expire_all(Time now, RequestTable& requests);

 private:
  // For each width of a level: collisions are rare with tens of tenants.
  static constexpr std::uint64_t kQueuesPerWidth = 64;

  FairQueue& queue(const RequestState& state) {
    return levels_[state.level].queues[static_cast<std::size_t>(state.width - 1)][state.queue];
  }
  void mark_queued(RequestState& state);
  void mark_dequeued(RequestState& state);

  std::vector<PriorityLevel> levels_;  // the highest weight first
  double virtual_time_s_ = 0;
  int present_ = 0;      // widths, waiting or running
  int busy_queues_ = 0;  // widths of queues that are not idle
  std::size_t waiting_ = 0;
  Time next_expiry_ = Time::max();
};

}  // namespace beechhill
