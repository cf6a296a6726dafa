#include "testbed/proxy_group.h"

#include <fmt/format.h>

#include <chrono>

#include "testbed/proxy_configuration.h"

namespace beechhill::testbed {

using namespace std::chrono_literals;
using runtime::Task;

namespace {

std::vector<sockaddr_in> addresses_of(const std::vector<ReservedPort>& ports) {
  std::vector<sockaddr_in> addresses;
  addresses.reserve(ports.size());
  for (const ReservedPort& port : ports) {
    addresses.push_back(port.address());
  }
  return addresses;
}

}  // namespace

std::string proxy_name(std::size_t proxy) {
  return fmt::format("proxy-{}", proxy);
}

ProxyGroup::ProxyGroup(runtime::Scheduler& scheduler, const emulator::Scenario& scenario,
                       const std::string& program, FakeServices& services)
    : scheduler_(scheduler), scenario_(scenario) {
  const bool has_cluster = scenario_.group.voters > 0;
  if (scenario_.snapshot_every || has_cluster) {
    add_state_directories();
  }
  if (has_cluster) {
    std::vector<std::string> paths;
    paths.reserve(state_directories_.size());
    for (const auto& state_directory : state_directories_) {
      paths.push_back(state_directory->path());
    }
    cluster_ =
        std::make_unique<ClusterDeployment>(scheduler, scenario_, directory_, std::move(paths));
  }
  for (std::size_t proxy = 0; proxy < scenario_.proxies; ++proxy) {
    const sockaddr_in address = ports_.emplace_back().address();
    Json::Value config =
        proxy_configuration(scenario_, proxy_name(proxy), net::to_string(address),
                            services.discovery(proxy).address_text(), proxy_seed(scenario_, proxy));
    if (has_cluster) {
      config["admin_addr"] = net::to_string(admin_ports_.emplace_back().address());
    }
    processes_.push_back(std::make_unique<ProxyProcess>(directory_, program, std::move(config),
                                                        address, operator_file(proxy)));
  }
}

void ProxyGroup::add_state_directories() {
  for (std::size_t proxy = 0; proxy < scenario_.proxies; ++proxy) {
    const std::string name = proxy_name(proxy);
    state_directories_.push_back(std::make_unique<StateDirectoryFaults>(
        directory_.file(name + ".state"), fmt::format("beechhill-{}.snapshot.new", name),
        scenario_.seed + proxy));
  }
}

std::string ProxyGroup::operator_file(std::size_t proxy) const {
  std::string text;
  if (scenario_.snapshot_every) {
    text = fmt::format("[snapshot]\nfolder = \"{}\"\nevery = \"{}ms\"\n",
                       state_directories_[proxy]->path(), *scenario_.snapshot_every / 1ms);
  }
  if (cluster_) {
    text += cluster_->operator_file_tables(proxy);
  }
  return text;
}

Task<> ProxyGroup::start() {
  for (const auto& process : processes_) {
    process->start();
  }
  for (const auto& process : processes_) {
    co_await wait_until_ready(scheduler_, *process);
  }
}

void ProxyGroup::shut_down() {
  for (const auto& process : processes_) {
    process->resume();
    process->request_shutdown();
  }
  for (const auto& process : processes_) {
    process->shut_down();
  }
}

std::vector<sockaddr_in> ProxyGroup::addresses() const {
  return addresses_of(ports_);
}

std::vector<sockaddr_in> ProxyGroup::admin_addresses() const {
  return addresses_of(admin_ports_);
}

}  // namespace beechhill::testbed
