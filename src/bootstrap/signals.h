// The signals that a serving process handles, as events of its event loop.
#pragma once

#include "net/socket.h"

namespace beechhill::bootstrap {

/// Blocks SIGTERM, SIGINT and SIGHUP for the process and returns a non-blocking signalfd of them.
/// To be called before any thread is started. Throws std::runtime_error.
net::FileDescriptor block_signals();

}  // namespace beechhill::bootstrap
