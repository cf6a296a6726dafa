#include "proxy/client_request_parser.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "http/field_values.h"
#include "proxy/http_payload.h"
#include "runtime/time.h"

namespace beechhill::proxy {
namespace {

using namespace std::chrono_literals;

// Estimated time for a streamed body to arrive, included in the deadline that the balancer uses.
constexpr Duration kEstimatedUploadTime = 60s;

constexpr std::size_t kMaxTraceIdBytes = 128;

constexpr const char* kSingleValueHeaders[] = {"Host", "X-Trace-Id", "X-Customer",
                                               "X-Expires-In-Ms", "Idempotency-Key"};

bool headers_are_unambiguous(const http::Headers& headers) {
  return std::all_of(std::begin(kSingleValueHeaders), std::end(kSingleValueHeaders),
                     [&headers](const char* name) {
                       const std::string* value = headers.find(name);
                       return !value || (!value->empty() && headers.count(name) == 1);
                     });
}

// Whether the request's headers are unambiguous and include those that its class requires, and
// whether a request of an idempotent class has no body.
bool is_well_formed(const http::Message& message, Idempotency idempotency) {
  const http::Headers& headers = message.headers;
  if (idempotency == Idempotency::kIdempotent &&
      (!message.body.empty() || headers.find("Transfer-Encoding"))) {
    return false;
  }
  if (!headers_are_unambiguous(headers)) {
    return false;
  }
  const std::string* trace_id = headers.find("X-Trace-Id");
  if (!trace_id || trace_id->size() > kMaxTraceIdBytes) {
    return false;
  }
  return idempotency != Idempotency::kIdempotencyKey || headers.find("Idempotency-Key");
}

// Returns how long the client waits: the time in its X-Expires-In-Ms header, limited to the
// deadline of the class, or that deadline if the header is absent. Returns nothing if the header is
// malformed or 0.
std::optional<Duration> client_timeout(const http::Headers& headers, Duration class_deadline) {
  const std::string* text = headers.find("X-Expires-In-Ms");
  if (!text) {
    return class_deadline;
  }
  const auto stated_ms = http::parse_unsigned(*text);
  if (!stated_ms || *stated_ms == 0) {
    return std::nullopt;
  }
  const auto max_ms = std::chrono::ceil<std::chrono::milliseconds>(class_deadline).count();
  return std::chrono::milliseconds(std::min(*stated_ms, static_cast<std::uint64_t>(max_ms)));
}

}  // namespace

ClientRequestParser::ClientRequestParser(const config::Config& config, TraceIdTable& trace_ids)
    : config_(config), trace_ids_(trace_ids) {
  for (const auto& name : config.named_settings.classes) {
    class_ids_.id(name);
  }
  for (const auto& name : config.named_settings.tenants) {
    tenant_ids_.id(name);
  }
}

std::optional<ClassId> ClientRequestParser::find_class(const std::string& target) const {
  return class_ids_.find(target.substr(1, target.find_first_of("/?", 1) - 1));
}

// Returns the tenant that the X-Customer header names, kNoTenant if the header is absent, and
// nothing if it names an unknown tenant.
std::optional<TenantId> ClientRequestParser::find_tenant(const http::Headers& headers) const {
  const std::string* name = headers.find("X-Customer");
  return name ? tenant_ids_.find(*name) : std::optional<TenantId>(kNoTenant);
}

ClientRequestParser::ParsedRequest ClientRequestParser::parse(
    http::Message& message, std::optional<std::uint64_t> content_length,
    std::shared_ptr<BodyPipe> upload, Time latest_deadline) {
  const auto class_id = find_class(message.target);
  if (!class_id) {
    return RequestError::kNotFound;
  }
  const ClassSettings& settings = config_.named_settings.settings.classes[*class_id];
  const bool idempotent = settings.idempotency == Idempotency::kIdempotent;
  if (message.method != (idempotent ? "GET" : "POST")) {
    return RequestError::kMethodNotAllowed;
  }
  if (!is_well_formed(message, settings.idempotency)) {
    return RequestError::kBadRequest;
  }
  const auto tenant = find_tenant(message.headers);
  const auto timeout = client_timeout(message.headers, settings.deadline);
  if (!tenant || !timeout) {
    return RequestError::kBadRequest;
  }
  auto request = std::make_shared<ClientRequest>();
  request->class_id = *class_id;
  request->tenant = *tenant;
  request->arrived_at = runtime::now();
  request->client_timeout = *timeout;
  const Duration upload_time = upload ? kEstimatedUploadTime : Duration{0};
  request->deadline = std::min(request->arrived_at + *timeout + upload_time, latest_deadline);
  const std::string& trace_id = *message.headers.find("X-Trace-Id");
  auto reserved =
      trace_ids_.reserve(trace_id, request->arrived_at, request->deadline + kTraceIdRetention);
  if (const auto* error = std::get_if<TraceIdError>(&reserved)) {
    return *error == TraceIdError::kReserved ? RequestError::kConflict
                                             : RequestError::kServiceUnavailable;
  }
  request->trace_id = std::get<TraceIdReservation>(std::move(reserved));
  request->payload = std::make_shared<const HttpPayload>(std::move(message), std::move(upload),
                                                         content_length, *timeout);
  return request;
}

}  // namespace beechhill::proxy
