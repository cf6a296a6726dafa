#include "recovery/recovery_tracker.h"

#include <algorithm>
#include <utility>

namespace beechhill::recovery {
namespace {

// A pause counts from this part of the drain grace on: an update that was written as the pause
// began is then still acted on within the grace.
constexpr int kDrainGraceDivisor = 2;
// In place of the drain grace where the settings give none.
constexpr Duration kDefaultDrainGrace{2'000'000};
// Discovery is an agent on this machine, or near: it answers within milliseconds or not soon. A
// longer wait would delay clients for a list that does not come.
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
                                 bool has_list)
    : pause_threshold_((drain_grace > Duration{0} ? drain_grace : kDefaultDrainGrace) /
                       kDrainGraceDivisor),
      resync_timeout_(std::min(pause_threshold_, kMaxResyncTimeout)),
      watch_silence_(watch_silence),
      last_observation_(now),
      resync_deadline_(now + kMaxResyncTimeout),
      has_endpoints_(has_list),
      resyncing_(has_list),
      starting_(has_list) {
}

bool RecoveryTracker::observe_clock(Time now) {
  const Time previous = std::exchange(last_observation_, std::max(now, last_observation_));
  const Duration elapsed = now - previous;
  if (elapsed <= pause_threshold_) {
    return false;
  }
  last_pause_ = elapsed;
  // Without a list there is nothing that could be out of date.
  resyncing_ = has_endpoints_;
  resync_deadline_ = now + resync_timeout_;
  return resyncing_;
}

void RecoveryTracker::on_endpoint_update() {
  has_endpoints_ = true;
  // During a resync this may be the first of several updates.
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
  // The process goes on with the list that it holds; the stage stays kResyncing.
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
