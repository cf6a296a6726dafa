// The actor that watches discovery and posts each endpoint list to the decision actor.
#pragma once

#include <netinet/in.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>
#include <string>

#include "proxy/connection_log.h"
#include "proxy/decision_messages.h"
#include "proxy/endpoint_watch_messages.h"
#include "proxy/watch_stream_decoder.h"
#include "runtime/scheduler.h"

namespace beechhill::proxy {

/// Keeps one watch on discovery open, and opens a new one whenever the watch ends. All members must
/// be called on the scheduler's thread.
class EndpointWatchActor {
 public:
  /// Maximum time without a complete list or an empty line on a watch before it is closed.
  /// Discovery sends at least an empty line every 2 s.
  static constexpr std::chrono::milliseconds kWatchSilenceTimeout{2500};

  EndpointWatchActor(runtime::Scheduler& scheduler, const config::Config& config);

  EndpointWatchMailbox& inbox() { return inbox_; }

  /// Watches discovery until its task is cancelled.
  runtime::Task<> run(DecisionMailbox& decisions);

 private:
  struct Watch;

  runtime::Task<EndReason> run_watch(DecisionMailbox& decisions, Watch& watch);
  runtime::Task<> back_off();
  std::string watch_request(const Watch& watch) const;
  runtime::TimePoint read_deadline(const Watch& watch) const;
  bool is_catching_up(const Watch& watch) const;
  std::optional<EndReason> process_bytes(DecisionMailbox& decisions, Watch& watch);
  std::optional<EndReason> process_head(Watch& watch);
  std::optional<bool> post_lists(DecisionMailbox& decisions, Watch& watch);
  std::optional<EndReason> process_messages();
  void report_resync_complete(DecisionMailbox& decisions);

  runtime::Scheduler& scheduler_;
  EndpointWatchMailbox inbox_;
  sockaddr_in address_;
  std::size_t max_object_bytes_;
  std::uint64_t version_;
  /// Number of consecutive connections that discovery accepted but did not answer.
  int unanswered_connections_ = 0;
  /// Whether a ResyncComplete must be posted. Also true at start, as discovery may have a newer
  /// list than the cached one.
  bool resync_pending_ = true;
  /// Whether the pending resync must request the complete list on a new connection.
  bool reconnect_for_resync_ = false;
  std::mt19937_64 random_;
};

}  // namespace beechhill::proxy
