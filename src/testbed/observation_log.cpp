#include "testbed/observation_log.h"

#include <algorithm>
#include <charconv>

namespace beechhill::testbed {
namespace {

// Time (5 s) after the deadline of a request during which backends may still receive attempts for
// it, because a backend may read late what the proxy wrote before the deadline.
constexpr Duration kRetention{5'000'000};
constexpr std::size_t kMaxRecordedSeconds = 100'000;

// Returns the scenario with the check for concurrent attempts disabled. A backend cannot observe
// that a proxy gave up one attempt before it sent another, so two attempts at the same time do not
// prove a violation.
emulator::Scenario without_concurrency_check(emulator::Scenario scenario) {
  scenario.hedging_allowed = true;
  return scenario;
}

// Parses the text from `from` to `to` as a number in base `base`. Returns false if the text
// contains anything else.
template <class Number>
bool parse_number(const char* from, const char* to, Number& number, int base) {
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
  if (!parse_number(text + first + 1, text + second, request, 16) ||
      !parse_number(text + second + 1, text + trace_id.size(), attempt, 10)) {
    return std::nullopt;
  }
  return client_attempt(request, attempt);
}

void ObservationLog::count_event(std::vector<std::uint32_t>& by_second, Time now) {
  if (now < Time{0}) {
    return;
  }
  const auto second =
      std::min(kMaxRecordedSeconds, static_cast<std::size_t>(now / std::chrono::seconds(1)));
  if (by_second.size() <= second) {
    by_second.resize(second + 1);
  }
  ++by_second[second];
}

void ObservationLog::remove_expired_requests() {
  while (!expiries_.empty() && expiries_.front().first < now_()) {
    const ClientAttemptId id = expiries_.front().second;
    rules_.forget(id);
    open_requests_.erase(id);
    expiries_.pop_front();
  }
}

void ObservationLog::request_sent(ClientAttemptId id, ClassId request_class, std::size_t proxy,
                                  Time deadline) {
  remove_expired_requests();
  // Uses the longest deadline of all classes, so that requests expire in the order of sending.
  const Time expiry = now_() + emulator::longest_deadline(scenario_) + kRetention;
  open_requests_[id] = {proxy, now_(), 0};
  expiries_.emplace_back(expiry, id);
  rules_.taken(now_(), id, request_class, deadline);
}

void ObservationLog::response_received(ClientAttemptId id, bool rejected) {
  rules_.answered(now_(), id, rejected);
}

void ObservationLog::no_response(ClientAttemptId id) {
  const auto it = open_requests_.find(id);
  if (it == open_requests_.end()) {
    return;
  }
  const ProxyFaults& faults = proxy_faults_[it->second.proxy];
  if (faults.active > 0 || faults.last_ended + kObservationTolerance >= it->second.sent_at) {
    ++excused_;
    rules_.excused(now_(), id);
  } else {
    rules_.overdue(now_(), id);
  }
}

void ObservationLog::connection_accepted(EndpointId backend) {
  count_event(connections_[backend], now_());
}

std::uint32_t ObservationLog::attempt_received(ClientAttemptId id, const Endpoint& backend) {
  count_event(attempts_[backend.id], now_());
  if (in_maintenance_.contains(backend.id)) {
    ++attempts_during_maintenance_;
  }
  const auto it = open_requests_.find(id);
  if (it == open_requests_.end()) {
    return 0;
  }
  OpenRequest& request = it->second;
  const AdvertisedState& advertised = advertised_[request.proxy][backend.id];
  const auto partition = partitions_.find({request.proxy, backend.id});
  Duration max_delay{0};  // time for which a partition may have held back the attempt
  if (partition != partitions_.end() && request.sent_at <= partition->second.ended) {
    max_delay = std::max(Duration{0}, now_() - std::max(partition->second.began, request.sent_at));
  }
  rules_.sent(now_(), id, 0, backend.id, backend, advertised.down_since, max_delay);
  return request.attempts++;
}

void ObservationLog::attempt_completed(ClientAttemptId id, std::uint32_t attempt, Result result) {
  rules_.ended(now_(), id, attempt, result);
}

void ObservationLog::work_received_in_slow_start(ClientAttemptId id, EndpointId backend,
                                                 double work, double capacity, Time started_at) {
  const auto it = open_requests_.find(id);
  if (it == open_requests_.end()) {
    return;
  }
  const AdvertisedState& advertised = advertised_[it->second.proxy][backend];
  const bool proxy_knows_of_start = advertised.up && advertised.up_since >= started_at;
  rules_.on_cold_work(now_(), 0, backend, work, capacity, emulator::mean_work_s(scenario_),
                      proxy_knows_of_start);
}

void ObservationLog::set_partitioned(std::size_t proxy, EndpointId backend, bool partitioned) {
  Partition& partition = partitions_[{proxy, backend}];
  if (partitioned) {
    partition.began = now_();
  }
  partition.ended = partitioned ? Time::max() : now_();
}

void ObservationLog::record_advertised_status(std::size_t proxy, EndpointId backend,
                                              EndpointStatus status) {
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
    record_advertised_status(proxy, endpoint.id, endpoint.status);
    listed.insert(endpoint.id);
  }
  if (kind != UpdateKind::kSnapshot) {
    return;
  }
  for (EndpointId backend = 0; backend < advertised_[proxy].size(); ++backend) {
    if (!listed.contains(backend)) {
      record_advertised_status(proxy, backend, EndpointStatus::kRemoved);
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
