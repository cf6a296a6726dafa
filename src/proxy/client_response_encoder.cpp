#include "proxy/client_response_encoder.h"

#include <utility>
#include <variant>

#include "http/field_values.h"
#include "http/message.h"
#include "http/writer.h"

namespace beechhill::proxy {
namespace {

std::string content_type_header(const BackendResponse& response) {
  return response.content_type.empty() ? "" : "Content-Type: " + response.content_type + "\r\n";
}

std::string retry_after_header(const Rejection& rejection) {
  return rejection.retry_after > Duration{0}
             ? "Retry-After: " + http::format_retry_after(rejection.retry_after) + "\r\n"
             : "";
}

}  // namespace

std::string encode_response(ClientResponse& response, bool close) {
  if (auto* completed = std::get_if<BackendResponse>(&response)) {
    const std::string body = std::move(completed->body);
    return http::write_response(200, content_type_header(*completed), body, close);
  }
  if (const auto* rejection = std::get_if<Rejection>(&response)) {
    return http::write_response(503, retry_after_header(*rejection), "", close);
  }
  return http::write_response(502, "", "", close);
}

RequestOutcome outcome_of(const ClientResponse& response) {
  if (std::holds_alternative<BackendResponse>(response)) {
    return RequestOutcome::kCompleted;
  }
  return std::holds_alternative<Rejection>(response) ? RequestOutcome::kRejected
                                                     : RequestOutcome::kFailed;
}

std::string encode_stream_head(const BackendResponse& response, bool close,
                               bool client_decodes_chunks) {
  const std::string headers = content_type_header(response);
  if (client_decodes_chunks || response.content_length) {
    return http::write_response_head(200, headers, response.content_length, close);
  }
  return "HTTP/1.1 200 OK\r\n" + headers + "Connection: close\r\n\r\n";
}

}  // namespace beechhill::proxy
