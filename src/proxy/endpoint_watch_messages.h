// The messages that the endpoint watch actor receives.
#pragma once

#include <netinet/in.h>

#include <variant>

#include "runtime/mailbox.h"

namespace beechhill::proxy {

/// Connect to discovery now, without further backoff.
struct StartWatch {};

/// Discovery has moved to another address.
struct RedirectWatch {
  sockaddr_in address{};
};

/// Read all that discovery has written so far, then post ResyncComplete.
struct Resync {
  /// What the current watch carries may be incomplete: request the complete list on a new one.
  bool from_snapshot = false;
};

using EndpointWatchMessage = std::variant<StartWatch, RedirectWatch, Resync>;
using EndpointWatchMailbox = runtime::Mailbox<EndpointWatchMessage>;

}  // namespace beechhill::proxy
