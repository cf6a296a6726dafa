#include "testbed/datagram_fault_proxy.h"

#include <fmt/format.h>
#include <unistd.h>

#include <stdexcept>

#include "testbed/server_io.h"
#include "testbed/task_helpers.h"

namespace beechhill::testbed {
namespace {

// Selects a random stream distinct from those for discovery servers.
constexpr std::uint64_t kDatagramStream = 1ULL << 35;
constexpr int kPort = 7946;
constexpr std::size_t kMaxProcesses = 100;
// Last bytes of the first process's listen address and advertised address.
constexpr std::size_t kFirstListenHost = 1;
constexpr std::size_t kFirstAdvertisedHost = kFirstListenHost + kMaxProcesses;

// The address depends on the testbed's process id, so that testbeds that run in parallel do not
// receive each other's datagrams.
std::string loopback_address(std::size_t host) {
  const auto pid = static_cast<unsigned>(::getpid());
  return fmt::format("127.{}.{}.{}:{}", 1 + pid / 250 % 250, pid % 250, host, kPort);
}

}  // namespace

DatagramFaultProxy::DatagramFaultProxy(runtime::Scheduler& scheduler, std::size_t processes,
                                       std::uint64_t seed)
    : scheduler_(scheduler),
      processes_(processes),
      random_(seed, emulator::Actor::kDiscovery, kDatagramStream),
      partitions_(processes * processes) {
  if (processes > kMaxProcesses) {
    throw std::invalid_argument("proxies.count: at most 100 proxies can exchange gossip");
  }
  for (std::size_t i = 0; i < processes; ++i) {
    const sockaddr_in address = parse_own_address(advertised_address(i));
    sockets_.push_back(std::make_unique<net::DatagramSocket>(scheduler_, address));
    scheduler_.spawn(forward_to(i));
  }
}

std::string DatagramFaultProxy::listen_address(std::size_t process) const {
  return loopback_address(kFirstListenHost + process);
}

std::string DatagramFaultProxy::advertised_address(std::size_t process) const {
  return loopback_address(kFirstAdvertisedHost + process);
}

void DatagramFaultProxy::set_partitioned(std::size_t from, std::size_t to, bool partitioned) {
  partitions_[from * processes_ + to] += partitioned ? 1 : -1;
}

void DatagramFaultProxy::set_impairment(double loss, double duplication,
                                        runtime::Clock::duration max_delay) {
  loss_ = loss;
  duplication_ = duplication;
  max_delay_ = max_delay;
}

runtime::Task<> DatagramFaultProxy::forward_to(std::size_t to) {
  for (;;) {
    runtime::Wait wait(scheduler_);
    wait.readable(sockets_[to]->io());
    co_await wait;
    sockaddr_in from{};
    // Reads all pending datagrams, because the remaining ones would not cause another wake-up.
    while (const auto datagram = sockets_[to]->take(from)) {
      forward(net::to_string(from), to, *datagram);
    }
  }
}

void DatagramFaultProxy::forward(const std::string& sender, std::size_t to,
                                 const std::string& datagram) {
  for (std::size_t from = 0; from < processes_; ++from) {
    if (sender != listen_address(from) || partitions_[from * processes_ + to] > 0 ||
        random_.uniform() < loss_) {
      continue;
    }
    const int copies = random_.uniform() < duplication_ ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
      const auto delay =
          std::chrono::duration_cast<runtime::Clock::duration>(max_delay_ * random_.uniform());
      if (delay.count() > 0) {
        scheduler_.spawn(send_later(from, to, datagram, delay));
      } else {
        send(from, to, datagram);
      }
    }
  }
}

runtime::Task<> DatagramFaultProxy::send_later(std::size_t from, std::size_t to,
                                               std::string datagram,
                                               runtime::Clock::duration delay) {
  co_await sleep_for(scheduler_, delay);
  send(from, to, datagram);
}

void DatagramFaultProxy::send(std::size_t from, std::size_t to, const std::string& datagram) {
  sockets_[from]->send(parse_own_address(listen_address(to)), datagram);
}

}  // namespace beechhill::testbed
