// A backend's connections that carry no request, kept for the next one.
#pragma once

#include <netinet/in.h>

#include <cstddef>
#include <cstdint>
#include <list>
#include <memory>
#include <optional>
#include <vector>

#include "beechhill/balancer.h"
#include "net/socket.h"
#include "proxy/connection_log.h"
#include "proxy/descriptor_budget.h"
#include "runtime/scheduler.h"

namespace beechhill::proxy {

class IdleConnections;

/// One connection to a backend. Logs its end.
struct BackendConnection final : runtime::IoWatcher {
  BackendConnection(DescriptorBudget& budget, const sockaddr_in& to) : slot(budget), address(to) {}
  ~BackendConnection() {
    log_connection_end("peer", net::to_string(address), end_reason, requests);
  }
  BackendConnection(const BackendConnection&) = delete;
  BackendConnection& operator=(const BackendConnection&) = delete;

  /// Called only while it is idle.
  void on_readable() override;

  DescriptorBudget::Slot slot;
  sockaddr_in address;
  std::unique_ptr<net::Stream> stream;
  /// What is logged if nothing else is known: its attempt was cancelled.
  EndReason end_reason = EndReason::kAttemptCancelled;
  std::uint64_t requests = 0;
  /// The latest response began with its request's trace id.
  bool echoes_trace_ids = false;

 private:
  friend class IdleConnections;
  /// Null unless it is idle.
  IdleConnections* owner_ = nullptr;
  runtime::TimePoint idle_since_{};
  std::list<std::unique_ptr<BackendConnection>>::iterator position_;
  /// Index in the owner's `readable_`, where it is there.
  std::optional<std::size_t> readable_index_;
};

/// Idle connections of one backend, ordered by when they became idle. A connection that its backend
/// closes, or writes to, is closed at the next take() or close_stale().
class IdleConnections {
 public:
  /// `changed` is notified when there is something for close_stale(), now or at next_expiry().
  /// `idle_timeout`: after which a connection is closed. `settings` and `changed` outlive this.
  IdleConnections(runtime::Notifier& changed, const Settings& settings)
      : changed_(changed), settings_(settings) {}
  ~IdleConnections() { close_all(EndReason::kBackendDrained); }
  IdleConnections(const IdleConnections&) = delete;
  IdleConnections& operator=(const IdleConnections&) = delete;

  /// The one that was used last, but preferably not within kSettlingTime of its response: bytes
  /// that do not belong to that may still arrive. Null where there is none.
  std::unique_ptr<BackendConnection> take();
  /// Keeps `connection`, unless the backend has closed it.
  void put(std::unique_ptr<BackendConnection> connection);

  /// Closes those that the backend has closed or written to, and those beyond the idle timeout.
  /// O(1) for each of them.
  void close_stale();
  void close_all(EndReason reason);
  /// Not while empty().
  void close_oldest(EndReason reason) { close(connections_.begin(), reason); }

  bool empty() const { return connections_.empty(); }
  /// Not while empty().
  runtime::TimePoint oldest_since() const { return connections_.front()->idle_since_; }
  /// When the oldest is beyond the idle timeout. Not while empty().
  runtime::TimePoint next_expiry() const;

 private:
  friend struct BackendConnection;
  using List = std::list<std::unique_ptr<BackendConnection>>;

  List::iterator preferred();
  std::unique_ptr<BackendConnection> remove(List::iterator position);
  void close(List::iterator position, EndReason reason) { remove(position)->end_reason = reason; }
  void add_readable(BackendConnection& connection);
  void remove_readable(BackendConnection& connection);

  runtime::Notifier& changed_;
  const Settings& settings_;
  List connections_;
  /// Those that the backend has closed or written to.
  std::vector<BackendConnection*> readable_;
};

}  // namespace beechhill::proxy
