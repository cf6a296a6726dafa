#include "testbed/cluster_deployment.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <chrono>
#include <fstream>

#include "cluster/disk_raft_storage.h"
#include "maintenance/raft_node.h"
#include "testbed/datagram_fault_proxy.h"

namespace beechhill::testbed {

using namespace std::chrono_literals;

namespace {

// Number of hexadecimal digits of a cluster key.
constexpr std::size_t kKeyDigits = 64;
// Ratio of lost to duplicated datagrams in an impaired network.
constexpr double kLossPerDuplication = 3;

std::vector<std::string> voter_names(const emulator::Scenario& scenario) {
  std::vector<std::string> names;
  names.reserve(scenario.group.voters);
  for (std::uint32_t voter = 0; voter < scenario.group.voters; ++voter) {
    names.push_back(proxy_name(voter));
  }
  return names;
}

}  // namespace

ClusterDeployment::ClusterDeployment(runtime::Scheduler& scheduler,
                                     const emulator::Scenario& scenario,
                                     const experiments::TempDirectory& directory,
                                     std::vector<std::string> state_directories)
    : scenario_(scenario),
      key_file_(directory.file("key")),
      state_directories_(std::move(state_directories)),
      network_(std::make_unique<DatagramFaultProxy>(scheduler, scenario.proxies, scenario.seed)) {
  std::ofstream(key_file_) << std::string(kKeyDigits, 'c') << "\n";
  const std::vector<std::string> voters = voter_names(scenario);
  for (std::size_t i = 0; i < voters.size(); ++i) {
    maintenance::DiskRaftStorage::create(state_directories_[i], {voters[i], 1},
                                         maintenance::initial_records(voters));
  }
}

ClusterDeployment::~ClusterDeployment() = default;

std::string ClusterDeployment::operator_file_tables(std::size_t proxy) const {
  const emulator::ClusterSpec& spec = scenario_.group;
  const std::string membership = fmt::format(
      "[membership]\n"
      "listen = \"{}\"\n"
      "advertise = \"{}\"\n"
      "seeds = [\"{}\", \"{}\"]\n"
      "key_file = \"{}\"\n"
      "interval = \"200ms\"\n",
      network_->listen_address(proxy), network_->advertised_address(proxy),
      network_->advertised_address(0), network_->advertised_address(1 % scenario_.proxies),
      key_file_);
  const std::string maintenance = fmt::format(
      "[maintenance]\n"
      "voters = [\"{}\"]\n"
      "folder = \"{}\"\n"
      "lease = \"{}ms\"\n"
      "isolated_after = \"{}ms\"\n"
      "most_out = {}\n"
      "most_out_zone = {}\n"
      "most_out_cell = {}\n"
      "reserve = {}\n"
      "put_off = \"2s\"\n"
      "calm = \"2s\"\n"
      "approval = false\n",
      fmt::join(voter_names(scenario_), "\", \""), state_directories_[proxy], spec.lease / 1ms,
      spec.isolated_after / 1ms, spec.most_out, spec.most_out, spec.most_out, spec.reserve);
  return membership + maintenance;
}

void ClusterDeployment::apply(const emulator::FaultSpec& fault,
                              const std::vector<std::uint32_t>& affected, FaultPhase phase) {
  const bool begins = phase == FaultPhase::kBegins;
  if (fault.kind != emulator::FaultKind::kGossipDegraded) {
    set_partitioned(fault, affected, begins);
  } else if (begins) {
    network_->set_impairment(fault.factor, fault.factor / kLossPerDuplication, fault.delay);
  } else {
    network_->set_impairment(0, 0, Duration{0});
  }
}

void ClusterDeployment::set_partitioned(const emulator::FaultSpec& fault,
                                        const std::vector<std::uint32_t>& affected,
                                        bool partitioned) {
  std::vector<bool> inside(scenario_.proxies);
  for (const std::uint32_t proxy : affected) {
    inside[proxy] = true;
  }
  for (std::size_t from = 0; from < inside.size(); ++from) {
    for (std::size_t to = 0; to < inside.size(); ++to) {
      const bool in_direction = fault.way == emulator::Direction::kBoth ||
                                inside[from] == (fault.way == emulator::Direction::kThere);
      if (inside[from] != inside[to] && in_direction) {
        network_->set_partitioned(from, to, partitioned);
      }
    }
  }
}

}  // namespace beechhill::testbed
