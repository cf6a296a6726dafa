// Connections to a backend that carry no request and are kept for reuse.
#pragma once

#include <netinet/in.h>

#include <chrono>
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
#include "proxy/settling_time.h"
#include "runtime/scheduler.h"

namespace beechhill::proxy {

class IdleConnections;

/// A connection to a backend. The destructor logs the end of the connection.
struct BackendConnection final : runtime::IoWatcher {
  BackendConnection(DescriptorBudget& budget, const sockaddr_in& to) : slot(budget), address(to) {}
  ~BackendConnection() {
    log_connection_end("peer", net::to_string(address), end_reason, requests);
  }
  BackendConnection(const BackendConnection&) = delete;
  BackendConnection& operator=(const BackendConnection&) = delete;

  /// Called only while the connection is idle.
  void on_readable() override;

  DescriptorBudget::Slot slot;
  sockaddr_in address;
  /// Unix time of the start of the process that the backend had when the connection was opened.
  std::chrono::milliseconds backend_started_at{0};
  std::unique_ptr<net::Stream> stream;
  /// The reason logged when the connection ends. The default applies to a cancelled attempt, which
  /// destroys its connection without setting a reason.
  EndReason end_reason = EndReason::kAttemptCancelled;
  std::uint64_t requests = 0;
  /// When the latest response on the connection ended; empty before the first one.
  std::optional<runtime::TimePoint> last_response_at;
  /// Whether the latest response began with its request's trace id.
  bool echoes_trace_ids = false;

 private:
  friend class IdleConnections;
  /// Null unless the connection is idle.
  IdleConnections* owner_ = nullptr;
  runtime::TimePoint idle_since_{};
  std::list<std::unique_ptr<BackendConnection>>::iterator position_;
  /// Index in the owner's `readable_`; empty if the connection is not in that list.
  std::optional<std::size_t> readable_index_;
};

/// The idle connections of one backend, ordered by the time at which they became idle. A connection
/// that the backend has closed or written to is closed by the next take() or close_stale().
class IdleConnections {
 public:
  /// `changed` is notified when a connection becomes readable and when the first connection is
  /// added. The owner must then call close_stale(), and call it again at next_expiry(). `settings`
  /// states the idle timeout. All arguments must outlive the object.
  IdleConnections(runtime::Notifier& changed, const Settings& settings, SettlingTime& settling_time)
      : changed_(changed), settings_(settings), settling_time_(settling_time) {}
  ~IdleConnections() { close_all(EndReason::kBackendDrained); }
  IdleConnections(const IdleConnections&) = delete;
  IdleConnections& operator=(const IdleConnections&) = delete;

  /// Returns the most recently used connection that is settled, or else the one that will be first,
  /// or null if there is none that will be by `deadline`. Before sending a request, the caller must
  /// wait until the connection is settled and then call check_unused().
  std::unique_ptr<BackendConnection> take(runtime::TimePoint deadline);
  /// Returns from when on `connection` may carry another request.
  runtime::TimePoint settled_at(const BackendConnection& connection) const;
  /// Returns whether the backend has neither closed `connection` nor sent unsolicited bytes on it.
  /// If it has, sets the reason for the connection's end.
  bool check_unused(BackendConnection& connection);
  /// Adds `connection`, or closes it if the backend has closed it.
  void put(std::unique_ptr<BackendConnection> connection);

  /// Closes the connections that the backend has closed or written to and those past the idle
  /// timeout. Takes constant time for each closed connection.
  void close_stale();
  void close_all(EndReason reason);
  /// Requires !empty().
  void close_oldest(EndReason reason) { close(connections_.begin(), reason); }

  bool empty() const { return connections_.empty(); }
  /// Requires !empty().
  runtime::TimePoint oldest_since() const { return connections_.front()->idle_since_; }
  /// Returns when the oldest connection reaches the idle timeout. Requires !empty().
  runtime::TimePoint next_expiry() const;

 private:
  friend struct BackendConnection;
  using List = std::list<std::unique_ptr<BackendConnection>>;

  List::iterator find_preferred();
  std::unique_ptr<BackendConnection> remove(List::iterator position);
  void close(List::iterator position, EndReason reason) { remove(position)->end_reason = reason; }
  void add_readable(BackendConnection& connection);
  void remove_readable(BackendConnection& connection);

  runtime::Notifier& changed_;
  const Settings& settings_;
  SettlingTime& settling_time_;
  List connections_;
  /// Connections that the backend has closed or written to.
  std::vector<BackendConnection*> readable_;
};

}  // namespace beechhill::proxy
