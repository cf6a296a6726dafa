#include "balancer/state/fair_queues.h"

#include <algorithm>

namespace beechhill {

RequestId PriorityLevel::earliest_head() const {
  const FairQueue* earliest = nullptr;
  for (const auto& queues_of_width : queues) {
    for (const FairQueue& queue : queues_of_width) {
      if (!queue.waiting.empty() &&
          (earliest == nullptr || queue.virtual_start_s < earliest->virtual_start_s)) {
        earliest = &queue;
      }
    }
  }
  return earliest->waiting.front();
}

void FairQueues::add_level(double weight, double assured_share) {
  PriorityLevel& level = levels_.emplace_back();
  level.weight = weight;
  level.assured_share = assured_share;
  for (auto& queues : level.queues) {
    queues.resize(kQueuesPerWidth);
  }
}

// Computes two distinct queue indices as mixed-radix digits of the tenant's hash.
const FairQueue& FairQueues::assign_queue(RequestState& state) {
  const auto& queues = levels_[state.level].queues[static_cast<std::size_t>(state.width - 1)];
  const std::uint64_t hash = mix_bits(state.request.tenant);
  const std::size_t first = hash % kQueuesPerWidth;
  std::size_t second = hash / kQueuesPerWidth % (kQueuesPerWidth - 1);
  if (second >= first) {
    ++second;
  }
  const auto length = [&queues](std::size_t index) {
    return queues[index].waiting.size() + (queues[index].running > 0 ? 1 : 0);
  };
  state.queue = length(second) < length(first) ? second : first;
  return queues[state.queue];
}

void FairQueues::push(RequestState& state) {
  FairQueue& target = queue(state);
  if (target.idle()) {
    busy_queues_ += state.width;
    target.virtual_start_s = virtual_time_s_;
  }
  present_ += state.width;
  target.waiting.push_back(state.request.id);
  mark_queued(state);
}

void FairQueues::push_front(RequestState& state) {
  present_ += state.width;
  queue(state).waiting.push_front(state.request.id);
  mark_queued(state);
}

void FairQueues::dequeue(RequestState& state) {
  std::deque<RequestId>& waiting = queue(state).waiting;
  waiting.erase(std::find(waiting.begin(), waiting.end(), state.request.id));
  mark_dequeued(state);
}

void FairQueues::withdraw(RequestState& state) {
  dequeue(state);
  release(state);
}

void FairQueues::start_attempt(const RequestState& state, double expected_s) {
  FairQueue& source = queue(state);
  source.running += 1;
  source.virtual_start_s += expected_s;
  levels_[state.level].running += state.width;
}

void FairQueues::end_attempt(const RequestState& state, double expected_s, double actual_s) {
  if (!state.silent) {
    levels_[state.level].running -= state.width;
  }
  FairQueue& source = queue(state);
  source.running -= 1;
  source.virtual_start_s -= expected_s - actual_s;
}

void FairQueues::release(const RequestState& state) {
  present_ -= state.width;
  if (queue(state).idle()) {
    busy_queues_ -= state.width;
  }
}

void FairQueues::advance(double elapsed_s, double concurrency_limit) {
  if (busy_queues_ > 0) {
    virtual_time_s_ += elapsed_s * std::min<double>(present_, concurrency_limit) / busy_queues_;
  }
}

std::vector<RequestId> FairQueues::expired(Time now, const RequestTable& requests) {
  std::vector<RequestId> expired_ids;
  if (now < next_expiry_) {
    return expired_ids;
  }
  next_expiry_ = Time::max();
  const auto consider = [&](RequestId id) {
    const Time deadline = requests.at(id).queue_deadline;
    if (now >= deadline) {
      expired_ids.push_back(id);
    } else {
      next_expiry_ = std::min(next_expiry_, deadline);
    }
  };
  for (const PriorityLevel& level : levels_) {
    for (const auto& queues : level.queues) {
      for (const FairQueue& candidate : queues) {
        std::for_each(candidate.waiting.begin(), candidate.waiting.end(), consider);
      }
    }
  }
  return expired_ids;
}

void FairQueues::expire_all(Time now, RequestTable& requests) {
  for (auto& [id, state] : requests) {
    if (state.queued) {
      state.queue_deadline = now;
    }
  }
  next_expiry_ = now;
}

void FairQueues::mark_queued(RequestState& state) {
  state.queued = true;
  ++levels_[state.level].waiting;
  ++waiting_;
  next_expiry_ = std::min(next_expiry_, state.queue_deadline);
}

void FairQueues::mark_dequeued(RequestState& state) {
  state.queued = false;
  --levels_[state.level].waiting;
  --waiting_;
}

}  // namespace beechhill
