// Cluster tests: many proxies under a fault injection plan, against a control without the faults of
// proxy processes, with real processes on loopback or in the emulator. The verdict comes from what
// clients and backends observed.
#pragma once

#include <json/json.h>

#include <cstdint>
#include <string>

#include "emulator/metrics.h"

namespace beechhill::testbed {

struct ClusterTestOptions {
  bool emulated = false;          // in the emulator, not with real processes
  std::string policy = "module";  // in the emulator
  std::string program;            // the proxy, for real processes
  bool control = true;            // without it, the recovery is not measured
};

/// The most that one backend saw in one second, after the warm-up.
struct BackendPeaks {
  std::uint64_t connections = 0;
  std::uint64_t attempts = 0;
};

struct ClusterTestResult {
  Json::Value result;         // in the emulator's form, with its series
  emulator::Return recovery;  // against the control
  double goodput = 0;
  double control_goodput = 0;
  BackendPeaks peaks;
  BackendPeaks control_peaks;
  /// The most lists that one proxy asked discovery for; 0 in the emulator.
  std::uint64_t max_snapshot_requests = 0;
  /// Of the rules, with responses to other requests and requests that never ended; of the control
  /// too.
  std::uint64_t violations = 0;
  std::string violation_text;  // the first few, with their traces
};

/// Blocks; with real processes for the scenario's length and a little, twice where there is a
/// control. Throws as run_load_test() does.
ClusterTestResult run_cluster_test(const emulator::Scenario& scenario,
                                   const ClusterTestOptions& options);

/// How many rules the scenario violates, without a control.
std::uint64_t count_violations(const emulator::Scenario& scenario,
                               const ClusterTestOptions& options);

}  // namespace beechhill::testbed
