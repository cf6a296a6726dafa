#include "recovery/recovery_tracker.h"

#include <algorithm>
#include <utility>

namespace beechhill::recovery {
namespace {

// Divisor of the drain grace that gives the pause threshold: the longest time between two
// observations that does not count as a pause. The rest of the grace is left to act on an update
// that discovery sent when the pause began.
constexpr int kDrainGraceDivisor = 2;
// Drain grace that is assumed if the settings give none.
constexpr Duration kDefaultDrainGrace{2'000'000};
// Maximum duration of a resync. Discovery is an agent on this machine or near it, which answers
// within milliseconds if it answers at all, so a longer timeout would only delay clients.
constexpr Duration kMaxResyncTimeout{250'000};

}  // namespace

const char* name(Stage stage) {
  switch (stage) {
    case Stage::kNoEndpoints:
      return "empty";
    case Stage::kResyncing:
      return "hearing";
    case Stage::kReady:
      return "full";
  }
  return "unknown";
}

RecoveryTracker::RecoveryTracker(Time now, Duration drain_grace, Duration watch_silence,
                                 bool has_endpoints)
    : pause_threshold_((drain_grace > Duration{0} ? drain_grace : kDefaultDrainGrace) /
                       kDrainGraceDivisor),
      resync_timeout_(std::min(pause_threshold_, kMaxResyncTimeout)),
      watch_silence_(watch_silence),
      last_observation_(now),
      resync_deadline_(now + kMaxResyncTimeout),
      has_endpoints_(has_endpoints),
      resyncing_(has_endpoints),
      starting_(has_endpoints) {
}

bool RecoveryTracker::observe_clock(Time now) {
  const Time previous = std::exchange(last_observation_, std::max(now, last_observation_));
  const Duration elapsed = now - previous;
  if (elapsed <= pause_threshold_) {
    return false;
  }
  last_pause_ = elapsed;
  // Without an endpoint list there is nothing to resync.
  resyncing_ = has_endpoints_;
  resync_deadline_ = now + resync_timeout_;
  return resyncing_;
}

void RecoveryTracker::on_endpoint_update() {
  has_endpoints_ = true;
  // During a resync this update may be the first of several, so `updated_` is set only in
  // on_resync_complete().
  if (!resyncing_) {
    updated_ = true;
  }
}

void RecoveryTracker::on_resync_complete() {
  updated_ = updated_ || resyncing_;
  resyncing_ = false;
  starting_ = false;
}

bool RecoveryTracker::is_resyncing(Time now) {
  // After the timeout the process uses the endpoint list that it has. As `updated_` is cleared,
  // stage() still returns kResyncing.
  if (resyncing_ && now >= resync_deadline_) {
    resyncing_ = false;
    starting_ = false;
    updated_ = false;
  }
  return resyncing_;
}

Stage RecoveryTracker::stage() const {
  if (!has_endpoints_) {
    return Stage::kNoEndpoints;
  }
  return updated_ && !resyncing_ ? Stage::kReady : Stage::kResyncing;
}

}  // namespace beechhill::recovery
