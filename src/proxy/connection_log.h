// Logs the end of each connection with a reason code.
#pragma once

#include <cstdint>
#include <string>

namespace beechhill::proxy {

/// Why a connection ended. reason_code() returns the code that is logged for a reason.
enum class EndReason {
  // Client connections.
  /// The client closed the connection between requests.
  kClientClosed,
  /// The client closed the connection while its request was queued or in flight.
  kClientDisconnected,
  /// The connection was closed after a response that announced the close.
  kClosedAfterResponse,
  /// The connection was closed after an invalid request was rejected.
  kBadRequest,
  /// A request was rejected because the buffers are full.
  kBuffersFull,
  /// A new client sent nothing within the time limit, or a client did not complete its request in
  /// time.
  kReadTimeout,
  /// A request was rejected because the backend did not take its body in time.
  kUploadBlocked,
  /// The client did not read its response within the time limit.
  kWriteFailed,
  /// The process is draining or shutting down.
  kDraining,
  /// The connection was closed to free a descriptor. It was a client's connection without an
  /// outstanding response, or an idle connection to a backend.
  kEvicted,
  /// The connection was closed after its idle timeout. Also used for connections to backends.
  kIdle,

  // Connections to backends.
  /// The backend closed the connection while it was idle, or announced that it would.
  kBackendClosed,
  /// The backend sent bytes on the connection while it was idle, such as a second response.
  kUnsolicitedBytes,
  /// The connection was closed because the backend is draining, was removed, or has restarted or
  /// moved.
  kBackendDrained,
  /// The connection was refused or not established in time. Also used for connections to discovery.
  kConnectFailed,
  /// The attempt on the connection was cancelled.
  kAttemptCancelled,
  /// The attempt on the connection received no response, or only part of a short one, in time.
  kAttemptTimeout,
  /// The connection was reset or closed during an attempt.
  kReset,
  /// The backend sent a malformed response, or the response to another request.
  kMalformedResponse,
  /// The response stopped arriving before it was complete.
  kResponseStalled,

  // Connections to discovery.
  /// Discovery closed the watch.
  kDiscoveryEnded,
  /// Neither a complete list nor an empty line arrived on the watch within its silence timeout.
  kDiscoverySilent,
  /// Data that arrived on the watch cannot be parsed.
  kDiscoveryMalformed,
  /// A new configuration names another address of discovery.
  kDiscoveryMoved,
  /// The watch was closed to request the complete list on a new connection, after a gap in which
  /// the process did not run, because updates may be missing on the old connection.
  kDiscoveryResync,

  /// An unexpected error, such as an exception.
  kFault,
};

/// Returns the code that is logged for `reason`, a string literal.
const char* reason_code(EndReason reason);

/// Logs the end of a connection. `side` is "front" for a client, "peer" for a backend, or
/// "discovery". `requests` is the number of requests that the connection carried, or for discovery
/// the number of endpoint lists that it delivered.
void log_connection_end(const char* side, const std::string& remote, EndReason reason,
                        std::uint64_t requests);

}  // namespace beechhill::proxy
