#include "proxy/http_payload.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "http/writer.h"

namespace beechhill::proxy {
namespace {

// Maximum size in bytes of a body that is copied behind its head, so that one call to the system
// writes both. A larger body is written from the payload's memory.
constexpr std::size_t kMaxCopiedBodyBytes = std::size_t{4} * 1024;

}  // namespace

HttpPayload::HttpPayload(http::Message&& request, std::shared_ptr<BodyPipe> streamed_body,
                         std::optional<std::uint64_t> content_length, Duration client_timeout)
    : request_(std::move(request)),
      streamed_body_(std::move(streamed_body)),
      content_length_(content_length),
      client_timeout_(client_timeout) {
  if (streamed_body_) {
    streamed_body_->push(request_.body);
  }
}

std::string HttpPayload::encode(const std::string& host, Duration time_left) const {
  using std::chrono::milliseconds;
  const Duration expires_in = streamed_body_ ? client_timeout_ : time_left;
  const auto expires_in_ms =
      std::max<std::int64_t>(1, std::chrono::floor<milliseconds>(expires_in).count());
  std::string headers = "X-Expires-In-Ms: " + std::to_string(expires_in_ms) + "\r\n";
  for (const char* name : {"X-Trace-Id", "Idempotency-Key", "Content-Type"}) {
    if (const std::string* value = request_.headers.find(name)) {
      headers.append(name).append(": ").append(*value).append("\r\n");
    }
  }
  if (streamed_body_) {
    return http::write_request_head(request_.method, request_.target, host, headers,
                                    content_length_);
  }
  if (!body().empty()) {
    return http::write_request_head(request_.method, request_.target, host, headers, body().size());
  }
  return http::write_request(request_.method, request_.target, host, headers, request_.body);
}

std::string_view HttpPayload::body() const {
  const std::string_view body = request_.body;
  return body.size() > kMaxCopiedBodyBytes ? body : std::string_view{};
}

std::string HttpPayload::frame_body(std::string_view part) const {
  return content_length_ ? std::string(part) : http::write_chunk(part);
}

std::string HttpPayload::frame_body_end() const {
  return content_length_ ? "" : http::write_chunk({});
}

std::string_view HttpPayload::trace_id() const {
  return *request_.headers.find("X-Trace-Id");
}

}  // namespace beechhill::proxy
