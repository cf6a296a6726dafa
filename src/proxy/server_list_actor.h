// Watches discovery and posts each server list to the decision actor.
#pragma once

#include <random>
#include <string>

#include "proxy/log.h"
#include "proxy/operation.h"

namespace beechhill::proxy {

class ServerListActor {
 public:
  // A watch sends at least an empty line every 2 s; one that says nothing for so long is given up.
  static constexpr std::chrono::milliseconds kSilence{2500};

  ServerListActor(runtime::Scheduler& scheduler, const config::Config& config);
  WatchBox& inbox() { return inbox_; }
  runtime::Task<> run(DecisionBox& decisions);

 private:
  struct End {
    EndReason reason = EndReason::kDiscoveryEnded;
    std::uint64_t lists = 0;
    sockaddr_in address{};  // where it was
  };
  runtime::Task<> watch(DecisionBox& decisions, End& end);
  bool moved();  // takes what is in the mailbox: whether discovery is elsewhere now
  void caught_up(DecisionBox& decisions);
  bool take_lines(std::string& lines, DecisionBox& decisions, std::uint64_t& lists);

  runtime::Scheduler& scheduler_;
  WatchBox inbox_;
  sockaddr_in address_;
  std::size_t most_line_, scanned_ = 0;  // bytes of a line, and of the one under way that were looked at
  std::uint64_t version_;
  bool catching_ = false;  // a CaughtUp is owed
  bool anew_ = false;      // by asking for the whole list on another connection
  std::mt19937_64 random_;
};

}  // namespace beechhill::proxy
