// The members of DecisionActor that describe the backends for maintenance plans and snapshots.
#include <algorithm>
#include <cmath>

#include "proxy/decision_actor.h"

namespace beechhill::proxy {

using runtime::now;

namespace {

constexpr double kMinRelativeCapacity = 0.1;
constexpr double kMaxRelativeCapacity = 10;

// Rounds to the nearest half power of two, so that a maintenance plan does not change with every
// load report.
double round_to_half_octave(double ratio) {
  const double bounded = std::clamp(ratio, kMinRelativeCapacity, kMaxRelativeCapacity);
  return std::exp2(std::round(2 * std::log2(bounded)) / 2);
}

}  // namespace

std::vector<DecisionActor::ListedBackend> DecisionActor::listed_backends() const {
  const double average = average_capacity();
  std::vector<ListedBackend> listed;
  for (EndpointId endpoint = 0; endpoint < backends_.size(); ++endpoint) {
    const BackendEntry& entry = backends_[endpoint];
    if (entry.backend && entry.status != EndpointStatus::kRemoved) {
      listed.push_back(describe(endpoint, average));
    }
  }
  return listed;
}

// Returns the average requests per second of a backend at full utilization; 0 if no backend reports
// a rate.
double DecisionActor::average_capacity() const {
  double rates = 0;
  double utilizations = 0;
  for (EndpointId endpoint = 0; endpoint < backends_.size(); ++endpoint) {
    if (!backends_[endpoint].backend) {
      continue;
    }
    const EndpointStats stats = balancer_.endpoint_stats(endpoint);
    rates += stats.weighted_rates;
    utilizations += stats.weighted_utilizations;
  }
  return rates > 0 ? rates / utilizations : 0;
}

DecisionActor::ListedBackend DecisionActor::describe(EndpointId endpoint,
                                                     double average_capacity) const {
  const BackendEntry& entry = backends_[endpoint];
  const EndpointStats stats = balancer_.endpoint_stats(endpoint);
  const bool has_capacity = stats.weighted_utilizations > 1 && average_capacity > 0;
  const double capacity =
      has_capacity ? stats.weighted_rates / stats.weighted_utilizations / average_capacity : 1;
  const Time warm_at =
      std::chrono::duration_cast<Time>(entry.started_at) - unix_offset_ + slow_start_window_;
  ListedBackend listed;
  listed.id = endpoint_ids_.name(endpoint);
  listed.zone = zone_ids_.name(entry.zone);
  listed.instance_type = instance_type_ids_.name(entry.instance_type);
  listed.cell = entry.cell;
  listed.up =
      entry.status == EndpointStatus::kUp && !exclusions_.is_excluded_by_operator(listed.id);
  listed.warm = entry.started_at.count() == 0 || now() >= warm_at;
  listed.started_at = entry.started_at;
  listed.relative_capacity = round_to_half_octave(capacity);
  return listed;
}

std::map<std::string, double> DecisionActor::utilization_by_zone() const {
  std::map<std::string, double> by_name;
  for (const auto& [zone, utilization] : zone_utilization_.by_zone()) {
    by_name[zone_ids_.name(zone)] = utilization;
  }
  return by_name;
}

std::set<std::string> DecisionActor::busy_excluded_backends() const {
  std::set<std::string> busy;
  for (EndpointId endpoint = 0; endpoint < backends_.size(); ++endpoint) {
    const BackendEntry& entry = backends_[endpoint];
    const bool in_use = entry.references > 0 || now() < entry.excluded_at + drain_grace_;
    if (entry.backend && entry.excluded && in_use) {
      busy.insert(endpoint_ids_.name(endpoint));
    }
  }
  return busy;
}

std::vector<snapshot::EndpointRecord> DecisionActor::endpoint_records() const {
  const auto recorded_at = std::chrono::duration_cast<std::chrono::milliseconds>(unix_now());
  std::vector<snapshot::EndpointRecord> records;
  for (const auto& [backend_id, record] : restored_records_.unclaimed()) {
    records.push_back(record);
  }
  for (EndpointId endpoint = 0;
       endpoint < backends_.size() && records.size() < snapshot::kMaxRecords; ++endpoint) {
    const BackendEntry& entry = backends_[endpoint];
    const EndpointStats stats = balancer_.endpoint_stats(endpoint);
    if (entry.backend && stats.weighted_utilizations + stats.response_weight > 0) {
      records.push_back({endpoint_ids_.name(endpoint), entry.started_at, recorded_at, stats});
    }
  }
  return records;
}

}  // namespace beechhill::proxy
