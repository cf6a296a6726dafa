// How far a process has come towards full service: after its start, and after a pause in which it
// did not run (it was stopped, or starved of its core). After a pause nothing that it holds counts
// as current: nothing is sent until the process knows what discovery wrote meanwhile, or until the
// resync deadline has passed. Free of I/O and clocks: the caller passes the time.
// docs/design/recovery.md compares the alternatives.
#pragma once

#include "beechhill/balancer.h"

namespace beechhill::recovery {

enum class Stage {
  /// There is no endpoint list: nothing can be sent.
  kNoEndpoints,
  /// A list is held, and discovery has sent nothing since the start or the last pause.
  kResyncing,
  kReady,
};

/// Returns the stage as it stands in the log and on /api/telemetry: "empty", "hearing" or "full".
const char* name(Stage stage);

/// Used by one thread. Times come from one clock that may stand still or go back, which counts as
/// no time.
class RecoveryTracker {
 public:
  /// `drain_grace`: how long after an update that drains a backend requests may still go there;
  /// zero where the settings give none. `watch_silence`: how long a live watch may send nothing.
  /// `has_list`: an endpoint list is held at the start. It may be old, so such a start is treated
  /// as the end of a pause.
  RecoveryTracker(Time now, Duration drain_grace, Duration watch_silence, bool has_list);

  /// To be called before anything else is done, and every observation_interval() at least. Returns
  /// true when a pause has ended just now: then discovery's connection must be read to its end, or
  /// a complete list be asked for where needs_snapshot() says so.
  bool observe_clock(Time now);
  /// The longest time between two calls of observe_clock() while the process runs.
  Duration observation_interval() const { return pause_threshold_ / 2; }
  /// Whether the last pause was as long as a watch may be silent: its connection may be dead, and
  /// only a complete list tells what has changed.
  bool needs_snapshot() const { return last_pause_ >= watch_silence_; }
  /// The length of the last pause; zero before the first.
  Duration gap() const { return last_pause_; }

  /// Discovery has sent a list, or changes of it.
  void on_endpoint_update();
  /// Everything that discovery had written when the resync began has been read.
  void on_resync_complete();
  /// Whether the endpoint list may decide where something new goes. False also during a pause that
  /// observe_clock() has not seen yet.
  bool endpoints_are_current(Time now) const {
    return !resyncing_ && now - last_observation_ <= pause_threshold_;
  }
  /// Whether the process still waits for discovery after a start or a pause. Ends the wait once
  /// resync_deadline() is reached.
  bool is_resyncing(Time now);
  /// Whether the process may be put to use: it has a list, and the wait after its start is over. A
  /// later pause does not change that.
  bool ready() const { return has_endpoints_ && !starting_; }
  Time resync_deadline() const { return resync_deadline_; }
  Stage stage() const;

 private:
  Duration pause_threshold_;
  Duration resync_timeout_;
  Duration watch_silence_;
  Time last_observation_;
  Time resync_deadline_;
  Duration last_pause_{0};
  bool has_endpoints_;
  /// Discovery has sent something since the start, or since the last wait that ran out.
  bool updated_ = false;
  /// Waiting for discovery, after the start or a pause.
  bool resyncing_;
  /// The wait after the start is not over.
  bool starting_;
};

}  // namespace beechhill::recovery
