#include "maintenance/operator_commands.h"

#include <algorithm>
#include <charconv>
#include <set>
#include <string_view>
#include <utility>

namespace beechhill::maintenance {
namespace {

// Maximum of times and durations, in seconds; as a Unix time it lies in the year 5138.
constexpr Seconds kMaxSeconds = 100'000'000'000;
constexpr std::int64_t kMaxConcurrent = 10'000;
constexpr std::int64_t kMaxPriority = 1'000;

/// Reads parameters by key, keeps the first error, and detects parameters that are never read.
class QueryReader {
 public:
  QueryReader(const std::map<std::string, std::string>& query, std::string& error)
      : query_(query), error_(error) {}

  std::string text(const char* key) {
    std::string value = unbounded_text(key);
    if (value.size() > kMaxTextBytes) {
      fail(key, "longer than " + std::to_string(kMaxTextBytes) + " bytes");
    }
    return value;
  }

  std::string required_text(const char* key) {
    std::string value = text(key);
    if (value.empty()) {
      fail(key, "missing");
    }
    return value;
  }

  std::string unbounded_text(const char* key) {
    known_keys_.insert(key);
    const auto found = query_.find(key);
    return found == query_.end() ? std::string() : found->second;
  }

  std::int64_t number(const char* key, std::int64_t default_value, std::int64_t min,
                      std::int64_t max) {
    const std::string value = text(key);
    if (value.empty()) {
      return default_value;
    }
    std::int64_t parsed = 0;
    const char* const end = value.data() + value.size();
    const auto [stop, status] = std::from_chars(value.data(), end, parsed);
    if (status != std::errc{} || stop != end || parsed < min || parsed > max) {
      fail(key, "not an integer from " + std::to_string(min) + " to " + std::to_string(max));
    }
    return parsed;
  }

  void fail(const std::string& key, const std::string& problem) {
    if (error_.empty()) {
      error_ = key + ": " + problem;
    }
  }

  /// Fails if the query has a parameter that was not read. Returns whether there was no error.
  bool all_read() {
    for (const auto& [key, value] : query_) {
      if (!known_keys_.contains(key)) {
        fail(key, "unknown parameter");
      }
    }
    return error_.empty();
  }

 private:
  const std::map<std::string, std::string>& query_;
  std::string& error_;
  std::set<std::string> known_keys_;
};

std::optional<CommandType> command_type(const std::string& verb) {
  static const std::map<std::string, CommandType> kTypes{
      {"request", CommandType::kSubmitRequest}, {"approve", CommandType::kApproveRequest},
      {"hold", CommandType::kHoldRequest},      {"resume", CommandType::kResumeRequest},
      {"cancel", CommandType::kCancelRequest},  {"done", CommandType::kCompleteWork},
      {"forget", CommandType::kForgetProxy}};
  const auto found = kTypes.find(verb);
  return found == kTypes.end() ? std::nullopt : std::optional(found->second);
}

Role read_role(QueryReader& reader) {
  const std::string role = reader.text("role");
  if (!role.empty() && role != "backend" && role != "proxy") {
    reader.fail("role", "neither backend nor proxy");
  }
  return role == "proxy" ? Role::kProxy : Role::kBackend;
}

// The size limit kMaxTextBytes applies to each id, not to the whole list.
std::set<std::string> read_machines(QueryReader& reader) {
  const std::string list = reader.unbounded_text("machines");
  std::string_view left = list;
  std::set<std::string> ids;
  while (!left.empty()) {
    const std::string_view id = left.substr(0, left.find(','));
    left.remove_prefix(std::min(left.size(), id.size() + 1));
    if (id.empty() || id.size() > kMaxTextBytes) {
      reader.fail("machines", "not a list of machine ids of 1 to " + std::to_string(kMaxTextBytes) +
                                  " bytes, separated by commas");
    }
    ids.emplace(id);
  }
  return ids;
}

Request read_request(QueryReader& reader, const Command& command) {
  Request request;
  request.id = command.id;
  request.requested_by = command.issued_by;
  request.reason = reader.text("why");
  request.selector.role = read_role(reader);
  request.selector.zone = reader.text("zone");
  request.selector.cell = reader.text("cell");
  request.selector.instance_type = reader.text("kind");
  request.selector.ids = read_machines(reader);
  request.max_concurrent =
      static_cast<std::uint32_t>(reader.number("at_once", 1, 1, kMaxConcurrent));
  request.work_duration = reader.number("length", 0, 0, kMaxSeconds);
  request.not_before = reader.number("not_before", 0, 0, kMaxSeconds);
  request.not_after = reader.number("not_after", 0, 0, kMaxSeconds);
  request.priority =
      static_cast<std::int32_t>(reader.number("priority", 0, -kMaxPriority, kMaxPriority));
  if (request.selector.ids.empty() && request.selector.zone.empty() &&
      request.selector.cell.empty() && request.selector.instance_type.empty()) {
    reader.fail("machines", "missing; at least one of machines, zone, cell and kind is required");
  }
  return request;
}

}  // namespace

std::optional<Command> parse_operator_command(const std::string& verb,
                                              const std::map<std::string, std::string>& query,
                                              std::string& error) {
  const auto type = command_type(verb);
  if (!type) {
    error = "unknown command \"" + verb +
            "\"; request, approve, hold, resume, cancel, done and forget are accepted";
    return std::nullopt;
  }
  QueryReader reader(query, error);
  Command command;
  command.type = *type;
  command.issued_by = reader.text("by");
  if (command.type == CommandType::kForgetProxy) {
    command.proxy = reader.required_text("proxy");
  } else {
    command.id = reader.required_text("id");
  }
  if (command.type == CommandType::kCompleteWork) {
    command.machine = reader.required_text("machine");
  }
  if (command.type == CommandType::kSubmitRequest) {
    command.request = read_request(reader, command);
  }
  return reader.all_read() ? std::optional(std::move(command)) : std::nullopt;
}

}  // namespace beechhill::maintenance
