#include "snapshot/state.h"

#include <cmath>
#include <utility>

#include "config/sealed.h"

namespace beechhill::snapshot {
namespace {

constexpr int kFormat = 1;
constexpr const char* kMagic = "beechhill-snapshot";
constexpr int kDigits = 6;  // reports are no truer than that
constexpr double kSmoothing = 0.2;  // as the module smooths reports
// Of a backend's weight the module keeps about five reports' worth; a snapshot is believed as far as that, and fades by e in
// a minute: load and neighbours change over minutes, machines over days. 2 to 5 reports were seen to be alike.
constexpr double kReports = 5;
constexpr Duration kFades{60'000'000};
constexpr std::chrono::milliseconds kOldest{300'000};  // five times that: nothing is left
constexpr std::chrono::milliseconds kClockStep{2'000};  // clocks are set: so much in the future is now

bool sound(double value) { return std::isfinite(value) && value >= 0; }

bool read_row(const Json::Value& v, Row& row) {
  if (!v.isObject() || !v["host"].isString() || !v["born"].isInt64() || !v["at"].isInt64()) return false;
  if (!v["util"].isNumeric() || !v["rate"].isNumeric()) return false;
  row.host = v["host"].asString();
  row.born = std::chrono::milliseconds(v["born"].asInt64());
  row.at = std::chrono::milliseconds(v["at"].asInt64());
  row.utilisation = v["util"].asDouble(), row.rate_per_s = v["rate"].asDouble();
  return !row.host.empty() && sound(row.utilisation) && sound(row.rate_per_s);
}

}  // namespace

void Note::add(Time now, const LoadReport& report) {
  if (!report.utilisation || !report.rate_per_s || !sound(*report.utilisation) || !sound(*report.rate_per_s)) return;
  const double part = at ? kSmoothing : 1;
  utilisation += part * (*report.utilisation - utilisation);
  rate_per_s += part * (*report.rate_per_s - rate_per_s);
  at = now;
}

std::string encode(const Snapshot& s) {
  Json::Value root;
  root["name"] = s.name;
  root["fleet"] = s.fleet;
  root["life"] = Json::UInt64(s.life);
  root["written"] = Json::Int64(s.written.count());
  root["rows"] = Json::Value(Json::arrayValue);
  for (const Row& r : s.rows) {
    if (root["rows"].size() >= kMostRows) break;
    Json::Value row;
    row["host"] = r.host;
    row["born"] = Json::Int64(r.born.count());
    row["at"] = Json::Int64(r.at.count());
    row["util"] = r.utilisation;
    row["rate"] = r.rate_per_s;
    root["rows"].append(std::move(row));
  }
  return config::seal(std::move(root), kMagic, kFormat, kDigits);
}

std::optional<Snapshot> decode(std::string_view text) {
  if (text.size() > kMostBytes) return std::nullopt;
  const auto sealed = config::unseal(text, kMagic, kFormat);
  if (!sealed) return std::nullopt;
  const Json::Value& root = *sealed;
  if (!root["name"].isString() || !root["fleet"].isString() || !root["life"].isUInt64()) return std::nullopt;
  if (!root["written"].isInt64() || !root["rows"].isArray() || root["rows"].size() > kMostRows) return std::nullopt;
  Snapshot s;
  s.name = root["name"].asString();
  s.fleet = root["fleet"].asString();
  s.life = root["life"].asUInt64();
  s.written = std::chrono::milliseconds(root["written"].asInt64());
  for (const Json::Value& row : root["rows"])
    if (!read_row(row, s.rows.emplace_back())) return std::nullopt;
  return s;
}

const char* refusal(const Snapshot& s, std::string_view name, std::string_view fleet, std::chrono::milliseconds now) {
  if (s.name != name) return "another_process";
  if (s.fleet != fleet) return "other_settings";
  if (s.written > now + kClockStep) return "from_the_future";
  if (s.written + kOldest < now) return "too_old";
  return nullptr;
}

std::uint32_t reports_for(Duration age, bool started) {
  if (started) return 0;
  const double fading = static_cast<double>(std::max(age, Duration{0}).count()) / static_cast<double>(kFades.count());
  return static_cast<std::uint32_t>(kReports * std::exp(-fading) + 0.5);
}

}  // namespace beechhill::snapshot
