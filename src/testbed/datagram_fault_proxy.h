// Injects network faults between processes that exchange datagrams: loss, duplication, delay,
// reordering and partitions, in one direction or both.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "emulator/random.h"
#include "net/datagram.h"

namespace beechhill::testbed {

/// Forwards datagrams between processes. It has one address for each process, which is advertised
/// to the other processes instead of the process's own. A datagram that arrives there is forwarded
/// to the process, with the sender's advertised address as its source, so that both ends see the
/// same addresses as without the fault proxy. Must outlive the scheduler's run.
class DatagramFaultProxy {
 public:
  /// Throws std::invalid_argument for more than 100 processes. Uses loopback addresses that are
  /// derived from the testbed's process id.
  DatagramFaultProxy(runtime::Scheduler& scheduler, std::size_t processes, std::uint64_t seed);

  /// The addresses of a process: the one on which it must listen, and the one to which the other
  /// processes must send.
  std::string listen_address(std::size_t process) const;
  std::string advertised_address(std::size_t process) const;

  /// Partitions or heals the direction from one process to another. Calls nest: the direction is
  /// healed when each call with true has been matched by one with false.
  void set_partitioned(std::size_t from, std::size_t to, bool partitioned);
  /// Sets the probabilities, from 0 to 1, that a datagram is lost or duplicated, and the maximum of
  /// the random delay of each copy.
  void set_impairment(double loss, double duplication, runtime::Clock::duration max_delay);

 private:
  runtime::Task<> forward_to(std::size_t to);
  void forward(const std::string& sender, std::size_t to, const std::string& datagram);
  runtime::Task<> send_later(std::size_t from, std::size_t to, std::string datagram,
                             runtime::Clock::duration delay);
  void send(std::size_t from, std::size_t to, const std::string& datagram);

  runtime::Scheduler& scheduler_;
  const std::size_t processes_;
  emulator::Stream random_;
  std::vector<std::unique_ptr<net::DatagramSocket>> sockets_;  // indexed by process
  // Number of set_partitioned(true) calls in effect, at [from * processes_ + to].
  std::vector<int> partitions_;
  double loss_ = 0;
  double duplication_ = 0;
  runtime::Clock::duration max_delay_{0};
};

}  // namespace beechhill::testbed
