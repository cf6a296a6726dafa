// Accepts client connections and processes the commands that drain, resume and shut down the
// listener.
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
  /// Starts to listen. The requests' trace ids are reserved in `trace_ids`. `descriptors` is the
  /// maximum number of open client connections.
  /// `has_endpoints` returns whether there are endpoints to which requests can be sent. If
  /// `draining` is set, the listener starts in the draining state. All arguments that are passed by
  /// reference must outlive the listener.
  ClientListener(runtime::Scheduler& scheduler, DecisionMailbox& decisions,
                 const config::Config& config, Telemetry& telemetry, BufferBudget& buffer_budget,
                 TraceIdTable& trace_ids, std::size_t descriptors,
                 std::function<bool()> has_endpoints, bool draining = false);

  sockaddr_in address() const { return listener_->address(); }
  ListenerMailbox& inbox() { return inbox_; }

  /// Accepts connections. Returns when a shutdown no longer allows it.
  runtime::Task<> run_accept_loop();

  /// Processes commands. Returns after a shutdown, once all client connections are closed.
  runtime::Task<> run_lifecycle();

  /// Whether this process accepts clients and has endpoints for them. Remains true while draining.
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
