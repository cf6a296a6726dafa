#include "bootstrap/server.h"

#include <sys/signalfd.h>
#include <unistd.h>

#include <csignal>
#include <cstdint>
#include <exception>
#include <string_view>
#include <utility>
#include <variant>

#include "log/log.h"

namespace beechhill::bootstrap {
namespace {

using hot_restart::HotRestartActor;
using hot_restart::SharedStateDirectory;

// Time for which a process waits for discovery before it serves from the configured endpoint list,
// if another process of the same proxy can serve in the meantime.
constexpr std::chrono::milliseconds kDiscoveryTimeout{1500};

bool has_other_process(const RestoredState& restored) {
  return restored.shared_directory && restored.shared_directory->process_group_status().alive > 0;
}

}  // namespace

Server::Server(const config::Config& config, const config::OperatorSettings& settings,
               std::string operator_file, net::FileDescriptor signals)
    : Server(config, settings, std::move(operator_file), std::move(signals),
             restore_state(config, settings)) {
}

Server::Server(const config::Config& config, const config::OperatorSettings& settings,
               std::string operator_file, net::FileDescriptor signals, RestoredState restored)
    : config_(config),
      settings_(settings),
      operator_file_(std::move(operator_file)),
      signals_(std::move(signals)),
      descriptors_(allocate_descriptors(config)),
      telemetry_(config.named_settings.classes.size()),
      buffer_budget_(body_memory_bytes(config, false)),
      trace_ids_(std::move(restored.trace_ids)),
      backend_pool_(descriptors_.for_backends(), buffer_budget_, telemetry_,
                    config.named_settings.settings),
      endpoint_watch_(scheduler_, config),
      snapshot_store_(std::move(restored.snapshot_store)),
      decisions_(
          scheduler_, config,
          [this](proxy::DecisionMailbox& inbox, EndpointId endpoint, const sockaddr_in& address) {
            return make_backend(inbox, endpoint, address);
          },
          endpoint_watch_.inbox(), settings.subset, std::move(restored.excluded_backends),
          restored.endpoint_records),
      discovery_deadline_(runtime::Clock::now() + kDiscoveryTimeout),
      await_discovery_(has_other_process(restored)),
      listener_(
          scheduler_, decisions_.inbox(), config, telemetry_, buffer_budget_, trace_ids_,
          descriptors_.for_clients(), [this] { return may_serve(); }, restored.drained),
      hot_restart_(scheduler_, std::move(restored.shared_directory), decisions_.inbox(),
                   listener_.inbox(),
                   [this](const SharedStateDirectory::ProcessGroupStatus& others) {
                     return exchange_status(others);
                   }) {
  backend_pool_.endpoints_are_current = [this] { return decisions_.endpoints_are_current(); };
  scheduler_.spawn(hot_restart_.run());
  scheduler_.spawn(decisions_.run());
  scheduler_.spawn(endpoint_watch_.run(decisions_.inbox()));
  scheduler_.spawn(listener_.run_accept_loop());
  start_cluster();
  scheduler_.spawn(run_listener());
  start_admin_server();
  scheduler_.spawn(handle_signals());
}

void Server::run() {
  log_serving();
  if (snapshot_store_) {
    scheduler_.spawn(save_snapshots_periodically());
  }
  scheduler_.run();
  if (snapshot_store_) {
    save_snapshot();
  }
}

void Server::start_cluster() {
  cluster_ = join_cluster({scheduler_, config_, settings_, decisions_, hot_restart_.inbox(),
                           telemetry_, [this] { return listener_.is_shutting_down(); }});
}

void Server::start_admin_server() {
  if (!config_.admin) {
    return;
  }
  const auto is_ready = [this] {
    return listener_.is_serving() && hot_restart_.readiness_published();
  };
  admin_server_.emplace(scheduler_, *config_.admin, decisions_.inbox(), hot_restart_.inbox(),
                        telemetry_, buffer_budget_, trace_ids_, config_.named_settings.classes,
                        is_ready, cluster_ ? cluster_->admin_handler() : admin::ClusterHandler{});
  scheduler_.spawn(admin_server_->run());
}

std::unique_ptr<proxy::Backend> Server::make_backend(proxy::DecisionMailbox& inbox,
                                                     EndpointId endpoint,
                                                     const sockaddr_in& address) {
  return std::make_unique<proxy::BackendActor>(scheduler_, inbox, backend_pool_,
                                               config_.named_settings.settings, endpoint, address);
}

// Returns whether the listener may accept clients. The configured endpoint list may be out of date,
// so if another process of the same proxy can serve in the meantime, this process first waits for
// an endpoint list from discovery, at most for kDiscoveryTimeout.
bool Server::may_serve() const {
  return decisions_.ready() && decisions_.serving_permitted() &&
         (!await_discovery_ || decisions_.has_discovery_update() ||
          runtime::Clock::now() >= discovery_deadline_);
}

// Adjusts the limits on descriptors and body memory to what the other processes of the same proxy
// use. Returns the status of this process that is published to them.
HotRestartActor::ProcessStatus Server::exchange_status(
    const SharedStateDirectory::ProcessGroupStatus& others) {
  const DescriptorAllocation allocation = descriptors_.shared_with(others);
  listener_.descriptor_budget().set_limit(allocation.for_clients());
  backend_pool_.descriptor_budget.set_limit(allocation.for_backends());
  buffer_budget_.set_limit(body_memory_bytes(config_, others.alive > 0));
  const std::size_t used = listener_.descriptor_budget().used() +
                           backend_pool_.descriptor_budget.used() + reserved_descriptors();
  return {listener_.is_serving(), static_cast<std::uint32_t>(used)};
}

runtime::Task<> Server::handle_signals() {
  runtime::IoSource io(scheduler_, signals_.get());
  bool shutting_down = false;
  for (;;) {
    signalfd_siginfo info{};
    if (::read(signals_.get(), &info, sizeof info) < 0) {
      runtime::Wait wait(scheduler_);
      wait.readable(io);
      co_await wait;
    } else if (info.ssi_signo == SIGHUP) {
      reload();
    } else if (!shutting_down) {
      shutting_down = begin_shutdown();
    }
  }
}

// Starts a graceful shutdown. Returns false if the listener's mailbox is full; the next SIGTERM or
// SIGINT then tries again.
bool Server::begin_shutdown() {
  const bool has_successor = hot_restart_.has_successor();
  log::info("ending", {{"succeeded", has_successor}});
  if (listener_.inbox().post({proxy::ListenerCommandType::kShutdown, has_successor, nullptr})) {
    return true;
  }
  log::dropped_message("end");
  return false;
}

// Reads both files again. Applies discovery's address from the configuration, and the log level and
// the membership keys from the operator file. If either file is invalid, logs the error and changes
// nothing.
void Server::reload() {
  try {
    const sockaddr_in discovery = config::reload_config().discovery;
    const config::OperatorSettings settings = config::load_operator_settings(operator_file_);
    // Replaces a pending redirection instead of queueing a second one: the mailbox may stay full
    // while a connection attempt to an unreachable discovery is in progress.
    endpoint_watch_.inbox().replace(proxy::RedirectWatch{discovery},
                                    [](const proxy::EndpointWatchMessage& message) {
                                      return std::holds_alternative<proxy::RedirectWatch>(message);
                                    });
    log::set_level(settings.log.level);
    if (cluster_) {
      cluster_->reload(settings);
    }
    const std::string address = net::to_string(discovery);
    log::info("configuration_read", {{"discovery", std::string_view(address)}});
  } catch (const std::exception& error) {
    log::fault("configuration_kept", error);
  }
}

// Runs the listener and stops the scheduler once the graceful shutdown is complete.
runtime::Task<> Server::run_listener() {
  co_await listener_.run_lifecycle();
  if (cluster_) {
    cluster_->leave();
  }
  log::info("ended");
  scheduler_.stop();
}

runtime::Task<> Server::save_snapshots_periodically() {
  for (;;) {
    runtime::Wait wait(scheduler_);
    wait.until(runtime::Clock::now() + settings_.snapshot.interval);
    co_await wait;
    save_snapshot();
  }
}

void Server::save_snapshot() {
  snapshot_store_->save_async(decisions_.endpoint_records(), decisions_.excluded_backends(),
                              unix_time());
}

void Server::log_serving() const {
  const std::string address = net::to_string(listener_.address());
  const std::string admin = admin_server_ ? net::to_string(admin_server_->address()) : "none";
  log::info("serving", {{"address", std::string_view(address)},
                        {"name", std::string_view(config_.name)},
                        {"admin", std::string_view(admin)}});
}

}  // namespace beechhill::bootstrap
