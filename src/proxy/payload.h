// A request to be encoded for a backend, independent of the client's protocol.
#pragma once

#include <cstddef>
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

  /// Returns the request's head, with the body behind it unless body() or streamed_body() holds the
  /// body. `host` is the backend's address; `time_left` is how long the proxy waits for the
  /// response.
  virtual std::string encode(const std::string& host, Duration time_left) const = 0;

  /// The body that follows the result of encode(), so that a large body is not copied for each
  /// attempt. Empty if there is none. Valid as long as the payload.
  virtual std::string_view body() const { return {}; }

  /// The streamed body that follows the result of encode(); null if the body is not streamed. Each
  /// byte can be read only once.
  virtual const std::shared_ptr<BodyPipe>& streamed_body() const {
    static const std::shared_ptr<BodyPipe> kNone;
    return kNone;
  }

  /// Whether frame_body() changes the parts of the streamed body.
  virtual bool frames_body() const { return false; }

  /// Returns a part of the streamed body in its transfer encoding.
  virtual std::string frame_body(std::string_view part) const { return std::string(part); }

  /// Returns the bytes that end a streamed body in its transfer encoding.
  virtual std::string frame_body_end() const { return {}; }

  /// Number of bytes of memory that the payload occupies, without streamed_body().
  virtual std::size_t memory_bytes() const { return 0; }

  /// The request's trace id, which a backend may echo at the start of its response body; empty for
  /// a health check.
  virtual std::string_view trace_id() const { return {}; }
};

}  // namespace beechhill::proxy
