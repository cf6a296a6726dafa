// An open-loop load on real proxies: the scenario's clients over HTTP/1.1. Latency counts from the
// moment a request was to be sent, so a sender that falls behind does not hide it.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "emulator/clients.h"
#include "emulator/metrics.h"
#include "testbed/fake_services.h"

namespace beechhill::testbed {

class Load {
 public:
  // Connections that it may hold to all proxies together; a try beyond is unreachable.
  static constexpr std::size_t kMostConnections = 4096;

  // `books` must outlive it.
  Load(runtime::Scheduler& scheduler, const TestbedClock& clock, const emulator::Scenario& scenario,
       std::vector<sockaddr_in> proxies, ObservationLog& books);
  // What the front between the clients and the proxies knows: whether it offers that one to new
  // connections.
  void offer(std::size_t proxy, bool offered);
  // A proxy is back: where the scenario has it so, it is given its even part of the connections
  // again.
  void deal_back(std::size_t proxy);
  // Ends when every request has ended.
  runtime::Task<> run();
  const emulator::Metrics& metrics() const { return metrics_; }
  // The furthest that a request left behind its time: the load itself was slow.
  Duration latest_start() const { return latest_start_; }
  std::uint64_t asked() const { return asked_; }
  std::uint64_t served() const { return served_; }
  std::uint64_t open() const { return open_; }
  // Answers that were not the one for the request they came to, or had a status that the protocol
  // does not know.
  std::uint64_t wrong_answers() const { return wrong_; }

 private:
  struct Try {
    enum class End { kServed, kRefused, kFailed, kUnreachable } end = End::kFailed;
    Duration advice{0};
  };
  runtime::Task<> operation(emulator::Arrival arrival, std::uint64_t number);
  runtime::Task<Try> one_try(const emulator::Arrival& arrival, std::uint64_t number,
                             std::uint32_t tries, std::size_t proxy, Duration patience);

  std::size_t another();  // that the front offers

  runtime::Scheduler& scheduler_;
  const TestbedClock& clock_;
  const emulator::Scenario& s_;
  ObservationLog& books_;
  std::vector<sockaddr_in> proxies_;
  std::vector<bool> offered_;
  std::vector<std::vector<std::unique_ptr<net::Stream>>> idle_;  // by proxy
  std::size_t connections_ = 0;
  emulator::Metrics metrics_;
  emulator::Stream random_;
  std::vector<std::uint32_t> homes_;  // of each of the clients' connections: its proxy
  std::uint64_t asked_ = 0, served_ = 0, open_ = 0, wrong_ = 0;
  bool all_sent_ = false;
  Duration latest_start_{0};
  runtime::Notifier ended_;
};

// A closed loop: so many clients, each with a connection of its own, each asking again when it is
// answered. For cost, not for latency: a slow proxy slows its load.
class ClosedLoad {
 public:
  ClosedLoad(runtime::Scheduler& scheduler, const emulator::Scenario& scenario, sockaddr_in proxy,
             std::size_t clients);
  runtime::Task<> run(runtime::TimePoint until);
  std::uint64_t served() const { return served_; }
  std::uint64_t other() const { return other_; }  // refused, failed or broken

 private:
  runtime::Task<> client(std::size_t number, runtime::TimePoint until);

  runtime::Scheduler& scheduler_;
  const emulator::Scenario& s_;
  sockaddr_in proxy_;
  std::size_t clients_, running_ = 0;
  std::uint64_t served_ = 0, other_ = 0;
  runtime::Notifier ended_;
};

}  // namespace beechhill::testbed
