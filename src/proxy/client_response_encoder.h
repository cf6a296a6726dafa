// Encodes a ClientResponse as HTTP/1.1.
#pragma once

#include <string>

#include "proxy/client_request.h"
#include "proxy/telemetry.h"

namespace beechhill::proxy {

/// Encodes a response with a complete body, and frees the memory of the body in `response`. The
/// status is 200 for a backend's response, 503 for a rejection and 502 for a failure. `close`
/// announces that the connection is closed after the response.
std::string encode_response(ClientResponse& response, bool close);

/// Encodes the head of a streamed response, whose body is delimited by its length, by chunked
/// encoding or by the end of the connection.
std::string encode_stream_head(const BackendResponse& response, bool close,
                               bool client_decodes_chunks);

/// Returns the outcome under which Telemetry counts a request with this response.
RequestOutcome outcome_of(const ClientResponse& response);

}  // namespace beechhill::proxy
