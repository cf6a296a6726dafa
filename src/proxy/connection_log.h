// One line for each connection that ended, with a code for the reason.
#pragma once

#include <cstdint>
#include <exception>
#include <string>

namespace beechhill::proxy {

enum class EndReason {
  kClientClosed,     // between requests
  kClientGone,       // while its operation was held or running
  kAnsweredClose,    // after an answer that said so
  kBadRequest,       // after a 4xx or 505
  kReadTimeout,      // a new client said nothing, or a request begun was not finished
  kWriteFailed,      // the client did not take its answer
  kDraining,         // the program is ending
  kEvicted,          // nothing was owed to it, and descriptors were short
  kIdle,             // between requests for long
  kPeerClosed,       // a backend closed it while idle, or said that it would
  kPeerDrained,      // idle, and the backend drains or is gone
  kConnectFailed,    // refused, or not up in time
  kStepCancelled,    // its attempt was given up
  kStepTimeout,      // its attempt got no answer in time
  kReset,            // broken during an attempt
  kBadReply,         // what a backend sent is no answer
  kDiscoveryEnded,   // the watch's connection ended
  kDiscoverySilent,  // the watch said nothing for too long
  kDiscoveryBad,     // the watch sent what cannot be read
  kDiscoveryMoved,   // a new configuration names another discovery
  kDiscoveryAnew,    // the process was away, and asks for the whole list again
  kFault,            // unforeseen
};
const char* code(EndReason reason);

// side: front (a client), peer (a backend) or discovery.
void log_end(const char* side, const std::string& remote, EndReason reason,
             std::uint64_t operations);

}  // namespace beechhill::proxy
