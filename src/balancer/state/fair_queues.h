// Queues of requests by priority level, width and tenant, with their virtual times.
//
// The accounting is that of "Priority and Fairness for API Server Requests" (Kubernetes KEP-1040):
// each queue has a virtual start time, which determines the virtual finish time of its head.
#pragma once

#include <array>
#include <cstddef>
#include <deque>
#include <vector>

#include "balancer/state/request_state.h"
#include "balancer/state/units.h"

namespace beechhill {

/// A queue of requests of one priority level and width.
struct FairQueue {
  std::deque<RequestId> waiting;
  double virtual_start_s = 0;
  int running = 0;  // number of requests in flight

  bool idle() const { return running == 0 && waiting.empty(); }
};

/// A priority level with its queues.
struct PriorityLevel {
  static constexpr std::size_t kMaxWidth = 2;

  double weight = 0;         // priority weight of its requests
  double assured_share = 0;  // relative share of the concurrency limit
  int running = 0;           // sum of the widths in flight, without silent requests
  std::size_t waiting = 0;   // number of requests in the queues
  std::array<std::vector<FairQueue>, kMaxWidth> queues;  // indexed by width - 1

  /// Returns the head of the queue with the earliest virtual finish time. A request must be
  /// waiting. All requests are expected to take equally long, so the earliest start decides.
  /// O(queues).
  RequestId earliest_head() const;
};

/// Owns the levels and queues; the caller owns the request records. Makes no decisions: the caller
/// decides which queue a request joins and when it leaves. A request is present while it waits or
/// is in flight. Operations are O(1) unless stated otherwise.
class FairQueues {
 public:
  /// Appends a level below the existing ones.
  void add_level(double weight, double assured_share);
  std::vector<PriorityLevel>& levels() { return levels_; }
  const std::vector<PriorityLevel>& levels() const { return levels_; }

  /// Assigns the request to the shorter of two queues that its level, width and tenant select
  /// (shuffle sharding), and returns that queue.
  const FairQueue& assign_queue(RequestState& state);
  /// Appends the request to its assigned queue.
  void push(RequestState& state);
  /// Puts a request whose attempt has just ended at the head of its queue. The caller must then
  /// call release().
  void push_front(RequestState& state);
  /// Removes a request that is about to be sent. O(length of its queue).
  void dequeue(RequestState& state);
  /// Removes a request that will not be sent. O(length of its queue).
  void withdraw(RequestState& state);

  /// Records the start of an attempt that is expected to take `expected_s` seconds.
  void start_attempt(const RequestState& state, double expected_s);
  /// Records the end of an attempt that took `actual_s` seconds. The caller must call release()
  /// after deciding what follows.
  void end_attempt(const RequestState& state, double expected_s, double actual_s);
  /// Counts the request as present once more. Must be called before release() if it is sent again
  /// at once.
  void keep_present(const RequestState& state) { present_ += state.width; }
  /// Stops counting the request as present after an attempt or a withdrawal.
  void release(const RequestState& state);
  /// Stops counting the request in PriorityLevel::running.
  void mark_silent(const RequestState& state) { levels_[state.level].running -= state.width; }

  /// Advances virtual time by `elapsed_s` * min(widths of present requests, concurrency limit) /
  /// (widths of queues that are not idle).
  void advance(double elapsed_s, double concurrency_limit);

  std::size_t waiting_count() const { return waiting_; }
  /// Returns a lower bound of the queue deadlines of all waiting requests, or Time::max() if none
  /// has waited yet.
  Time next_expiry() const { return next_expiry_; }
  /// Returns the requests past their queue deadline, in the order of level, width and queue.
  /// O(waiting) if any may have expired, else O(1).
  std::vector<RequestId> expired(Time now, const RequestTable& requests);
  /// Sets the queue deadlines of all waiting requests to `now`, so that expired() returns them.
  /// O(requests).
  void expire_all(Time now, RequestTable& requests);

 private:
  // Number of queues of each width in a priority level. Each tenant is assigned two of them. With
  // 64, two of some tens of tenants rarely share both.
  static constexpr std::uint64_t kQueuesPerWidth = 64;

  FairQueue& queue(const RequestState& state) {
    return levels_[state.level].queues[static_cast<std::size_t>(state.width - 1)][state.queue];
  }
  void mark_queued(RequestState& state);
  void mark_dequeued(RequestState& state);

  std::vector<PriorityLevel> levels_;  // in the order of descending weight
  double virtual_time_s_ = 0;
  int present_ = 0;      // sum of the widths of present requests
  int busy_queues_ = 0;  // sum of the widths of queues that are not idle
  std::size_t waiting_ = 0;
  Time next_expiry_ = Time::max();
};

}  // namespace beechhill
