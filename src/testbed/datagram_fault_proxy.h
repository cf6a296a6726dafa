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

/// Each process is advertised at an address of the proxy's, which forwards what comes there as if
/// from the sender's own advertised address, so both ends see what they would without it. Must
/// outlive the scheduler's run.
class DatagramFaultProxy {
 public:
  /// For so many processes, at most 100 (std::invalid_argument beyond), on loopback addresses that
  /// are this process's own.
  DatagramFaultProxy(runtime::Scheduler& scheduler, std::size_t processes, std::uint64_t seed);

  /// Where a process is to listen, and where the others are to send to it.
  std::string listen_address(std::size_t process) const;
  std::string advertised_address(std::size_t process) const;

  /// From one process to another; calls nest.
  void set_partitioned(std::size_t from, std::size_t to, bool partitioned);
  /// Probabilities from 0 to 1; each datagram is delayed by up to `max_delay`.
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
  std::vector<std::unique_ptr<net::DatagramSocket>> sockets_;  // by process
  std::vector<int> partitions_;  // nested calls, at [from * processes_ + to]
  double loss_ = 0;
  double duplication_ = 0;
  runtime::Clock::duration max_delay_{0};
};

}  // namespace beechhill::testbed
