// One log line for each connection that ended, with a code for the reason.
#pragma once

#include <cstdint>
#include <string>

namespace beechhill::proxy {

/// Why a connection ended. The codes that operators see are those of code().
enum class EndReason {
  // A client's connection.
  /// The client closed it between requests.
  kClientClosed,
  /// The client closed it while its request was queued or in flight.
  kClientDisconnected,
  /// Closed after a response that announced it.
  kClosedAfterResponse,
  /// Closed after a rejection of what the client sent.
  kBadRequest,
  /// No byte of a new client arrived in time, or not all of a request.
  kReadTimeout,
  /// The client did not take its response in time.
  kWriteFailed,
  /// The process is draining or shutting down.
  kDraining,
  /// No response was owed, and descriptors were short. Of a backend's connection: it was idle.
  kEvicted,
  /// Idle for too long. Of a backend's connection too.
  kIdle,

  // A backend's connection.
  /// The backend closed it while it was idle, or announced that it would.
  kBackendClosed,
  /// Idle, and the backend is draining or removed.
  kBackendDrained,
  /// Refused, or not established in time. Of discovery's connection too.
  kConnectFailed,
  /// Its attempt was cancelled.
  kAttemptCancelled,
  /// Its attempt got no response in time.
  kAttemptTimeout,
  /// Broken during an attempt.
  kReset,
  /// The backend sent a malformed response, or another request's.
  kMalformedResponse,

  // Discovery's connection.
  /// Discovery closed the watch.
  kDiscoveryEnded,
  /// Nothing arrived on the watch for too long.
  kDiscoverySilent,
  /// What arrived on the watch cannot be parsed.
  kDiscoveryMalformed,
  /// A new configuration names another discovery.
  kDiscoveryMoved,
  /// After a gap the complete list is requested on a new connection.
  kDiscoveryResync,

  /// An unforeseen fault.
  kFault,
};

/// The code of `reason` in the log, a string literal.
const char* code(EndReason reason);

/// Logs the end of a connection that carried `requests` requests, or endpoint lists. `side`: front
/// (a client's), peer (a backend's) or discovery.
void log_connection_end(const char* side, const std::string& remote, EndReason reason,
                        std::uint64_t requests);

}  // namespace beechhill::proxy
