// A closed-loop load on one real proxy: a fixed number of clients, each of which sends its next
// request on its own connection when the previous one is answered. Suitable for measuring cost but
// not latency, because a slow proxy slows down the load.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>

#include "emulator/scenario.h"
#include "net/socket.h"
#include "runtime/scheduler.h"

namespace beechhill::testbed {

/// Load generator that sends requests of the scenario's first class to one proxy. Not thread-safe.
/// Objects passed to the constructor by reference must outlive the generator.
class ClosedLoopLoad {
 public:
  ClosedLoopLoad(runtime::Scheduler& scheduler, const emulator::Scenario& scenario,
                 sockaddr_in proxy, std::size_t clients);
  /// Sends requests until `until`. Completes when the requests in progress at that time have ended.
  runtime::Task<> run(runtime::TimePoint until);
  std::uint64_t served() const { return served_; }
  /// Number of requests that were rejected or failed.
  std::uint64_t not_served() const { return not_served_; }

 private:
  runtime::Task<> run_client(std::size_t client, runtime::TimePoint until);
  // Returns whether the request was served. Connects if `stream` is null, and resets `stream` if
  // the connection cannot be reused. `stream` and `buffer` must outlive the task.
  runtime::Task<bool> run_request(std::size_t client, std::uint64_t number,
                                  std::unique_ptr<net::Stream>& stream, std::string& buffer);

  runtime::Scheduler& scheduler_;
  const emulator::Scenario& scenario_;
  sockaddr_in proxy_;
  std::size_t clients_;
  std::size_t running_ = 0;
  std::uint64_t served_ = 0;
  std::uint64_t not_served_ = 0;
  runtime::Notifier all_ended_;
};

}  // namespace beechhill::testbed
