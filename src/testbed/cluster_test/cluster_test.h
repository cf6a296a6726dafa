// Cluster tests: run many proxies under a fault plan and compare them with a control run without
// the faults of proxy processes. The runs use real processes on loopback or the emulator.
// Violations are determined from what clients and backends observed.
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
  bool control = true;  // also run the control, without which the recovery is not measured
};

/// Maximum number of new connections and of attempts at one backend in one second, after the
/// warm-up.
struct BackendPeaks {
  std::uint64_t connections = 0;
  std::uint64_t attempts = 0;
};

struct ClusterTestResult {
  Json::Value result;               // in the emulator's format, with time series
  emulator::RecoveryCost recovery;  // compared with the control
  double goodput = 0;
  double control_goodput = 0;
  BackendPeaks peaks;
  BackendPeaks control_peaks;
  /// Maximum number of endpoint lists that one proxy requested from discovery; 0 in the emulator.
  std::uint64_t max_snapshot_requests = 0;
  /// Number of rule violations, of responses that belong to other requests and of requests that
  /// never ended, including those of the control.
  std::uint64_t violations = 0;
  std::string violation_text;  // the first few violations, with their traces
};

/// Blocks. With real processes, a run takes slightly longer than the scenario's length, and a
/// control run takes as long again. Throws the same exceptions as run_load_test().
ClusterTestResult run_cluster_test(const emulator::Scenario& scenario,
                                   const ClusterTestOptions& options);

/// Runs the scenario without a control and returns its number of violations.
std::uint64_t count_violations(const emulator::Scenario& scenario,
                               const ClusterTestOptions& options);

}  // namespace beechhill::testbed
