// Where a process stands on its way to full service: after its start, and after a gap in which it
// did not run (it was stopped, or starved of its core). After a gap nothing that it holds is news
// any more: it sends nothing until it knows what discovery wrote meanwhile, or until it has waited
// for that long enough. Free of I/O and clocks: the host tells it the time. docs/design/recovery.md
// weighs the ways.
#pragma once

#include "beechhill/balancer.h"

namespace beechhill::recovery {

enum class Stage {
  kNoEndpoints,  // no list: nothing can be sent
  kResyncing,    // a list is held, and discovery has not spoken since the start or the gap
  kReady,
};
const char* name(Stage stage);

class RecoveryTracker {
 public:
  // `drain_grace`: how long after discovery's word work may still go to a backend that drains; zero
  // where none is stated. `watch_silence`: how long a live watch may say nothing. `has_list`: one
  // is held at the start. It may be old, and what discovery's agent holds by then counts as told: a
  // start with a list is a return like one after a gap.
  RecoveryTracker(Time now, Duration drain_grace, Duration watch_silence, bool has_list);

  // The host looks at its clock: before anything else that it does, and every beat() at the least.
  // True: a gap has ended just now, and discovery is to be heard, anew where asks_again() says so.
  bool observe_clock(Time now);
  Duration observation_interval() const { return away_after_ / 2; }
  // The gap outlasted the watch's own signs of life: what stands in the socket may not be all.
  bool needs_snapshot() const { return gap_ >= watch_silence_; }
  Duration gap() const { return gap_; }  // the latest

  void on_endpoint_update();  // discovery has spoken: a list, or changes of it
  void on_resync_complete();  // all that it wrote up to now has been heard
  // Whether what is held may decide where something new goes. False within a gap that nobody has
  // looked at yet.
  bool endpoints_are_current(Time now) const {
    return !returning_ && now - looked_at_ <= away_after_;
  }
  // Whether the wait for discovery after a gap, or a start, goes on; it ends by itself at
  // hear_by().
  bool is_resyncing(Time now);
  // Whether the process may be put to use: it has a list, and its start is over.
  bool ready() const { return has_list_ && !starting_; }
  Time resync_deadline() const { return hear_by_; }
  Stage stage() const {
    return !has_list_              ? Stage::kNoEndpoints
           : heard_ && !returning_ ? Stage::kReady
                                   : Stage::kResyncing;
  }

 private:
  Duration away_after_, hear_within_, watch_silence_;
  Time looked_at_, hear_by_{0};
  Duration gap_{0};
  bool has_list_, heard_ = false, returning_, starting_;
};

}  // namespace beechhill::recovery
