// Accepts clients and follows the commands that drain, resume and shut the listener down.
#pragma once

#include <cstddef>
#include <functional>
#include <memory>

#include "config/config.h"
#include "net/socket.h"
#include "proxy/client_connection.h"
#include "proxy/decision_messages.h"
#include "proxy/listener_messages.h"

namespace beechhill::proxy {

/// The socket on which clients connect, and their connections. All members are called on the
/// scheduler's thread.
class ClientListener {
 public:
  /// Listens at once. `descriptors`: how many clients' connections may be open. `has_endpoints`:
  /// whether there are endpoints to send requests to. `drained`: begin drained. The references
  /// outlive this.
  ClientListener(runtime::Scheduler& scheduler, DecisionMailbox& decisions,
                 const config::Config& config, Telemetry& telemetry, BodyBudget& body_budget,
                 std::size_t descriptors, std::function<bool()> has_endpoints,
                 bool drained = false);

  sockaddr_in address() const { return listener_->address(); }
  ListenerMailbox& inbox() { return inbox_; }

  /// Accepts until the listener's lifecycle ends it.
  runtime::Task<> run_accept_loop();

  /// Follows commands. Returns after a shutdown, when no client is left.
  runtime::Task<> run_lifecycle();

  /// Whether this process takes clients, drained or not.
  bool is_serving() const {
    return accepting_ && context_.has_endpoints() && !context_.lifecycle.is_shutting_down();
  }
  bool is_shutting_down() const { return context_.lifecycle.is_shutting_down(); }
  DescriptorBudget& descriptor_budget() { return context_.descriptor_budget; }

 private:
  runtime::Task<> await_endpoints();
  runtime::Task<> accept_backlog();
  runtime::Task<> await_descriptor();
  runtime::Task<> sleep_for(runtime::Clock::duration duration);
  void accept_client(net::FileDescriptor fd, const sockaddr_in& remote);
  void evict_one();
  void close_idle_connections();
  void process(const ListenerCommand& command);

  const config::Config& config_;
  ClientContext context_;
  std::unique_ptr<net::Listener> listener_;
  ListenerMailbox inbox_;
  runtime::Notifier shutdown_started_;
  bool accepting_ = false;
};

}  // namespace beechhill::proxy
