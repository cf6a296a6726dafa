#include "snapshot/snapshot.h"

#include <cmath>
#include <utility>

#include "config/checksummed_json.h"

namespace beechhill::snapshot {
namespace {

constexpr int kFormat = 2;
constexpr const char* kMagic = "beechhill-snapshot";
constexpr int kDigits = 6;  // reports are no truer than that
// A snapshot fades by e in a minute: load and neighbours change over minutes, machines over days.
// Nothing under a hundredth of a report or an answer is worth telling.
constexpr Duration kFades{60'000'000};
constexpr double kLeast = 0.01;
// More than the module's own memory of either ever holds, five reports and seven answers at its
// smoothings, is no snapshot of it; nor is a pace beyond the most that it counts.
constexpr double kMostReports = 10, kMostAnswers = 10, kMostPace = 10;
constexpr double kMostUtilisation = 8, kMostRate = 1e5;  // as the module takes them from a report
constexpr std::chrono::milliseconds kOldest{300'000};    // five times that: nothing is left
constexpr std::chrono::milliseconds kClockStep{
    2'000};  // clocks are set: so much in the future is now

bool sound(double value) {
  return std::isfinite(value) && value >= 0;
}

bool read_row(const Json::Value& v, EndpointRecord& row) {
  if (!v.isObject() || !v["host"].isString() || !v["born"].isInt64() || !v["at"].isInt64()) {
    return false;
  }
  for (const char* key : {"util", "rate", "paces", "answers"}) {
    if (!v[key].isNumeric() || !sound(v[key].asDouble())) {
      return false;
    }
  }
  row.host = v["host"].asString();
  row.started_at = std::chrono::milliseconds(v["born"].asInt64());
  row.recorded_at = std::chrono::milliseconds(v["at"].asInt64());
  row.stats = {v["rate"].asDouble(), v["util"].asDouble(), v["paces"].asDouble(),
               v["answers"].asDouble()};
  return !row.host.empty();
}

}  // namespace

std::string encode(const Snapshot& s) {
  Json::Value root;
  root["name"] = s.name;
  root["fleet"] = s.settings_hash;
  root["life"] = Json::UInt64(s.incarnation);
  root["written"] = Json::Int64(s.written_at.count());
  root["rows"] = Json::Value(Json::arrayValue);
  for (const EndpointRecord& r : s.records) {
    if (root["rows"].size() >= kMaxRecords) {
      break;
    }
    Json::Value row;
    row["host"] = r.host;
    row["born"] = Json::Int64(r.started_at.count());
    row["at"] = Json::Int64(r.recorded_at.count());
    row["rate"] = r.stats.weighted_rates;
    row["util"] = r.stats.weighted_utilizations;
    row["paces"] = r.stats.weighted_latency_ratios;
    row["answers"] = r.stats.response_weight;
    root["rows"].append(std::move(row));
  }
  root["barred"] = Json::Value(Json::arrayValue);
  for (const std::string& host : s.excluded_backends) {
    root["barred"].append(host);
  }
  return config::encode_checksummed(std::move(root), kMagic, kFormat, kDigits);
}

std::optional<Snapshot> decode(std::string_view text) {
  if (text.size() > kMaxSnapshotBytes) {
    return std::nullopt;
  }
  const auto sealed = config::decode_checksummed(text, kMagic, kFormat);
  if (!sealed) {
    return std::nullopt;
  }
  const Json::Value& root = *sealed;
  if (!root["name"].isString() || !root["fleet"].isString() || !root["life"].isUInt64()) {
    return std::nullopt;
  }
  if (!root["written"].isInt64() || !root["rows"].isArray() || root["rows"].size() > kMaxRecords) {
    return std::nullopt;
  }
  Snapshot s;
  s.name = root["name"].asString();
  s.settings_hash = root["fleet"].asString();
  s.incarnation = root["life"].asUInt64();
  s.written_at = std::chrono::milliseconds(root["written"].asInt64());
  if (!root["barred"].isArray() || root["barred"].size() > kMaxRecords) {
    return std::nullopt;
  }
  for (const Json::Value& host : root["barred"]) {
    if (!host.isString()) {
      return std::nullopt;
    }
    s.excluded_backends.insert(host.asString());
  }
  for (const Json::Value& row : root["rows"]) {
    if (!read_row(row, s.records.emplace_back())) {
      return std::nullopt;
    }
  }
  return s;
}

const char* rejection_reason(const Snapshot& s, std::string_view name, std::string_view fleet,
                             std::chrono::milliseconds now) {
  if (s.name != name) {
    return "another_process";
  }
  if (s.settings_hash != fleet) {
    return "other_settings";
  }
  if (s.written_at > now + kClockStep) {
    return "from_the_future";
  }
  if (s.written_at + kOldest < now) {
    return "too_old";
  }
  return nullptr;
}

std::optional<EndpointStats> discounted(const EndpointStats& e, Duration age, bool started) {
  if (started || e.weighted_utilizations > kMostReports * kMostUtilisation ||
      e.weighted_rates > kMostReports * kMostRate) {
    return std::nullopt;
  }
  if (e.response_weight > kMostAnswers ||
      e.weighted_latency_ratios > kMostPace * e.response_weight) {
    return std::nullopt;
  }
  const double kept = std::exp(-std::chrono::duration<double>(std::max(age, Duration{0})) / kFades);
  if (kept * (e.weighted_utilizations + e.response_weight) < kLeast) {
    return std::nullopt;
  }
  return EndpointStats{kept * e.weighted_rates, kept * e.weighted_utilizations,
                       kept * e.weighted_latency_ratios, kept * e.response_weight};
}

}  // namespace beechhill::snapshot
