#include "snapshot/snapshot.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "config/checksummed_json.h"

namespace beechhill::snapshot {
namespace {

constexpr int kFormat = 2;
constexpr const char* kMagic = "beechhill-snapshot";
// Number of significant digits of stored statistics; load reports are no more precise.
constexpr int kSignificantDigits = 6;

// Time constant of the exponential decay of statistics. It is of the order of minutes because the
// load of a backend and of its neighbours changes within minutes. Its hardware changes only within
// days.
constexpr Duration kDecayTime{60'000'000};
// Minimum weight of a report or response that is used; a lower weight has no influence on
// decisions.
constexpr double kMinWeight = 0.01;

// Plausibility limits. The balancer's smoothing never holds a weight above five reports or seven
// responses, and clamps latency ratios to kMaxLatencyRatio, so values above these limits indicate
// damage.
constexpr double kMaxReportWeight = 10;
constexpr double kMaxResponseWeight = 10;
constexpr double kMaxLatencyRatio = 10;
// The maximum values that the balancer accepts from a load report: utilization as a fraction of the
// processors, and requests per second.
constexpr double kMaxUtilization = 8;
constexpr double kMaxRate = 1e5;

// Maximum age of a usable snapshot. It is five times kDecayTime, after which less than a hundredth
// of the weight of the records remains.
constexpr std::chrono::milliseconds kMaxAge{300'000};
// Maximum time by which a snapshot's time of writing may lie in the future, because clocks are
// corrected.
constexpr std::chrono::milliseconds kClockTolerance{2'000};

// Keys of the stored format.
constexpr const char* kNameKey = "name";
constexpr const char* kSettingsKey = "fleet";
constexpr const char* kIncarnationKey = "life";
constexpr const char* kWrittenAtKey = "written";
constexpr const char* kRecordsKey = "rows";
constexpr const char* kExcludedBackendsKey = "barred";
constexpr const char* kHostKey = "host";
constexpr const char* kStartedAtKey = "born";
constexpr const char* kRecordedAtKey = "at";
constexpr const char* kRatesKey = "rate";
constexpr const char* kUtilizationsKey = "util";
constexpr const char* kLatencyRatiosKey = "paces";
constexpr const char* kResponseWeightKey = "answers";

Json::Value encode_record(const EndpointRecord& record) {
  Json::Value value;
  value[kHostKey] = record.host;
  value[kStartedAtKey] = Json::Int64(record.started_at.count());
  value[kRecordedAtKey] = Json::Int64(record.recorded_at.count());
  value[kRatesKey] = record.stats.weighted_rates;
  value[kUtilizationsKey] = record.stats.weighted_utilizations;
  value[kLatencyRatiosKey] = record.stats.weighted_latency_ratios;
  value[kResponseWeightKey] = record.stats.response_weight;
  return value;
}

bool is_non_negative_number(const Json::Value& value) {
  return value.isNumeric() && std::isfinite(value.asDouble()) && value.asDouble() >= 0;
}

std::optional<EndpointRecord> decode_record(const Json::Value& value) {
  if (!value.isObject() || !value[kHostKey].isString() || !value[kStartedAtKey].isInt64() ||
      !value[kRecordedAtKey].isInt64()) {
    return std::nullopt;
  }
  for (const char* key : {kUtilizationsKey, kRatesKey, kLatencyRatiosKey, kResponseWeightKey}) {
    if (!is_non_negative_number(value[key])) {
      return std::nullopt;
    }
  }
  EndpointRecord record;
  record.host = value[kHostKey].asString();
  if (record.host.empty()) {
    return std::nullopt;
  }
  record.started_at = std::chrono::milliseconds(value[kStartedAtKey].asInt64());
  record.recorded_at = std::chrono::milliseconds(value[kRecordedAtKey].asInt64());
  record.stats.weighted_rates = value[kRatesKey].asDouble();
  record.stats.weighted_utilizations = value[kUtilizationsKey].asDouble();
  record.stats.weighted_latency_ratios = value[kLatencyRatiosKey].asDouble();
  record.stats.response_weight = value[kResponseWeightKey].asDouble();
  return record;
}

bool is_bounded_array(const Json::Value& value) {
  return value.isArray() && value.size() <= kMaxRecords;
}

bool has_all_fields(const Json::Value& root) {
  return root[kNameKey].isString() && root[kSettingsKey].isString() &&
         root[kIncarnationKey].isUInt64() && root[kWrittenAtKey].isInt64() &&
         is_bounded_array(root[kRecordsKey]) && is_bounded_array(root[kExcludedBackendsKey]);
}

bool exceeds_balancer_limits(const EndpointStats& stats) {
  return stats.weighted_utilizations > kMaxReportWeight * kMaxUtilization ||
         stats.weighted_rates > kMaxReportWeight * kMaxRate ||
         stats.response_weight > kMaxResponseWeight ||
         stats.weighted_latency_ratios > kMaxLatencyRatio * stats.response_weight;
}

}  // namespace

std::string encode(const Snapshot& snapshot) {
  Json::Value root;
  root[kNameKey] = snapshot.name;
  root[kSettingsKey] = snapshot.settings_fingerprint;
  root[kIncarnationKey] = Json::UInt64(snapshot.incarnation);
  root[kWrittenAtKey] = Json::Int64(snapshot.written_at.count());
  Json::Value& records = root[kRecordsKey] = Json::Value(Json::arrayValue);
  for (const EndpointRecord& record : snapshot.records) {
    if (records.size() >= kMaxRecords) {
      break;
    }
    records.append(encode_record(record));
  }
  Json::Value& excluded_backends = root[kExcludedBackendsKey] = Json::Value(Json::arrayValue);
  for (const std::string& host : snapshot.excluded_backends) {
    excluded_backends.append(host);
  }
  return config::encode_checksummed(std::move(root), kMagic, kFormat, kSignificantDigits);
}

std::optional<Snapshot> decode(std::string_view text) {
  if (text.size() > kMaxSnapshotBytes) {
    return std::nullopt;
  }
  const std::optional<Json::Value> decoded = config::decode_checksummed(text, kMagic, kFormat);
  if (!decoded || !has_all_fields(*decoded)) {
    return std::nullopt;
  }
  const Json::Value& root = *decoded;
  Snapshot snapshot;
  snapshot.name = root[kNameKey].asString();
  snapshot.settings_fingerprint = root[kSettingsKey].asString();
  snapshot.incarnation = root[kIncarnationKey].asUInt64();
  snapshot.written_at = std::chrono::milliseconds(root[kWrittenAtKey].asInt64());
  for (const Json::Value& host : root[kExcludedBackendsKey]) {
    if (!host.isString()) {
      return std::nullopt;
    }
    snapshot.excluded_backends.insert(host.asString());
  }
  for (const Json::Value& value : root[kRecordsKey]) {
    std::optional<EndpointRecord> record = decode_record(value);
    if (!record) {
      return std::nullopt;
    }
    snapshot.records.push_back(std::move(*record));
  }
  return snapshot;
}

const char* name(RejectionReason reason) {
  switch (reason) {
    case RejectionReason::kDamaged:
      return "not_whole";
    case RejectionReason::kOtherProcess:
      return "another_process";
    case RejectionReason::kOtherSettings:
      return "other_settings";
    case RejectionReason::kFromTheFuture:
      return "from_the_future";
    case RejectionReason::kTooOld:
      return "too_old";
  }
  return "unknown";
}

std::optional<RejectionReason> rejection_reason(const Snapshot& snapshot,
                                                std::string_view process_name,
                                                std::string_view settings_fingerprint,
                                                std::chrono::milliseconds now) {
  if (snapshot.name != process_name) {
    return RejectionReason::kOtherProcess;
  }
  if (snapshot.settings_fingerprint != settings_fingerprint) {
    return RejectionReason::kOtherSettings;
  }
  if (snapshot.written_at > now + kClockTolerance) {
    return RejectionReason::kFromTheFuture;
  }
  if (snapshot.written_at + kMaxAge < now) {
    return RejectionReason::kTooOld;
  }
  return std::nullopt;
}

std::optional<EndpointStats> discounted(const EndpointStats& stats, Duration age, bool restarted) {
  if (restarted || exceeds_balancer_limits(stats)) {
    return std::nullopt;
  }
  const std::chrono::duration<double> elapsed = std::max(age, Duration{0});
  const double decay = std::exp(-elapsed / kDecayTime);
  if (decay * (stats.weighted_utilizations + stats.response_weight) < kMinWeight) {
    return std::nullopt;
  }
  EndpointStats result;
  result.weighted_rates = decay * stats.weighted_rates;
  result.weighted_utilizations = decay * stats.weighted_utilizations;
  result.weighted_latency_ratios = decay * stats.weighted_latency_ratios;
  result.response_weight = decay * stats.response_weight;
  return result;
}

}  // namespace beechhill::snapshot
