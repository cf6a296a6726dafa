// Tracks whether a process's endpoint list is current: after the process starts, and after a pause
// in which it did not run (stopped, or without CPU time). After a pause the list counts as out of
// date, and no request is sent until the process has read what discovery wrote during the pause or
// the resync deadline has passed. Does no I/O and reads no clock: the caller passes the time.
// docs/design/recovery.md compares the alternatives.
#pragma once

#include "beechhill/balancer.h"

namespace beechhill::recovery {

enum class Stage {
  /// There is no endpoint list, so no request can be sent.
  kNoEndpoints,
  /// There is an endpoint list, but discovery has not updated it since the start or the last pause.
  kResyncing,
  /// The endpoint list is up to date.
  kReady,
};

/// Returns the name of the stage in the log and in /api/telemetry: "empty", "hearing" or "full".
const char* name(Stage stage);

/// Detects pauses of the process and tracks the resync with discovery after each. Not thread-safe.
/// All times are readings of one clock. A reading that is equal to or before the latest one counts
/// as no elapsed time.
class RecoveryTracker {
 public:
  /// `drain_grace`: how long after an update that drains a backend requests may still be sent to
  /// it; zero if the settings give none. `watch_silence`: the longest time for which a working
  /// watch sends nothing. `has_endpoints`: whether the process starts with an endpoint list. Such a
  /// list may be out of date, so the start is treated as the end of a pause.
  RecoveryTracker(Time now, Duration drain_grace, Duration watch_silence, bool has_endpoints);

  /// Must be called before any other work in an iteration of the event loop, and at least every
  /// observation_interval(). Returns true if a pause has just ended and there is an endpoint list.
  /// The caller must then read everything that is pending on the connection to discovery, or
  /// request a complete list if needs_snapshot() is true.
  bool observe_clock(Time now);
  /// Returns the longest time allowed between two calls of observe_clock().
  Duration observation_interval() const { return pause_threshold_ / 2; }
  /// Returns whether the last pause lasted at least `watch_silence`. The watch's connection may
  /// have failed by then, and changes sent on it may be lost, so a complete list is required.
  bool needs_snapshot() const { return last_pause_ >= watch_silence_; }
  /// Returns the length of the last pause; zero before the first pause.
  Duration last_pause() const { return last_pause_; }

  /// Must be called when discovery has sent a complete endpoint list or changes to it.
  void on_endpoint_update();
  /// Must be called when everything that discovery had written before the resync has been read.
  void on_resync_complete();
  /// Returns whether endpoints for new requests may be selected from the list. Also false during a
  /// pause that observe_clock() has not detected yet.
  bool endpoints_are_current(Time now) const {
    return !resyncing_ && now - last_observation_ <= pause_threshold_;
  }
  /// Returns whether the process is waiting for discovery after its start or a pause. Ends the
  /// resync once `now` reaches resync_deadline().
  bool is_resyncing(Time now);
  /// Returns whether the process can serve: it has an endpoint list, and the resync at its start
  /// has ended. Later pauses do not reset this.
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
  /// Whether the endpoint list has been brought up to date since the start, or since the last
  /// resync that timed out.
  bool updated_ = false;
  /// Whether a resync is in progress, after the start or after a pause.
  bool resyncing_;
  /// Whether the resync at the start has not ended yet.
  bool starting_;
};

}  // namespace beechhill::recovery
