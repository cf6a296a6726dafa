#include "emulator/metrics.h"

#include <algorithm>
#include <cmath>

namespace beechhill::emulator {
namespace {

namespace bh = boost::histogram;
constexpr unsigned kBins = 1600;
constexpr std::chrono::milliseconds kTenth{100};
constexpr std::size_t kWindow = 10,
                      kHolds = 50;  // tenths: a second's goodput, and how long it has to hold
constexpr double kNearFull = 0.98;

Json::Value number(std::uint64_t n) {
  return Json::Value(static_cast<Json::UInt64>(n));
}

}  // namespace

LatencyHistogram::LatencyHistogram()
    : bins_(bh::make_histogram_with(std::vector<std::uint64_t>(), Axis(kBins, kLeast, kMost))) {
}

void LatencyHistogram::add(Duration span) {
  ++count_;
  bins_(std::clamp(to_s(span), kLeast, kMost * 0.999));
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
  return kMost;
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
  Json::Value v;
  v["asked"] = number(asked);
  v["in_aim"] = number(in_aim);
  v["late"] = number(late);
  v["refused"] = number(refused);
  v["failed"] = number(failed);
  v["unanswered"] = number(unanswered);
  v["goodput"] = worth_asked > 0 ? worth_served / worth_asked : 1;
  v["worth"] = worth_asked;
  return v;
}

Metrics::Metrics(const Scenario& s)
    : by_class(s.classes.size()),
      by_tenant(s.tenants.size()),
      latency(s.classes.size()),
      tenths(static_cast<std::size_t>(s.length / kTenth) + 1),
      s_(&s) {
}

bool Metrics::counted(Time first) const {
  return first >= s_->warm_up && first < s_->length;
}

Second* Metrics::second_of(Time t) {
  const auto i = static_cast<std::size_t>(t / std::chrono::seconds(1));
  return t >= Time{0} && i < seconds.size() ? &seconds[i] : nullptr;
}

template <typename Book>
void Metrics::each(ClassId c, TenantId tenant, const Book& book) {
  book(all);
  book(by_class[c]);
  if (tenant < by_tenant.size()) {
    book(by_tenant[tenant]);
  }
}

void Metrics::asked(Time first, ClassId c, TenantId tenant, double worth) {
  if (Second* w = second_of(first)) {
    w->asked += 1, w->worth_asked += worth;
  }
  if (Tenth* t = tenth_of(first)) {
    t->worth_asked += worth;
  }
  if (counted(first)) {
    each(c, tenant, [worth](Count& k) { k.asked += 1, k.worth_asked += worth; });
  }
}

void Metrics::ended(Time first, Duration took, ClassId c, TenantId tenant, double worth,
                    bool served, bool refused) {
  const ClassSettings& k = s_->classes[c].settings;
  const bool in_aim = served && took <= k.latency_objective;
  const double got = !served ? 0 : in_aim ? worth : worth * k.late_priority_factor;
  if (Second* w = second_of(first)) {
    w->worth_served += got, w->in_aim += in_aim;
  }
  if (Tenth* t = tenth_of(first)) {
    t->worth_served += got;
  }
  if (!counted(first)) {
    return;
  }
  if (served) {
    latency[c].add(took), latency_all.add(took);
  }
  each(c, tenant, [&](Count& n) {
    n.worth_served += got;
    n.in_aim += in_aim;
    n.late += served && !in_aim;
    n.refused += !served && refused;
    n.failed += !served && !refused;
  });
}

void Metrics::close() {
  const auto rest = [](Count& n) {
    n.unanswered = n.asked - n.in_aim - n.late - n.refused - n.failed;
  };
  rest(all);
  std::for_each(by_class.begin(), by_class.end(), rest);
  std::for_each(by_tenant.begin(), by_tenant.end(), rest);
}

double Metrics::goodput_between(Duration from, Duration until) const {
  double asked = 0, served = 0;
  const auto last =
      std::min(seconds.size(), static_cast<std::size_t>(until / std::chrono::seconds(1)));
  for (auto i = static_cast<std::size_t>(from / std::chrono::seconds(1)); i < last; ++i) {
    asked += seconds[i].worth_asked, served += seconds[i].worth_served;
  }
  return asked > 0 ? served / asked : 1;
}

double Metrics::recovery_s(Duration from, Duration until, double goal) const {
  constexpr std::chrono::seconds kOne{1};
  const auto good = [&](std::chrono::seconds at) { return goodput_between(at, at + kOne) >= goal; };
  const auto first = std::chrono::ceil<std::chrono::seconds>(from);
  for (auto at = first; at + 3 * kOne <= until; at += kOne) {  // one lucky second is no recovery
    if (good(at) && good(at + kOne) && good(at + 2 * kOne)) {
      return static_cast<double>((at - first).count());
    }
  }
  return -1;
}

Tenth* Metrics::tenth_of(Time t) {
  const auto i = static_cast<std::size_t>(t / kTenth);
  return t >= Time{0} && i < tenths.size() ? &tenths[i] : nullptr;
}

Return Metrics::return_from(const Metrics& control, Time begun, Time back) const {
  Return r;
  const std::size_t count = std::min(tenths.size(), control.tenths.size());
  const auto place = [](Time t) { return static_cast<std::size_t>(std::max(Time{0}, t) / kTenth); };
  double asked = 0;
  for (std::size_t i = place(begun); i < count; ++i) {
    asked += tenths[i].worth_asked;
    r.worth_lost += control.tenths[i].worth_served - tenths[i].worth_served;
  }
  if (const double seconds = static_cast<double>(count - std::min(count, place(begun))) / kWindow;
      asked > 0) {
    r.worth_lost *= seconds / asked;
  }
  const auto full = [&](std::size_t from) {
    double got = 0, wanted = 0;
    for (std::size_t i = from; i < from + kWindow; ++i) {
      got += tenths[i].worth_served, wanted += control.tenths[i].worth_served;
    }
    return got >= kNearFull * wanted;
  };
  std::size_t held = 0;  // windows in a row, looked at from the first on
  for (std::size_t i = place(back); i + kWindow <= count; ++i) {
    held = full(i) ? held + 1 : 0;
    if (held <= kHolds) {
      continue;
    }
    r.full_after = std::max(Duration{0}, Duration(kTenth * (i - kHolds)) - back);
    break;
  }
  return r;
}

Json::Value Metrics::to_json(bool series) const {
  const Scenario& s = *s_;
  Json::Value v;
  v["goodput"] = goodput();
  v["all"] = all.to_json();
  v["p50_s"] = latency_all.quantile(0.5);
  v["p99_s"] = latency_all.quantile(0.99);
  v["p999_s"] = latency_all.quantile(0.999);
  for (std::size_t i = 0; i < by_class.size(); ++i) {
    Json::Value c = by_class[i].to_json();
    c["p50_s"] = latency[i].quantile(0.5);
    c["p99_s"] = latency[i].quantile(0.99);
    c["p999_s"] = latency[i].quantile(0.999);
    v["classes"][s.classes[i].name] = c;
  }
  for (std::size_t i = 0; i < by_tenant.size(); ++i) {
    v["tenants"][s.tenants[i].name] = by_tenant[i].to_json();
  }
  v["tries"] = number(tries);
  v["attempts"] = number(attempts);
  v["tries_per_request"] =
      all.asked > 0 ? static_cast<double>(tries) / static_cast<double>(all.asked) : 0;
  v["attempts_per_request"] =
      all.asked > 0 ? static_cast<double>(attempts) / static_cast<double>(all.asked) : 0;
  v["crossings_per_request"] =
      all.asked > 0 ? static_cast<double>(crossings) / static_cast<double>(all.asked) : 0;
  v["connections"] = number(connections);
  v["connected_pairs"] = number(pairs);
  v["probes"] = number(probes);
  v["unreachable"] = number(unreachable);
  v["tipped"] = number(tipped);
  v["work_done_s"] = work_done;
  v["waste"] = work_done > 0 ? std::max(0.0, 1 - work_useful / work_done) : 0;
  v["events"] = number(events);
  v["decisions"] = number(decisions);
  for (const Json::Value& t : tiers) {
    v["tiers"].append(t);
  }
  if (!series) {
    return v;
  }
  for (const Second& w : seconds) {
    Json::Value row;
    row["asked"] = number(w.asked);
    row["in_aim"] = number(w.in_aim);
    row["refused"] = number(w.refused);
    row["failed"] = number(w.failed);
    row["tries"] = number(w.tries);
    row["attempts"] = number(w.attempts);
    row["goodput"] = w.worth_asked > 0 ? w.worth_served / w.worth_asked : 1;
    row["busy"] = w.busy;
    row["waiting"] = number(w.waiting);
    row["load_max_over_mean"] = w.load_max_over_mean;
    v["seconds"].append(row);
  }
  v["latency_cdf"] = latency_all.cdf();
  return v;
}

}  // namespace beechhill::emulator
