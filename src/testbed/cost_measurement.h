// Measures the CPU time that a request costs a real proxy, by the number of concurrent clients.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace beechhill::testbed {

struct CostMeasurementOptions {
  std::uint32_t backends = 15;
  std::vector<std::size_t> clients{64, 400, 2000};  // one measurement for each number
  double seconds_each = 5;
  std::string program;  // path of the proxy program
};

/// Prints one line for each number of clients. The backends do no work. Blocks; raises this
/// process's soft limit on open files. Throws std::runtime_error if the proxy does not become
/// ready.
void measure_cost(const CostMeasurementOptions& options);

}  // namespace beechhill::testbed
