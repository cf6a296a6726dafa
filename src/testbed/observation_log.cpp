#include "testbed/observation_log.h"

#include <algorithm>
#include <charconv>

namespace beechhill::testbed {
namespace {

// How long after a request's deadline backends may still see attempts for it: bytes that the proxy
// wrote before, read late.
constexpr Duration kRetention{5'000'000};
constexpr std::size_t kMaxSeconds = 100'000;

// A backend cannot see when a proxy gives up one attempt for another, so two at once prove nothing
// against it.
emulator::Scenario without_concurrency_check(emulator::Scenario scenario) {
  scenario.hedging_allowed = true;
  return scenario;
}

// Whether the text between the two is a number and nothing else.
template <class Number>
bool parse_whole(const char* from, const char* to, Number& number, int base) {
  const auto [end, error] = std::from_chars(from, to, number, base);
  return error == std::errc() && end == to;
}

}  // namespace

ObservationLog::ObservationLog(const emulator::Scenario& scenario, std::size_t proxies,
                               std::function<Time()> now)
    : scenario_(without_concurrency_check(scenario)),
      now_(std::move(now)),
      rules_(scenario_, kObservationTolerance),
      advertised_(proxies, std::vector<AdvertisedState>(scenario.tiers[0].nodes)),
      proxy_faults_(proxies),
      connections_(scenario.tiers[0].nodes),
      attempts_(scenario.tiers[0].nodes),
      snapshot_requests_(proxies) {
}

std::optional<ClientAttemptId> ObservationLog::parse_trace_id(std::string_view trace_id) {
  const std::size_t first = trace_id.find('-');
  if (first == std::string_view::npos) {
    return std::nullopt;
  }
  const std::size_t second = trace_id.find('-', first + 1);
  if (second == std::string_view::npos) {
    return std::nullopt;
  }
  std::uint64_t request = 0;
  std::uint32_t attempt = 0;
  const char* const text = trace_id.data();
  if (!parse_whole(text + first + 1, text + second, request, 16) ||
      !parse_whole(text + second + 1, text + trace_id.size(), attempt, 10)) {
    return std::nullopt;
  }
  return client_attempt(request, attempt);
}

void ObservationLog::count(std::vector<std::uint32_t>& by_second, Time now) {
  if (now < Time{0}) {
    return;
  }
  const auto second =
      std::min(kMaxSeconds, static_cast<std::size_t>(now / std::chrono::seconds(1)));
  if (by_second.size() <= second) {
    by_second.resize(second + 1);
  }
  ++by_second[second];
}

void ObservationLog::forget_expired() {
  while (!expiries_.empty() && expiries_.front().first < now_()) {
    const ClientAttemptId id = expiries_.front().second;
    rules_.forget(id);
    open_.erase(id);
    expiries_.pop_front();
  }
}

void ObservationLog::request_sent(ClientAttemptId id, ClassId request_class, std::size_t proxy,
                                  Time deadline) {
  forget_expired();
  // By the longest deadline of all classes, so that requests expire in the order of sending.
  const Time expiry = now_() + emulator::longest_deadline(scenario_) + kRetention;
  open_[id] = {proxy, now_(), 0};
  expiries_.emplace_back(expiry, id);
  rules_.taken(now_(), id, request_class, deadline);
}

void ObservationLog::response_received(ClientAttemptId id, bool rejected) {
  rules_.answered(now_(), id, rejected);
}

void ObservationLog::no_response(ClientAttemptId id) {
  const auto it = open_.find(id);
  if (it == open_.end()) {
    return;
  }
  const ProxyFaults& faults = proxy_faults_[it->second.proxy];
  if (faults.active > 0 || faults.last_ended + kObservationTolerance >= it->second.sent) {
    ++excused_;
    rules_.excused(now_(), id);
  } else {
    rules_.overdue(now_(), id);
  }
}

void ObservationLog::connection_accepted(EndpointId backend) {
  count(connections_[backend], now_());
}

std::uint32_t ObservationLog::attempt_received(ClientAttemptId id, const Endpoint& backend) {
  count(attempts_[backend.id], now_());
  if (in_maintenance_.contains(backend.id)) {
    ++attempts_during_maintenance_;
  }
  const auto it = open_.find(id);
  if (it == open_.end()) {
    return 0;
  }
  OpenRequest& request = it->second;
  const AdvertisedState& advertised = advertised_[request.proxy][backend.id];
  const auto partition = partitions_.find({request.proxy, backend.id});
  Duration max_delay{0};  // that a partition may have held it for
  if (partition != partitions_.end() && request.sent <= partition->second.ended) {
    max_delay = std::max(Duration{0}, now_() - std::max(partition->second.began, request.sent));
  }
  rules_.sent(now_(), id, 0, backend.id, backend, advertised.down_since, max_delay);
  return request.attempts++;
}

void ObservationLog::attempt_completed(ClientAttemptId id, std::uint32_t attempt, Result result) {
  rules_.ended(now_(), id, attempt, result);
}

void ObservationLog::work_received_in_slow_start(ClientAttemptId id, EndpointId backend,
                                                 double work, double capacity, Time started_at) {
  const auto it = open_.find(id);
  if (it == open_.end()) {
    return;
  }
  const AdvertisedState& advertised = advertised_[it->second.proxy][backend];
  const bool proxy_knows_of_start = advertised.up && advertised.up_since >= started_at;
  rules_.pressed(now_(), 0, backend, work, capacity, emulator::mean_work_s(scenario_),
                 proxy_knows_of_start);
}

void ObservationLog::set_partitioned(std::size_t proxy, EndpointId backend, bool partitioned) {
  Partition& partition = partitions_[{proxy, backend}];
  if (partitioned) {
    partition.began = now_();
  }
  partition.ended = partitioned ? Time::max() : now_();
}

void ObservationLog::advertise(std::size_t proxy, EndpointId backend, EndpointStatus status) {
  AdvertisedState& state = advertised_[proxy][backend];
  if (status == EndpointStatus::kUp) {
    state.up = true;
    state.up_since = now_();
    state.down_since.reset();
  } else if (state.up) {
    state.up = false;
    state.down_since = now_();
  }
}

void ObservationLog::endpoints_sent(std::size_t proxy, const std::vector<Endpoint>& endpoints,
                                    UpdateKind kind) {
  std::set<EndpointId> listed;
  for (const Endpoint& endpoint : endpoints) {
    advertise(proxy, endpoint.id, endpoint.status);
    listed.insert(endpoint.id);
  }
  if (kind != UpdateKind::kSnapshot) {
    return;
  }
  for (EndpointId backend = 0; backend < advertised_[proxy].size(); ++backend) {
    if (!listed.contains(backend)) {
      advertise(proxy, backend, EndpointStatus::kRemoved);
    }
  }
}

void ObservationLog::proxy_fault_began(std::size_t proxy) {
  ++proxy_faults_[proxy].active;
}

void ObservationLog::proxy_fault_ended(std::size_t proxy, ProxyMemory memory) {
  ProxyFaults& faults = proxy_faults_[proxy];
  if (faults.active > 0) {
    --faults.active;
  }
  faults.last_ended = now_();
  if (memory == ProxyMemory::kLost) {
    std::fill(advertised_[proxy].begin(), advertised_[proxy].end(), AdvertisedState{});
  }
}

void ObservationLog::set_in_maintenance(EndpointId backend, bool in_maintenance) {
  if (in_maintenance) {
    in_maintenance_.insert(backend);
  } else {
    in_maintenance_.erase(backend);
  }
}

}  // namespace beechhill::testbed
