// From a ClientResponse to HTTP.
#pragma once

#include <string>

#include "proxy/client_request.h"
#include "proxy/telemetry.h"

namespace beechhill::proxy {

/// A response whose body is complete: 200, 503 where the request was rejected, else 502. `close`:
/// the connection is closed after it.
std::string encode_response(const ClientResponse& response, bool close);

/// The head of a streamed response: with its length, chunked, or ended by the connection's close.
std::string encode_stream_head(const BackendResponse& response, bool close,
                               bool client_decodes_chunks);

/// How a request with that response is counted.
RequestOutcome outcome_of(const ClientResponse& response);

}  // namespace beechhill::proxy
