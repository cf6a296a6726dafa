#include "emulator/node.h"

#include <algorithm>
#include <cmath>

namespace beechhill::emulator {
namespace {

// A report can be that many refreshes late.
constexpr std::size_t kMaxReports = 64;
// Share of the cores that are busy at the most while a collapsed backend recovers.
constexpr double kMostlyIdle = 0.5;

}  // namespace

Node::Node(const TierSpec& spec, std::uint64_t seed, std::uint64_t index, std::optional<Time> born,
           Time now)
    : spec_(&spec), random_(seed, Actor::kNode, index), started_at_(born), advanced_to_(now) {
  speed_ = random_.uniform(spec.speed);
  // Backends do not all refresh at the same instant.
  refreshed_ = now - to_duration(random_.uniform() * to_s(spec.report_interval));
}

double Node::warmth(Time now) const {
  if (!started_at_ || spec_->cold_span <= Duration{0} || now >= *started_at_ + spec_->cold_span) {
    return 1;
  }
  const double age = std::max(0.0, to_s(now - *started_at_));
  return spec_->cold_from + (1 - spec_->cold_from) * age / to_s(spec_->cold_span);
}

double Node::pace(Time now) const {
  return speed_ * warmth(now) / (slowdown_ * (choked_ ? spec_->collapse_slowdown : 1));
}

double Node::backlog_s(Time now) const {
  // What runs is taken to be half done, and as long as the mean so far.
  const double running = jobs_started_ > 0 ? 0.5 * static_cast<double>(busy_) * busy_total_ /
                                                 static_cast<double>(jobs_started_)
                                           : 0;
  return (running + (core_queue_work_ + slot_queue_work_) / pace(now)) / spec_->cores;
}

// Brings the integrals up to now, and closes the report windows that have ended.
void Node::advance(Time now) {
  while (advanced_to_ < now) {
    const Time window_end = refreshed_ + spec_->report_interval;
    const Time next = std::min(now, window_end);
    const double dt = to_s(next - advanced_to_);
    busy_in_window_ += dt * static_cast<double>(busy_);
    busy_total_ += dt * static_cast<double>(busy_);
    present_ += dt * static_cast<double>(in_hand());
    advanced_to_ = next;
    if (next < window_end) {
      return;
    }
    close_report_window(now);
  }
}

void Node::close_report_window(Time now) {
  const double length = to_s(spec_->report_interval);
  reports_.push_back(
      {advanced_to_, busy_in_window_ / length / spec_->cores, done_in_window_ / length});
  if (reports_.size() > kMaxReports) {
    reports_.pop_front();
  }
  busy_in_window_ = 0;
  done_in_window_ = 0;
  refreshed_ = advanced_to_;
  // Skips the windows of a long idle time whose reports would all be the same and replaced anyway.
  const auto skip =
      (now - advanced_to_) / spec_->report_interval - static_cast<std::int64_t>(kMaxReports);
  if (skip > 0 && busy_ == 0 && in_hand() == 0) {
    refreshed_ += skip * spec_->report_interval;
    advanced_to_ = refreshed_;
  }
}

void Node::update_collapse(Time now) {
  if (spec_->collapse_queue_per_core <= 0) {
    return;
  }
  const bool crowded =
      static_cast<double>(waiting()) > spec_->collapse_queue_per_core * spec_->cores;
  const bool idle = waiting() == 0 && static_cast<double>(busy_) <= kMostlyIdle * spec_->cores;
  if (choked_ && ((idle_since_ && now - *idle_since_ >= spec_->collapse_idle) ||
                  now - choked_at_ >= spec_->collapse_max)) {
    choked_ = false;
    crowded_since_.reset();
  }
  if (!choked_ && crowded_since_ && crowded && now - *crowded_since_ >= spec_->collapse_after) {
    choked_ = true;
    choked_at_ = now;
  }
  if (!crowded) {
    crowded_since_.reset();
  }
  if (crowded && !crowded_since_) {
    crowded_since_ = now;
  }
  if (!idle) {
    idle_since_.reset();
  }
  if (idle && !idle_since_) {
    idle_since_ = now;
  }
}

void Node::start_phases(Time now, std::vector<Start>& starts) {
  while (working_ < spec_->slots && !slot_queue_.empty()) {
    ++working_;
    slot_queue_work_ -= slot_queue_.front().work;
    core_queue_work_ += slot_queue_.front().work;
    core_queue_.push_back(slot_queue_.front());
    slot_queue_.pop_front();
  }
  while (busy_ < spec_->cores && !core_queue_.empty()) {
    const QueuedPhase job = core_queue_.front();
    core_queue_.pop_front();
    core_queue_work_ -= job.work;
    ++busy_;
    if (job.is_first) {
      waited_ += to_s(now - job.since);
      ++jobs_started_;
    }
    starts.push_back({job.job, now + to_duration(job.work / pace(now))});
  }
  if (core_queue_.empty()) {
    // Sums of floating-point numbers do not come back to 0 by themselves.
    core_queue_work_ = 0;
  }
  if (slot_queue_.empty()) {
    slot_queue_work_ = 0;
  }
  update_collapse(now);
}

bool Node::take(Time now, JobId job, double work, std::vector<Start>& starts) {
  advance(now);
  update_collapse(now);
  if (in_hand() >= static_cast<std::size_t>(spec_->slots) + spec_->room) {
    return false;
  }
  slot_queue_.push_back({job, work, now, true});
  slot_queue_work_ += work;
  start_phases(now, starts);
  max_waiting_ = std::max(max_waiting_, waiting());
  return true;
}

void Node::resume(Time now, JobId job, double work, std::vector<Start>& starts) {
  advance(now);
  core_queue_.push_back({job, work, now, false});
  core_queue_work_ += work;
  start_phases(now, starts);
}

void Node::phase_done(Time now, bool leaves, std::vector<Start>& starts) {
  advance(now);
  --busy_;
  if (leaves) {
    --working_;
    done_in_window_ += 1;
  }
  start_phases(now, starts);
}

void Node::leave(Time now, std::vector<Start>& starts) {
  advance(now);
  --working_;
  done_in_window_ += 1;
  start_phases(now, starts);
}

bool Node::withdraw(Time now, JobId job, std::vector<Start>& starts) {
  advance(now);
  const auto is_job = [job](const QueuedPhase& r) { return r.job == job; };
  if (const auto it = std::find_if(slot_queue_.begin(), slot_queue_.end(), is_job);
      it != slot_queue_.end()) {
    slot_queue_work_ -= it->work;
    slot_queue_.erase(it);
  } else if (const auto at = std::find_if(core_queue_.begin(), core_queue_.end(), is_job);
             at != core_queue_.end()) {
    core_queue_work_ -= at->work;
    core_queue_.erase(at);
    --working_;
  } else {
    return false;
  }
  start_phases(now, starts);
  return true;
}

void Node::restart(Time now, Time born) {
  advance(now);
  slot_queue_.clear();
  core_queue_.clear();
  core_queue_work_ = 0;
  slot_queue_work_ = 0;
  working_ = 0;
  busy_ = 0;
  choked_ = false;
  crowded_since_.reset();
  idle_since_.reset();
  reports_.clear();
  busy_in_window_ = 0;
  done_in_window_ = 0;
  started_at_ = born;
}

LoadReport Node::report(Time now, Duration more_delay) {
  advance(now);
  const Time until = now - spec_->report_delay - more_delay;
  for (auto it = reports_.rbegin(); it != reports_.rend(); ++it) {
    if (it->at > until) {
      continue;
    }
    const double noise = 1 + spec_->report_noise * (2 * random_.uniform() - 1);
    return {std::clamp(it->utilisation * noise, 0.0, 1.0), it->rate * noise};
  }
  return {};
}

}  // namespace beechhill::emulator
