#include "emulator/metrics.h"

#include <algorithm>
#include <cmath>

namespace beechhill::emulator {
namespace {

namespace bh = boost::histogram;
constexpr unsigned kBins = 1600;
constexpr double kMinLatencyS = 1e-5;
constexpr double kMaxLatencyS = 1e3;
constexpr std::chrono::milliseconds kBucketLength{100};
constexpr std::size_t kBucketsPerSecond = 10;
// Full service must last for this many buckets after its first one.
constexpr std::size_t kFullServiceBuckets = 50;
// Minimum served priority weight that counts as full service, relative to the control run.
constexpr double kFullServiceShare = 0.98;

Json::Value number(std::uint64_t n) {
  return Json::Value(static_cast<Json::UInt64>(n));
}

double ratio(std::uint64_t part, std::uint64_t whole) {
  return whole > 0 ? static_cast<double>(part) / static_cast<double>(whole) : 0;
}

void add_quantiles(Json::Value& json, const LatencyHistogram& latency) {
  json["p50_s"] = latency.quantile(0.5);
  json["p99_s"] = latency.quantile(0.99);
  json["p999_s"] = latency.quantile(0.999);
}

std::size_t bucket_index(Time t) {
  return static_cast<std::size_t>(std::max(Time{0}, t) / kBucketLength);
}

}  // namespace

LatencyHistogram::LatencyHistogram()
    : bins_(bh::make_histogram_with(std::vector<std::uint64_t>(),
                                    Axis(kBins, kMinLatencyS, kMaxLatencyS))) {
}

void LatencyHistogram::add(Duration latency) {
  // A value inside the last bin, because the axis excludes its upper edge.
  constexpr double kInsideLastBin = kMaxLatencyS * 0.999;
  ++count_;
  bins_(std::clamp(to_s(latency), kMinLatencyS, kInsideLastBin));
}

double LatencyHistogram::quantile(double q) const {
  if (count_ == 0) {
    return 0;
  }
  const double rank = q * static_cast<double>(count_);
  double seen = 0;
  for (int i = 0; i < static_cast<int>(kBins); ++i) {
    seen += static_cast<double>(bins_.at(i));
    if (seen >= rank && bins_.at(i) > 0) {
      return std::sqrt(bins_.axis().bin(i).lower() * bins_.axis().bin(i).upper());
    }
  }
  return kMaxLatencyS;
}

Json::Value LatencyHistogram::cdf() const {
  Json::Value points(Json::arrayValue);
  std::uint64_t seen = 0;
  for (int i = 0; i < static_cast<int>(kBins); ++i) {
    const std::uint64_t n = bins_.at(i);
    if (n == 0) {
      continue;
    }
    seen += n;
    Json::Value point(Json::arrayValue);
    point.append(bins_.axis().bin(i).upper());
    point.append(static_cast<double>(seen) / static_cast<double>(count_));
    points.append(point);
  }
  return points;
}

Json::Value Count::to_json() const {
  Json::Value json;
  json["asked"] = number(asked);
  json["in_aim"] = number(in_aim);
  json["late"] = number(late);
  json["refused"] = number(refused);
  json["failed"] = number(failed);
  json["unanswered"] = number(unanswered);
  json["goodput"] = worth_asked > 0 ? worth_served / worth_asked : 1;
  json["worth"] = worth_asked;
  return json;
}

Metrics::Metrics(const Scenario& scenario)
    : by_class(scenario.classes.size()),
      by_tenant(scenario.tenants.size()),
      latency(scenario.classes.size()),
      scenario_(&scenario),
      buckets_(static_cast<std::size_t>(scenario.length / kBucketLength) + 1) {
}

bool Metrics::counted(Time arrived_at) const {
  return arrived_at >= scenario_->warm_up && arrived_at < scenario_->length;
}

Second* Metrics::second_of(Time t) {
  const auto i = static_cast<std::size_t>(t / std::chrono::seconds(1));
  return t >= Time{0} && i < seconds.size() ? &seconds[i] : nullptr;
}

Metrics::Bucket* Metrics::bucket_of(Time t) {
  const auto i = static_cast<std::size_t>(t / kBucketLength);
  return t >= Time{0} && i < buckets_.size() ? &buckets_[i] : nullptr;
}

template <typename Update>
void Metrics::update_counts(ClassId class_id, TenantId tenant, const Update& update) {
  update(all);
  update(by_class[class_id]);
  if (tenant < by_tenant.size()) {
    update(by_tenant[tenant]);
  }
}

void Metrics::asked(Time arrived_at, ClassId class_id, TenantId tenant, double worth) {
  if (Second* second = second_of(arrived_at)) {
    second->asked += 1;
    second->worth_asked += worth;
  }
  if (Bucket* bucket = bucket_of(arrived_at)) {
    bucket->worth_asked += worth;
  }
  if (counted(arrived_at)) {
    update_counts(class_id, tenant, [worth](Count& count) {
      count.asked += 1;
      count.worth_asked += worth;
    });
  }
}

void Metrics::ended(Time arrived_at, Duration took, ClassId class_id, TenantId tenant, double worth,
                    bool served, bool refused) {
  const ClassSettings& settings = scenario_->classes[class_id].settings;
  const bool in_time = served && took <= settings.latency_objective;
  double worth_served = 0;
  if (served) {
    worth_served = in_time ? worth : worth * settings.late_priority_factor;
  }
  if (Second* second = second_of(arrived_at)) {
    second->worth_served += worth_served;
    second->in_aim += in_time;
  }
  if (Bucket* bucket = bucket_of(arrived_at)) {
    bucket->worth_served += worth_served;
  }
  if (!counted(arrived_at)) {
    return;
  }
  if (served) {
    latency[class_id].add(took);
    latency_all.add(took);
  }
  update_counts(class_id, tenant, [&](Count& count) {
    count.worth_served += worth_served;
    count.in_aim += in_time;
    count.late += served && !in_time;
    count.refused += !served && refused;
    count.failed += !served && !refused;
  });
}

void Metrics::close() {
  const auto count_unanswered = [](Count& count) {
    count.unanswered = count.asked - count.in_aim - count.late - count.refused - count.failed;
  };
  count_unanswered(all);
  std::for_each(by_class.begin(), by_class.end(), count_unanswered);
  std::for_each(by_tenant.begin(), by_tenant.end(), count_unanswered);
}

double Metrics::goodput_between(Duration from, Duration until) const {
  double worth_asked = 0;
  double worth_served = 0;
  const auto last =
      std::min(seconds.size(), static_cast<std::size_t>(until / std::chrono::seconds(1)));
  for (auto i = static_cast<std::size_t>(from / std::chrono::seconds(1)); i < last; ++i) {
    worth_asked += seconds[i].worth_asked;
    worth_served += seconds[i].worth_served;
  }
  return worth_asked > 0 ? worth_served / worth_asked : 1;
}

double Metrics::recovery_s(Duration from, Duration until, double goal) const {
  constexpr std::chrono::seconds kOneSecond{1};
  const auto is_good = [&](std::chrono::seconds at) {
    return goodput_between(at, at + kOneSecond) >= goal;
  };
  const auto first = std::chrono::ceil<std::chrono::seconds>(from);
  // Three good seconds in a row are required, because a single one can occur by chance.
  for (auto at = first; at + 3 * kOneSecond <= until; at += kOneSecond) {
    if (is_good(at) && is_good(at + kOneSecond) && is_good(at + 2 * kOneSecond)) {
      return static_cast<double>((at - first).count());
    }
  }
  return -1;
}

// Returns whether the second that begins with `first_bucket` has full service, compared with the
// control run.
bool Metrics::matches_control(const Metrics& control, std::size_t first_bucket) const {
  double served = 0;
  double expected = 0;
  for (std::size_t i = first_bucket; i < first_bucket + kBucketsPerSecond; ++i) {
    served += buckets_[i].worth_served;
    expected += control.buckets_[i].worth_served;
  }
  return served >= kFullServiceShare * expected;
}

RecoveryCost Metrics::measure_recovery(const Metrics& control, Time begun, Time back) const {
  RecoveryCost result;
  const std::size_t count = std::min(buckets_.size(), control.buckets_.size());
  double worth_asked = 0;
  for (std::size_t i = bucket_index(begun); i < count; ++i) {
    worth_asked += buckets_[i].worth_asked;
    result.worth_lost += control.buckets_[i].worth_served - buckets_[i].worth_served;
  }
  if (worth_asked > 0) {
    const std::size_t since_fault = count - std::min(count, bucket_index(begun));
    result.worth_lost *= static_cast<double>(since_fault) / kBucketsPerSecond / worth_asked;
  }
  std::size_t full_in_a_row = 0;
  for (std::size_t i = bucket_index(back); i + kBucketsPerSecond <= count; ++i) {
    full_in_a_row = matches_control(control, i) ? full_in_a_row + 1 : 0;
    if (full_in_a_row > kFullServiceBuckets) {
      const Time full_since = kBucketLength * (i - kFullServiceBuckets);
      result.full_after = std::max(Duration{0}, full_since - back);
      break;
    }
  }
  return result;
}

void Metrics::add_ratios(Json::Value& json) const {
  json["tries_per_request"] = ratio(tries, all.asked);
  json["attempts_per_request"] = ratio(attempts, all.asked);
  json["crossings_per_request"] = ratio(crossings, all.asked);
  json["waste"] = work_done > 0 ? std::max(0.0, 1 - work_useful / work_done) : 0;
}

Json::Value Metrics::to_json(bool series) const {
  Json::Value json;
  json["goodput"] = goodput();
  json["all"] = all.to_json();
  add_quantiles(json, latency_all);
  for (std::size_t i = 0; i < by_class.size(); ++i) {
    Json::Value& of_class = json["classes"][scenario_->classes[i].name];
    of_class = by_class[i].to_json();
    add_quantiles(of_class, latency[i]);
  }
  for (std::size_t i = 0; i < by_tenant.size(); ++i) {
    json["tenants"][scenario_->tenants[i].name] = by_tenant[i].to_json();
  }
  json["tries"] = number(tries);
  json["attempts"] = number(attempts);
  json["connections"] = number(connections);
  json["connected_pairs"] = number(pairs);
  json["probes"] = number(probes);
  json["unreachable"] = number(unreachable);
  json["tipped"] = number(tipped);
  json["work_done_s"] = work_done;
  add_ratios(json);
  json["events"] = number(events);
  json["decisions"] = number(decisions);
  for (const Json::Value& tier : tiers) {
    json["tiers"].append(tier);
  }
  if (series) {
    json["seconds"] = series_json();
    json["latency_cdf"] = latency_all.cdf();
  }
  return json;
}

Json::Value Metrics::series_json() const {
  Json::Value rows;
  for (const Second& second : seconds) {
    Json::Value row;
    row["asked"] = number(second.asked);
    row["in_aim"] = number(second.in_aim);
    row["refused"] = number(second.refused);
    row["failed"] = number(second.failed);
    row["tries"] = number(second.tries);
    row["attempts"] = number(second.attempts);
    row["goodput"] = second.worth_asked > 0 ? second.worth_served / second.worth_asked : 1;
    row["busy"] = second.busy;
    row["waiting"] = number(second.waiting);
    row["load_max_over_mean"] = second.load_max_over_mean;
    rows.append(row);
  }
  return rows;
}

}  // namespace beechhill::emulator
