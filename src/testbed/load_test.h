// Load tests: run a scenario with real proxy processes, fake backends and a generated load, all on
// loopback.
#pragma once

#include <json/json.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "emulator/metrics.h"

namespace beechhill::testbed {

/// The outcome of a load test. Rules are checked from the observation log, never from what a proxy
/// reports about itself.
struct LoadTestResult {
  Json::Value result;                                // in the JSON format of the emulator's metrics
  std::shared_ptr<const emulator::Metrics> metrics;  // never null; refers to the scenario
  std::uint64_t requests = 0;                        // number of requests, not counting retries
  /// Number of responses that belong to another request or have an unknown status.
  std::uint64_t wrong_responses = 0;
  Duration max_send_delay{0};  // maximum delay of a request after its scheduled time
  double proxy_cpu_s = 0;      // CPU time of all proxies together

  std::uint64_t violations = 0;  // number of rule violations
  std::string violation_text;    // the first few violations, with their traces
  std::uint64_t excused = 0;     // missing responses that a proxy fault explains

  /// Maximum numbers of new connections and of attempts that one backend received in one second,
  /// after the warm-up.
  std::uint32_t max_connections_per_s = 0;
  std::uint32_t max_attempts_per_s = 0;
  /// Number of endpoint lists that a proxy requested from discovery, maximum over all proxies.
  std::uint32_t max_snapshot_requests = 0;
  /// Time at which the last proxy that a fault made unavailable was ready again; 0 if there was
  /// none.
  Time last_ready_at{0};

  /// Number of lines in the proxies' logs for each event about snapshots. They show whether a fault
  /// took effect and are not part of the rule check.
  std::map<std::string, std::size_t> log_events;
  /// Numbers of backends whose state in a snapshot was restored and discarded by the proxies,
  /// according to their logs.
  std::uint64_t restored_endpoints = 0;
  std::uint64_t discarded_endpoints = 0;

  /// Results of maintenance: number of attempts that reached a backend while it was out of service,
  /// number of backends that were taken out and returned, maximum number of backends out at the
  /// same time, number of requests that were open at the end, the last status from a proxy, and the
  /// time at which the last request was completed (0 if it was not).
  std::uint64_t attempts_during_maintenance = 0;
  std::uint32_t backends_maintained = 0;
  std::uint32_t max_backends_out = 0;
  std::uint32_t open_requests = 0;
  std::string last_maintenance_status;
  Time maintenance_completed_at{0};
};

/// Runs the scenario with `scenario.proxies` processes of `program`, and stops everything that it
/// started. The scenario must outlive the result. Blocks for slightly longer than the scenario's
/// length. `progress` is called about twice a second with one line of text. Throws
/// std::invalid_argument for a scenario that real processes do not support, and std::runtime_error
/// if `program` is not executable or a proxy does not become ready.
LoadTestResult run_load_test(const emulator::Scenario& scenario, const std::string& program,
                             const std::function<void(const std::string&)>& progress = {});

/// Returns the path of the proxy program that was built together with the running program.
std::string default_proxy_program();

}  // namespace beechhill::testbed
