// A request to be encoded for a backend, independent of the client's protocol.
#pragma once

#include <memory>
#include <string>
#include <string_view>

#include "beechhill/balancer.h"
#include "proxy/body_pipe.h"

namespace beechhill::proxy {

/// Encodes one request for a backend. Immutable except for the pipe of a streamed body, so that
/// several attempts of a request can share it.
class Payload {
 public:
  virtual ~Payload() = default;

  /// Returns the whole request, or the head and the first part of the body if the body is streamed.
  /// `host` is the backend's address; `time_left` is how long the proxy waits for the response.
  virtual std::string encode(const std::string& host, Duration time_left) const = 0;

  /// The part of a streamed body that follows the result of encode(); null if encode() returns the
  /// whole request. Each byte can be read only once.
  virtual const std::shared_ptr<BodyPipe>& remaining_body() const {
    static const std::shared_ptr<BodyPipe> kNone;
    return kNone;
  }

  /// Applies the transfer encoding to a part of the streamed body.
  virtual std::string frame_body(std::string bytes) const { return bytes; }

  /// Returns the bytes that end a streamed body in its transfer encoding.
  virtual std::string frame_body_end() const { return {}; }

  /// The request's trace id, which a backend may echo at the start of its response body; empty for
  /// a health check.
  virtual std::string_view trace_id() const { return {}; }
};

}  // namespace beechhill::proxy
