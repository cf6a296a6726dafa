// The messages that the endpoint watch actor receives.
#pragma once

#include <netinet/in.h>

#include <variant>

#include "runtime/mailbox.h"

namespace beechhill::proxy {

/// Asks the actor to connect to discovery immediately, without further backoff.
struct StartWatch {};

/// Reports that discovery has moved to another address.
struct RedirectWatch {
  sockaddr_in address{};
};

/// Asks the actor to read everything that discovery has written so far and then to post
/// ResyncComplete.
struct Resync {
  /// Whether to request the complete list on a new connection, because updates on the current watch
  /// may be missing.
  bool from_snapshot = false;
};

using EndpointWatchMessage = std::variant<StartWatch, RedirectWatch, Resync>;
using EndpointWatchMailbox = runtime::Mailbox<EndpointWatchMessage>;

}  // namespace beechhill::proxy
