#include "recovery/recovery_tracker.h"

#include <algorithm>
#include <utility>

namespace beechhill::recovery {
namespace {

// Of the grace, a gap takes one part before it counts: what came at its beginning is then still
// acted on in time. Where no grace is stated none binds, and a second serves to notice that the
// process was away.
constexpr int kGapShare = 2;
constexpr Duration kNoGrace{2'000'000};
// Discovery is an agent on this machine, or near: it answers in milliseconds or not soon. Waiting
// longer would keep clients from their answer for a list that does not come.
constexpr Duration kMostHearing{250'000};

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
    : away_after_((drain_grace > Duration{0} ? drain_grace : kNoGrace) / kGapShare),
      hear_within_(std::min(away_after_, kMostHearing)),
      watch_silence_(watch_silence),
      looked_at_(now),
      hear_by_(now + kMostHearing),
      has_list_(has_list),
      returning_(has_list),
      starting_(has_list) {
}

bool RecoveryTracker::observe_clock(Time now) {
  const Duration since = now - std::exchange(looked_at_, std::max(now, looked_at_));
  if (since <= away_after_) {
    return false;
  }
  gap_ = since;
  returning_ = has_list_;  // without a list there is nothing to send to, nor to doubt
  hear_by_ = now + hear_within_;
  return returning_;
}

void RecoveryTracker::on_endpoint_update() {
  has_list_ = true;
  if (!returning_) {
    heard_ = true;  // after a gap one line of several is not all
  }
}

void RecoveryTracker::on_resync_complete() {
  heard_ = heard_ || returning_;
  returning_ = starting_ = false;
}

bool RecoveryTracker::is_resyncing(Time now) {
  if (returning_ && now >= hear_by_) {
    returning_ = starting_ = heard_ = false;  // on with what is held: still hearing
  }
  return returning_;
}

}  // namespace beechhill::recovery
