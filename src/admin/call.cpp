#include "admin/call.h"

#include <charconv>

namespace beechhill::admin {
namespace {

struct Row {
  std::string_view method, path;
  What what;
  bool takes_target;
};
constexpr Row kCalls[] = {
    {"GET", "/api/ready", What::kReady, false},
    {"GET", "/api/telemetry", What::kTelemetry, false},
    {"PUT", "/api/exclude", What::kExclude, true},
    {"PUT", "/api/include", What::kInclude, true},
    {"PUT", "/api/evacuate", What::kEvacuate, false},
    {"PUT", "/api/rejoin", What::kRejoin, false},
    {"GET", "/api/members", What::kMembers, false},
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
    auto value = percent_decoded(part.substr(equals + 1));
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
    found = percent_decoded(part.substr(equals + 1));
    if (!found || found->empty()) {
      return std::nullopt;
    }
  }
  return found;
}

}  // namespace

std::optional<std::string> percent_decoded(std::string_view text) {
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

Call read_call(std::string_view method, std::string_view target) {
  const auto question = target.find('?');
  const std::string_view path = target.substr(0, question);
  Call call;
  call.error = 404;
  constexpr std::string_view kWorks = "/api/maintenance";
  if (path.starts_with(kWorks) && (path.size() == kWorks.size() || path[kWorks.size()] == '/')) {
    call.what = path.size() == kWorks.size() ? What::kWorks : What::kWorksOrder;
    call.verb = call.what == What::kWorks ? "" : std::string(path.substr(kWorks.size() + 1));
    auto query = parts_of(question == std::string_view::npos ? std::string_view{}
                                                             : target.substr(question + 1));
    call.error = method != (call.what == What::kWorks ? "GET" : "PUT") ? 405 : query ? 0 : 400;
    if (query) {
      call.query = std::move(*query);
    }
    return call;
  }
  for (const Row& row : kCalls) {
    if (path != row.path) {
      continue;
    }
    call.error = method == row.method ? 0 : 405;
    call.what = row.what;
    if (call.error != 0 || !row.takes_target) {
      return call;
    }
    auto id = target_in(question == std::string_view::npos ? std::string_view{}
                                                           : target.substr(question + 1));
    call.error = id ? 0 : 400;
    if (id) {
      call.target = std::move(*id);
    }
    return call;
  }
  return call;
}

}  // namespace beechhill::admin
