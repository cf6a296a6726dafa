// A closed-loop load on one real proxy: so many clients, each with a connection of its own, each
// sending its next request when the last one is answered. For measuring cost, not latency: a slow
// proxy slows its load.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>

#include "emulator/scenario.h"
#include "net/socket.h"
#include "runtime/scheduler.h"

namespace beechhill::testbed {

/// Requests are of the scenario's first class. For one thread; what it borrows must outlive it.
class ClosedLoopLoad {
 public:
  ClosedLoopLoad(runtime::Scheduler& scheduler, const emulator::Scenario& scenario,
                 sockaddr_in proxy, std::size_t clients);
  /// Ends when every client has ended its last request after `until`.
  runtime::Task<> run(runtime::TimePoint until);
  std::uint64_t served() const { return served_; }
  /// Requests that were rejected or failed.
  std::uint64_t not_served() const { return not_served_; }

 private:
  runtime::Task<> run_client(std::size_t client, runtime::TimePoint until);
  // Whether the request is served. Connects where `stream` is null, and resets it where the
  // connection is of no more use. The references must outlive the task.
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
