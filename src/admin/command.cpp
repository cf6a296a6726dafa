#include "admin/command.h"

#include <charconv>

namespace beechhill::admin {
namespace {

struct Row {
  std::string_view method, path;
  CommandType what;
  bool takes_target;
};
constexpr Row kCalls[] = {
    {"GET", "/api/ready", CommandType::kReady, false},
    {"GET", "/api/telemetry", CommandType::kTelemetry, false},
    {"PUT", "/api/exclude", CommandType::kExclude, true},
    {"PUT", "/api/include", CommandType::kInclude, true},
    {"PUT", "/api/evacuate", CommandType::kDrain, false},
    {"PUT", "/api/rejoin", CommandType::kResume, false},
    {"GET", "/api/members", CommandType::kMembers, false},
};

// Nothing where a part has no name, comes twice or is wrongly encoded.
std::optional<std::map<std::string, std::string>> parts_of(std::string_view query) {
  std::map<std::string, std::string> all;
  while (!query.empty()) {
    const std::string_view part = query.substr(0, query.find('&'));
    query.remove_prefix(std::min(query.size(), part.size() + 1));
    const auto equals = part.find('=');
    if (equals == std::string_view::npos || equals == 0) {
      return std::nullopt;
    }
    auto value = percent_decode(part.substr(equals + 1));
    if (!value || !all.emplace(std::string(part.substr(0, equals)), std::move(*value)).second) {
      return std::nullopt;
    }
  }
  return all;
}

// The one `target` of a query. Nothing where it is missing, empty, repeated or wrongly encoded.
std::optional<std::string> target_in(std::string_view query) {
  std::optional<std::string> found;
  while (!query.empty()) {
    const std::string_view part = query.substr(0, query.find('&'));
    query.remove_prefix(std::min(query.size(), part.size() + 1));
    const auto equals = part.find('=');
    if (part.substr(0, equals) != "target") {
      continue;
    }
    if (found || equals == std::string_view::npos) {
      return std::nullopt;
    }
    found = percent_decode(part.substr(equals + 1));
    if (!found || found->empty()) {
      return std::nullopt;
    }
  }
  return found;
}

}  // namespace

std::optional<std::string> percent_decode(std::string_view text) {
  std::string out;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] != '%') {
      out += text[i];
      continue;
    }
    unsigned char byte = 0;
    if (text.size() - i < 3) {
      return std::nullopt;
    }
    const char* const digits = text.data() + i + 1;
    const auto [stop, error] = std::from_chars(digits, digits + 2, byte, 16);
    if (error != std::errc{} || stop != digits + 2) {
      return std::nullopt;
    }
    out += static_cast<char>(byte);
    i += 2;
  }
  return out;
}

Command parse_command(std::string_view method, std::string_view target) {
  const auto question = target.find('?');
  const std::string_view path = target.substr(0, question);
  Command call;
  call.error_status = 404;
  constexpr std::string_view kWorks = "/api/maintenance";
  if (path.starts_with(kWorks) && (path.size() == kWorks.size() || path[kWorks.size()] == '/')) {
    call.type = path.size() == kWorks.size() ? CommandType::kMaintenanceStatus
                                             : CommandType::kMaintenanceCommand;
    call.action = call.type == CommandType::kMaintenanceStatus
                      ? ""
                      : std::string(path.substr(kWorks.size() + 1));
    auto query = parts_of(question == std::string_view::npos ? std::string_view{}
                                                             : target.substr(question + 1));
    call.error_status = method != (call.type == CommandType::kMaintenanceStatus ? "GET" : "PUT")
                            ? 405
                        : query ? 0
                                : 400;
    if (query) {
      call.query = std::move(*query);
    }
    return call;
  }
  for (const Row& row : kCalls) {
    if (path != row.path) {
      continue;
    }
    call.error_status = method == row.method ? 0 : 405;
    call.type = row.what;
    if (call.error_status != 0 || !row.takes_target) {
      return call;
    }
    auto id = target_in(question == std::string_view::npos ? std::string_view{}
                                                           : target.substr(question + 1));
    call.error_status = id ? 0 : 400;
    if (id) {
      call.target = std::move(*id);
    }
    return call;
  }
  return call;
}

}  // namespace beechhill::admin
