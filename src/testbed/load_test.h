// Load tests: a scenario with real proxy processes, fake backends and a generated load, all on
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

/// What a load test observed. Rules are judged from the observation log, never from what a proxy
/// reports about itself.
struct LoadTestResult {
  Json::Value result;  // in the emulator's form, as far as it can be observed from outside
  std::shared_ptr<const emulator::Metrics> metrics;  // never null; borrows the scenario
  std::uint64_t asked = 0;                           // requests, retries not counted
  std::uint64_t wrong_responses =
      0;                       // responses that belong to another request, or have an unknown
                               /// status
  Duration max_send_delay{0};  // the most that the load generator was behind its time
  double proxy_cpu_s = 0;      // of all proxies together

  std::uint64_t violations = 0;  // of the rules
  std::string violation_text;    // the first few, with their traces
  std::uint64_t excused = 0;     // responses that are missing because of a fault of the proxy

  /// The most at one backend in one second, after the warm-up.
  std::uint32_t max_connections_per_s = 0;
  std::uint32_t max_attempts_per_s = 0;
  /// The most lists that one proxy asked discovery for.
  std::uint32_t max_snapshot_requests = 0;
  /// When the last proxy that a fault took away was ready again; 0: none was away.
  Time last_ready_at{0};

  /// Lines of the proxies' logs by event, of those about snapshots: whether a fault took effect, no
  /// verdict.
  std::map<std::string, std::size_t> log_events;
  /// Backends whose state in a snapshot was used, and those whose state was not.
  std::uint64_t restored_endpoints = 0;
  std::uint64_t discarded_endpoints = 0;

  /// Maintenance: attempts that reached a backend while it was out, backends that were worked on,
  /// the most at one time, requests that are open at the end, the last status that a proxy gave,
  /// and when the last request was completed (0: not).
  std::uint64_t attempts_during_maintenance = 0;
  std::uint32_t taken_out = 0;
  std::uint32_t max_backends_out = 0;
  std::uint32_t open_requests = 0;
  std::string last_maintenance_status;
  Time maintenance_completed_at{0};
};

/// Runs the scenario, which must outlive the result, with `scenario.proxies` processes of
/// `program`, and stops all that it started. Blocks for the scenario's length and a little.
/// `progress` is called about twice a second with one line. Throws std::invalid_argument for what
/// real processes can't play, std::runtime_error where a proxy does not come up.
LoadTestResult run_load_test(const emulator::Scenario& scenario, const std::string& program,
                             const std::function<void(const std::string&)>& progress = {});

/// The path of the proxy program that was built with this one.
std::string default_proxy_program();

}  // namespace beechhill::testbed
