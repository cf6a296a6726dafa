// Cluster tests run many proxies under a fault plan and compare the result with that of a control
// run, which omits the faults of proxy processes. The runs use real processes on loopback or the
// emulator. Violations are determined from what clients and backends observed.
#pragma once

#include <json/json.h>

#include <cstdint>
#include <string>

#include "emulator/metrics.h"

namespace beechhill::testbed {

struct ClusterTestOptions {
  bool emulated = false;          // run in the emulator, not with real processes
  std::string policy = "module";  // load balancing policy in the emulator
  std::string program;            // path of the proxy program, for real processes
  bool control = true;  // also perform the control run, which the measurement of recovery needs
};

/// Maximum numbers of new connections and of attempts that one backend received in one second,
/// after the warm-up.
struct BackendPeaks {
  std::uint64_t connections = 0;
  std::uint64_t attempts = 0;
};

struct ClusterTestResult {
  Json::Value result;               // in the emulator's format, with time series
  emulator::RecoveryCost recovery;  // recovery relative to the control run
  double goodput = 0;
  double control_goodput = 0;
  BackendPeaks peaks;
  BackendPeaks control_peaks;
  /// Number of endpoint lists that a proxy requested from discovery, maximum over all proxies; 0 in
  /// the emulator.
  std::uint64_t max_snapshot_requests = 0;
  /// Number of violations, including those of the control run: broken rules, responses that belong
  /// to other requests, requests that never ended, and violations of the maintenance limits.
  std::uint64_t violations = 0;
  std::string violation_text;  // the first few violations, with their traces
};

/// Runs the scenario and, if `options.control` is set, its control run. Blocks. With real
/// processes, each run takes slightly longer than the scenario's length. Throws the same exceptions
/// as run_load_test().
ClusterTestResult run_cluster_test(const emulator::Scenario& scenario,
                                   const ClusterTestOptions& options);

/// Runs the scenario without a control run and returns the number of violations.
std::uint64_t count_violations(const emulator::Scenario& scenario,
                               const ClusterTestOptions& options);

}  // namespace beechhill::testbed
