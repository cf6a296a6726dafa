// Between processes that talk by datagrams: each is reached at an address of the board's, which
// passes on what comes there as if from the sender's own such address. So what goes from one to
// another can be lost, doubled, delayed, put out of order and cut, one way or both.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "emulator/random.h"
#include "net/datagram.h"

namespace beechhill::testbed {

class DatagramFaultProxy {
 public:
  // For so many processes, on addresses of loopback that are this process's own.
  DatagramFaultProxy(runtime::Scheduler& scheduler, std::size_t processes, std::uint64_t seed);
  std::string listens(std::size_t i) const {
    return address(i, 1);
  }  // where the process is to listen
  std::string reached(std::size_t i) const { return address(i, 101); }  // where the others find it

  void cut(std::size_t from, std::size_t to, bool on) { cuts_[from * count_ + to] += on ? 1 : -1; }
  void spoil(double loss, double doubled, runtime::Clock::duration delay) {
    loss_ = loss, doubled_ = doubled, delay_ = delay;
  }
  std::uint64_t passed() const { return passed_; }

 private:
  std::string address(std::size_t i, std::size_t from) const;
  runtime::Task<> pass(std::size_t to);
  runtime::Task<> later(std::size_t from, std::size_t to, std::string bytes,
                        runtime::Clock::duration after);

  runtime::Scheduler& scheduler_;
  const std::size_t count_;
  emulator::Stream random_;
  std::vector<std::unique_ptr<net::DatagramSocket>> sockets_;  // by process
  std::vector<int> cuts_;
  double loss_ = 0, doubled_ = 0;
  runtime::Clock::duration delay_{0};
  std::uint64_t passed_ = 0;
};

}  // namespace beechhill::testbed
