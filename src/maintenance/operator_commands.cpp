#include "maintenance/operator_commands.h"

#include <charconv>
#include <set>

namespace beechhill::maintenance {
namespace {

class Query {
 public:
  Query(const std::map<std::string, std::string>& all, std::string& fault)
      : all_(all), fault_(fault) {}

  std::string text(const char* key, bool needed = false) {
    asked_.insert(key);
    const auto it = all_.find(key);
    const std::string value = it == all_.end() ? "" : it->second;
    if (needed && value.empty()) {
      fail(key, "missing");
    }
    if (value.size() > kMaxTextBytes) {
      fail(key, "too long");
    }
    return value;
  }
  std::int64_t number(const char* key, std::int64_t otherwise, std::int64_t least,
                      std::int64_t most) {
    const std::string value = text(key);
    if (value.empty()) {
      return otherwise;
    }
    std::int64_t n = 0;
    const auto [stop, error] = std::from_chars(value.data(), value.data() + value.size(), n);
    if (error != std::errc{} || stop != value.data() + value.size() || n < least || n > most) {
      fail(key, "not a number in its bounds");
    }
    return n;
  }
  void fail(const std::string& key, const char* what) {
    if (fault_.empty()) {
      fault_ = key + ": " + what;
    }
  }
  bool good() {
    for (const auto& [key, value] : all_) {
      if (!asked_.contains(key)) {
        fail(key, "unknown");
      }
    }
    return fault_.empty();
  }

 private:
  const std::map<std::string, std::string>& all_;
  std::string& fault_;
  std::set<std::string> asked_;
};

}  // namespace

std::optional<Command> parse_operator_command(const std::string& verb,
                                              const std::map<std::string, std::string>& query,
                                              std::string& fault) {
  static const std::map<std::string, CommandType> kVerbs{
      {"request", CommandType::kSubmitRequest}, {"approve", CommandType::kApproveRequest},
      {"hold", CommandType::kHoldRequest},      {"resume", CommandType::kResumeRequest},
      {"cancel", CommandType::kCancelRequest},  {"done", CommandType::kCompleteWork},
      {"forget", CommandType::kForgetProxy}};
  const auto it = kVerbs.find(verb);
  if (it == kVerbs.end()) {
    return fault = "unknown call", std::nullopt;
  }
  constexpr Seconds kFar = 100'000'000'000;
  Query q(query, fault);
  Command c;
  c.type = it->second;
  c.issued_by = q.text("by");
  if (c.type == CommandType::kForgetProxy) {
    c.proxy = q.text("proxy", true);
    return q.good() ? std::optional(c) : std::nullopt;
  }
  c.id = q.text("id", true);
  if (c.type == CommandType::kCompleteWork) {
    c.machine = q.text("machine", true);
  }
  if (c.type == CommandType::kSubmitRequest) {
    Request r;
    r.id = c.id, r.requested_by = c.issued_by, r.reason = q.text("why");
    const std::string role = q.text("role");
    if (!role.empty() && role != "backend" && role != "proxy") {
      q.fail("role", "backend or proxy");
    }
    r.select.role = role == "proxy" ? Role::kProxy : Role::kBackend;
    r.select.zone = q.text("zone"), r.select.cell = q.text("cell"), r.select.kind = q.text("kind");
    // Of many ids the list may be long, though none of them is.
    const auto ids = query.find("machines");
    std::string_view left = ids == query.end() ? std::string_view{} : std::string_view(ids->second);
    while (!left.empty()) {
      const std::string_view one = left.substr(0, left.find(','));
      left.remove_prefix(std::min(left.size(), one.size() + 1));
      if (one.empty() || one.size() > kMaxTextBytes) {
        q.fail("machines", "not ids with commas between");
      }
      r.select.ids.emplace(one);
    }
    auto others = query;
    others.erase("machines");
    r.max_concurrent = static_cast<std::uint32_t>(q.number("at_once", 1, 1, 10'000));
    r.work_duration = q.number("length", 0, 0, kFar),
    r.not_before = q.number("not_before", 0, 0, kFar),
    r.not_after = q.number("not_after", 0, 0, kFar);
    r.priority = static_cast<std::int32_t>(q.number("priority", 0, -1'000, 1'000));
    if (r.select.ids.empty() && r.select.zone.empty() && r.select.cell.empty() &&
        r.select.kind.empty()) {
      q.fail("machines", "missing, and no zone, cell or kind either");
    }
    c.request = std::move(r);
    Query rest(others, fault);  // all keys but the long one are known
    for (const char* key : {"id", "by", "why", "role", "zone", "cell", "kind", "at_once", "length",
                            "not_before", "not_after", "priority"}) {
      rest.text(key);
    }
    return rest.good() ? std::optional(c) : std::nullopt;
  }
  return q.good() ? std::optional(c) : std::nullopt;
}

}  // namespace beechhill::maintenance
