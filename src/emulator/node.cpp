#include "emulator/node.h"

#include <algorithm>
#include <cmath>

namespace beechhill::emulator {
namespace {

constexpr std::size_t kReportsKept = 64;  // a report can be that many refreshes late
constexpr double kMostlyIdle = 0.5;  // of the cores, at the most busy while a choked node recovers

}  // namespace

Node::Node(const TierSpec& spec, std::uint64_t seed, std::uint64_t index, std::optional<Time> born,
           Time now)
    : spec_(&spec), random_(seed, Actor::kNode, index), born_(born), rolled_(now) {
  speed_ = random_.uniform(spec.speed);
  refreshed_ =
      now - to_span(random_.uniform() * to_s(spec.report_interval));  // not all at the same instant
}

double Node::warmth(Time now) const {
  if (!born_ || spec_->cold_span <= Duration{0} || now >= *born_ + spec_->cold_span) {
    return 1;
  }
  const double age = std::max(0.0, to_s(now - *born_));
  return spec_->cold_from + (1 - spec_->cold_from) * age / to_s(spec_->cold_span);
}

double Node::pace(Time now) const {
  return speed_ * warmth(now) / (slow_ * (choked_ ? spec_->choke_slow : 1));
}

double Node::backlog_s(Time now) const {
  // What runs is taken to be half done.
  const double running =
      started_ > 0 ? 0.5 * static_cast<double>(busy_) * busy_total_ / static_cast<double>(started_)
                   : 0;
  return (running + (run_work_ + room_work_) / pace(now)) / spec_->cores;
}

// Brings the integrals up to now, and closes the report windows that have ended.
void Node::roll(Time now) {
  while (rolled_ < now) {
    const Time next = std::min(now, refreshed_ + spec_->report_interval);
    const double dt = to_s(next - rolled_);
    busy_in_window_ += dt * static_cast<double>(busy_);
    busy_total_ += dt * static_cast<double>(busy_);
    present_ += dt * static_cast<double>(in_hand());
    rolled_ = next;
    if (next < refreshed_ + spec_->report_interval) {
      return;
    }
    const double length = to_s(spec_->report_interval);
    reports_.push_back({next, busy_in_window_ / length / spec_->cores, done_in_window_ / length});
    if (reports_.size() > kReportsKept) {
      reports_.pop_front();
    }
    busy_in_window_ = done_in_window_ = 0;
    refreshed_ = next;
    // Guards against walking every window of a long idle time: what was said last would only
    // repeat.
    const auto skip =
        (now - next) / spec_->report_interval - static_cast<std::int64_t>(kReportsKept);
    if (skip > 0 && busy_ == 0 && in_hand() == 0) {
      refreshed_ += skip * spec_->report_interval, rolled_ = refreshed_;
    }
  }
}

void Node::watch_crowd(Time now) {
  if (spec_->choke_crowd <= 0) {
    return;
  }
  const bool crowded = static_cast<double>(waiting()) > spec_->choke_crowd * spec_->cores;
  const bool idle = waiting() == 0 && static_cast<double>(busy_) <= kMostlyIdle * spec_->cores;
  if (choked_ && ((idle_since_ && now - *idle_since_ >= spec_->choke_idle) ||
                  now - choked_at_ >= spec_->choke_max)) {
    choked_ = false;
    crowded_since_.reset();
  }
  if (!choked_ && crowded_since_ && crowded && now - *crowded_since_ >= spec_->choke_after) {
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

void Node::run(Time now, std::vector<Start>& starts) {
  while (working_ < spec_->slots && !room_.empty()) {
    ++working_;
    room_work_ -= room_.front().work;
    run_work_ += room_.front().work;
    run_queue_.push_back(room_.front());
    room_.pop_front();
  }
  while (busy_ < spec_->cores && !run_queue_.empty()) {
    const Ready job = run_queue_.front();
    run_queue_.pop_front();
    run_work_ -= job.work;
    ++busy_;
    if (job.first) {
      waited_ += to_s(now - job.since), ++started_;
    }
    starts.push_back({job.job, now + to_span(job.work / pace(now))});
  }
  if (run_queue_.empty()) {
    run_work_ = 0;  // sums of reals do not come back to nothing by themselves
  }
  if (room_.empty()) {
    room_work_ = 0;
  }
  watch_crowd(now);
}

bool Node::take(Time now, JobId job, double work, std::vector<Start>& starts) {
  roll(now);
  watch_crowd(now);
  if (in_hand() >= static_cast<std::size_t>(spec_->slots) + spec_->room) {
    return false;
  }
  room_.push_back({job, work, now, true});
  room_work_ += work;
  run(now, starts);
  most_waiting_ = std::max(most_waiting_, waiting());
  return true;
}

void Node::resume(Time now, JobId job, double work, std::vector<Start>& starts) {
  roll(now);
  run_queue_.push_back({job, work, now, false});
  run_work_ += work;
  run(now, starts);
}

void Node::phase_done(Time now, bool leaves, std::vector<Start>& starts) {
  roll(now);
  --busy_;
  if (leaves) {
    --working_, done_in_window_ += 1;
  }
  run(now, starts);
}

void Node::leave(Time now, std::vector<Start>& starts) {
  roll(now);
  --working_;
  done_in_window_ += 1;
  run(now, starts);
}

bool Node::withdraw(Time now, JobId job, std::vector<Start>& starts) {
  roll(now);
  const auto is_it = [job](const Ready& r) { return r.job == job; };
  if (const auto it = std::find_if(room_.begin(), room_.end(), is_it); it != room_.end()) {
    room_work_ -= it->work;
    room_.erase(it);
  } else if (const auto at = std::find_if(run_queue_.begin(), run_queue_.end(), is_it);
             at != run_queue_.end()) {
    run_work_ -= at->work;
    run_queue_.erase(at);
    --working_;
  } else {
    return false;
  }
  run(now, starts);
  return true;
}

void Node::restart(Time now, Time born) {
  roll(now);
  room_.clear();
  run_queue_.clear();
  run_work_ = room_work_ = 0;
  working_ = busy_ = 0;
  choked_ = false;
  crowded_since_.reset();
  idle_since_.reset();
  reports_.clear();
  busy_in_window_ = done_in_window_ = 0;
  born_ = born;
}

LoadReport Node::report(Time now, Duration more_delay) {
  roll(now);
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
