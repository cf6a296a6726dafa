// From an HTTP request to a ClientRequest: its class, tenant and deadline.
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
#include "proxy/open_request_ids.h"

namespace beechhill::proxy {

/// Why a request is not accepted; the value is the HTTP status.
enum class RequestError {
  kBadRequest = 400,
  kNotFound = 404,
  kMethodNotAllowed = 405,
  /// A request with its trace id is open.
  kConflict = 409,
};

/// Strict: nothing ambiguous reaches a backend. A header may be absent where a default stands for
/// it; one that is there must be understood, and must not be repeated.
class ClientRequestParser {
 public:
  using ParsedRequest = std::variant<RequestError, std::shared_ptr<ClientRequest>>;

  /// `config` outlives this.
  explicit ClientRequestParser(const config::Config& config);

  /// Takes `message` over, unless it returns an error. `content_length` is as stated; `upload`
  /// carries the rest of a streamed body, null where the body is complete. No deadline is beyond
  /// `latest_deadline`.
  ParsedRequest parse(http::Message& message, std::optional<std::uint64_t> content_length,
                      std::shared_ptr<BodyPipe> upload, Time latest_deadline);

 private:
  std::optional<ClassId> find_class(const std::string& target) const;
  std::optional<TenantId> find_tenant(const http::Headers& headers) const;

  const config::Config& config_;
  config::Interner class_ids_;
  config::Interner tenant_ids_;
  OpenRequestIds open_ids_;
};

}  // namespace beechhill::proxy
