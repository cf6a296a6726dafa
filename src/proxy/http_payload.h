// A client's HTTP request as a backend is to receive it.
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
  /// With `remaining_body` the request's body is its first part only. `content_length` is that of
  /// the whole body, where the client stated it; `client_timeout` how long the client waits.
  /// `request` has an X-Trace-Id header.
  HttpPayload(http::Message&& request, std::shared_ptr<BodyPipe> remaining_body,
              std::optional<std::uint64_t> content_length, Duration client_timeout);

  std::string encode(const std::string& host, Duration time_left) const override;
  const std::shared_ptr<BodyPipe>& remaining_body() const override { return remaining_body_; }
  std::string frame_body(std::string bytes) const override;
  std::string frame_body_end() const override;
  std::string_view trace_id() const override;

 private:
  http::Message request_;
  std::shared_ptr<BodyPipe> remaining_body_;
  std::optional<std::uint64_t> content_length_;
  Duration client_timeout_;
};

}  // namespace beechhill::proxy
