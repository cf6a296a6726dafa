#include "testbed/datagram_fault_proxy.h"

#include <fmt/format.h>
#include <unistd.h>

namespace beechhill::testbed {
namespace {

constexpr std::uint64_t kBoardStream = 1ULL << 35;
constexpr int kPort = 7946;

}  // namespace

DatagramFaultProxy::DatagramFaultProxy(runtime::Scheduler& scheduler, std::size_t processes,
                                       std::uint64_t seed)
    : scheduler_(scheduler),
      count_(processes),
      random_(seed, emulator::Actor::kDiscovery, kBoardStream),
      cuts_(processes * processes) {
  if (processes > 100) {
    throw std::invalid_argument("proxies.count: at most 100 that talk with each other");
  }
  for (std::size_t i = 0; i < processes; ++i) {
    sockets_.push_back(
        std::make_unique<net::DatagramSocket>(scheduler_, *net::parse_address(reached(i))));
    scheduler_.spawn(pass(i));
  }
}

// By the lab's process id, so that labs side by side do not meet.
std::string DatagramFaultProxy::address(std::size_t i, std::size_t from) const {
  const auto pid = static_cast<unsigned>(::getpid());
  return fmt::format("127.{}.{}.{}:{}", 1 + pid / 250 % 250, pid % 250, from + i, kPort);
}

runtime::Task<> DatagramFaultProxy::pass(std::size_t to) {
  for (;;) {
    runtime::Wait wait(scheduler_);
    wait.readable(sockets_[to]->io());
    co_await wait;
    sockaddr_in from{};
    while (auto bytes = sockets_[to]->take(from)) {  // all: what is left is not told of again
      const std::string sender = net::to_string(from);
      for (std::size_t i = 0; i < count_; ++i) {
        if (sender != listens(i) || cuts_[i * count_ + to] > 0 || random_.uniform() < loss_) {
          continue;
        }
        for (int copies = random_.uniform() < doubled_ ? 2 : 1; copies > 0; --copies) {
          ++passed_;
          const auto after =
              std::chrono::duration_cast<runtime::Clock::duration>(delay_ * random_.uniform());
          if (after.count() > 0) {
            scheduler_.spawn(later(i, to, *bytes, after));
          } else {
            sockets_[i]->send(*net::parse_address(listens(to)), *bytes);
          }
        }
      }
    }
  }
}

runtime::Task<> DatagramFaultProxy::later(std::size_t from, std::size_t to, std::string bytes,
                                          runtime::Clock::duration after) {
  runtime::Wait wait(scheduler_);
  wait.until(runtime::Clock::now() + after);
  co_await wait;
  sockets_[from]->send(*net::parse_address(listens(to)), bytes);
}

}  // namespace beechhill::testbed
