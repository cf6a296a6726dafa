// Measures the CPU time per request of a real proxy for several numbers of concurrent clients.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace beechhill::testbed {

struct CostMeasurementOptions {
  std::uint32_t backends = 15;
  std::vector<std::size_t> clients{64, 400, 2000};  // number of clients in each measurement
  double seconds_each = 5;
  std::string program;  // path of the proxy program
};

/// Runs the measurements and prints one line for each. The requests cost the backends almost no
/// work. Blocks; raises this process's soft limit on open files to the hard limit. Throws
/// std::runtime_error if the proxy does not become ready.
void measure_cost(const CostMeasurementOptions& options);

}  // namespace beechhill::testbed
