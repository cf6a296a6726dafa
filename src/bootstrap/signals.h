// Delivers the signals that a serving process handles through a file descriptor.
#pragma once

#include "net/socket.h"

namespace beechhill::bootstrap {

/// Blocks SIGTERM, SIGINT and SIGHUP for the process and returns a non-blocking signalfd for them.
/// Must be called before any thread is started. Throws std::runtime_error on failure.
net::FileDescriptor block_signals();

}  // namespace beechhill::bootstrap
