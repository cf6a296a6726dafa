// Converts an HTTP request to a ClientRequest and determines its class, tenant and deadline.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>

#include "config/config.h"
#include "config/interner.h"
#include "http/message.h"
#include "proxy/client_request.h"
#include "proxy/trace_id_table.h"

namespace beechhill::proxy {

/// Why a request is rejected. Each value is the HTTP status of the response.
enum class RequestError {
  kBadRequest = 400,
  kNotFound = 404,
  kMethodNotAllowed = 405,
  /// Another request with the same trace id is open or ended recently.
  kConflict = 409,
  /// The trace id cannot be reserved, because too many requests are open.
  kServiceUnavailable = 503,
};

/// Parses strictly, so that no ambiguous request is forwarded to a backend. Headers that have a
/// default may be absent; a header that is present must be valid and must not be repeated.
class ClientRequestParser {
 public:
  using ParsedRequest = std::variant<RequestError, std::shared_ptr<ClientRequest>>;

  /// The trace ids of the requests are reserved in `trace_ids`. Both arguments must outlive the
  /// parser.
  ClientRequestParser(const config::Config& config, TraceIdTable& trace_ids);

  /// Converts `message` to a request, and moves from it unless an error is returned.
  /// `content_length` is the length stated by the client. `upload` carries a streamed body and is
  /// null if the body is complete. The request's deadline is at most `latest_deadline`.
  ParsedRequest parse(http::Message& message, std::optional<std::uint64_t> content_length,
                      std::shared_ptr<BodyPipe> upload, Time latest_deadline);

 private:
  std::optional<ClassId> find_class(const std::string& target) const;
  std::optional<TenantId> find_tenant(const http::Headers& headers) const;

  const config::Config& config_;
  config::Interner class_ids_;
  config::Interner tenant_ids_;
  TraceIdTable& trace_ids_;
};

}  // namespace beechhill::proxy
