// A client's HTTP request, encoded for a backend.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "http/message.h"
#include "proxy/payload.h"

namespace beechhill::proxy {

class HttpPayload : public Payload {
 public:
  /// `request` must have an X-Trace-Id header. If `streamed_body` is set, the body of `request` is
  /// only its first part, which is moved to that pipe. `content_length` is the length of the whole
  /// body if the client stated it. `client_timeout` is how long the client waits for a response.
  HttpPayload(http::Message&& request, std::shared_ptr<BodyPipe> streamed_body,
              std::optional<std::uint64_t> content_length, Duration client_timeout);

  std::string encode(const std::string& host, Duration time_left) const override;
  std::string_view body() const override;
  const std::shared_ptr<BodyPipe>& streamed_body() const override { return streamed_body_; }
  bool frames_body() const override { return !content_length_; }
  std::string frame_body(std::string_view part) const override;
  std::string frame_body_end() const override;
  std::size_t memory_bytes() const override { return request_.memory_bytes(); }
  std::string_view trace_id() const override;

 private:
  http::Message request_;
  std::shared_ptr<BodyPipe> streamed_body_;
  std::optional<std::uint64_t> content_length_;
  Duration client_timeout_;
};

}  // namespace beechhill::proxy
