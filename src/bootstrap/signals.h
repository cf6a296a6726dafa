// Delivers signals through a file descriptor, so that the event loop handles them.
#pragma once

#include "net/socket.h"

namespace beechhill::bootstrap {

/// Blocks SIGTERM, SIGINT and SIGHUP for the process and returns a non-blocking signalfd for them.
/// Must be called before any thread is started. Throws std::runtime_error on failure.
net::FileDescriptor block_signals();

}  // namespace beechhill::bootstrap
