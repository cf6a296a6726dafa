// What one request costs a real proxy in CPU time, by the number of busy clients.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace beechhill::testbed {

struct CostMeasurementOptions {
  std::uint32_t backends = 15;
  std::vector<std::size_t> clients{64, 400, 2000};  // one measurement each
  double seconds_each = 5;
  std::string program;  // the proxy
};

/// Prints one line for each number of clients. Backends do no work. Blocks; raises this process's
/// soft limit of open files. Throws std::runtime_error where the proxy does not come up.
void measure_cost(const CostMeasurementOptions& options);

}  // namespace beechhill::testbed
