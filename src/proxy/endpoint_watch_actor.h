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

/// Holds one watch on discovery at a time and opens another whenever it ends. All members are
/// called on the scheduler's thread.
class EndpointWatchActor {
 public:
  /// Discovery sends at least an empty line every 2 s; a watch without one for so long is closed.
  static constexpr std::chrono::milliseconds kWatchSilenceTimeout{2500};

  EndpointWatchActor(runtime::Scheduler& scheduler, const config::Config& config);

  EndpointWatchMailbox& inbox() { return inbox_; }

  /// Watches until its task is cancelled.
  runtime::Task<> run(DecisionMailbox& decisions);

 private:
  struct Watch;

  runtime::Task<EndReason> run_watch(DecisionMailbox& decisions, Watch& watch);
  runtime::Task<> back_off();
  std::string watch_request(const Watch& watch) const;
  runtime::TimePoint read_deadline(const Watch& watch) const;
  bool is_draining_for_resync(const Watch& watch) const;
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
  /// Connections in a row that discovery accepted and did not answer.
  int unanswered_connections_ = 0;
  /// ResyncComplete is owed: at the start too, as discovery may hold a newer list than the cached.
  bool resync_pending_ = true;
  /// The pending resync is to request the complete list on a new connection.
  bool reconnect_for_resync_ = false;
  std::mt19937_64 random_;
};

}  // namespace beechhill::proxy
