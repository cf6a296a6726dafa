// Watches discovery and posts each server list to the decision actor.
#pragma once

#include <optional>
#include <random>
#include <string>

#include "proxy/connection_log.h"
#include "proxy/messages.h"
#include "proxy/watch_stream_decoder.h"

namespace beechhill::proxy {

class EndpointWatchActor {
 public:
  // A watch sends at least an empty line every 2 s; one that says nothing for so long is given up.
  static constexpr std::chrono::milliseconds kWatchSilenceTimeout{2500};

  EndpointWatchActor(runtime::Scheduler& scheduler, const config::Config& config);
  EndpointWatchMailbox& inbox() { return inbox_; }
  runtime::Task<> run(DecisionMailbox& decisions);

 private:
  struct End {
    EndReason reason = EndReason::kDiscoveryEnded;
    std::uint64_t lists = 0;
    sockaddr_in address{};  // where it was
  };
  runtime::Task<> watch(DecisionMailbox& decisions, End& end);
  bool moved();  // takes what is in the mailbox: whether discovery is elsewhere now
  void caught_up(DecisionMailbox& decisions);
  std::optional<bool> take_lists(WatchStreamDecoder& reader, DecisionMailbox& decisions,
                                 std::uint64_t& lists);

  runtime::Scheduler& scheduler_;
  EndpointWatchMailbox inbox_;
  sockaddr_in address_;
  std::size_t most_object_;  // bytes of one
  std::uint64_t version_;
  int mute_ = 0;  // calls in a row that were not answered
  // A CaughtUp is owed: at the start too, as what the agent holds is newer than the list last held.
  bool catching_ = true;
  bool anew_ = false;  // by asking for the whole list on another connection
  std::mt19937_64 random_;
};

}  // namespace beechhill::proxy
