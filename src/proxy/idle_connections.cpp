#include "proxy/idle_connections.h"

#include <chrono>
#include <iterator>
#include <utility>

namespace beechhill::proxy {

using runtime::Clock;
using runtime::TimePoint;

namespace {

// A connection is closed when it has been idle for the backend's idle timeout divided by this, so
// that the proxy closes it before the backend does.
constexpr int kIdleTimeoutDivisor = 2;

}  // namespace

void BackendConnection::on_readable() {
  owner_->add_readable(*this);
}

TimePoint IdleConnections::settled_at(const BackendConnection& connection) const {
  return connection.last_response_at
             ? *connection.last_response_at + settling_time_.at(Clock::now())
             : TimePoint::min();
}

bool IdleConnections::check_unused(BackendConnection& connection) {
  switch (connection.stream->unsolicited_input()) {
    case net::UnsolicitedInput::kNone:
      return true;
    case net::UnsolicitedInput::kBytes:
      settling_time_.report_unsolicited_bytes(Clock::now());
      connection.end_reason = EndReason::kUnsolicitedBytes;
      return false;
    case net::UnsolicitedInput::kEnd:
      break;
  }
  connection.end_reason = EndReason::kBackendClosed;
  return false;
}

std::unique_ptr<BackendConnection> IdleConnections::take(TimePoint deadline) {
  close_stale();
  while (!connections_.empty()) {
    const auto position = find_preferred();
    if (settled_at(**position) > deadline) {
      return nullptr;
    }
    // A request on a connection that the backend has closed would be reset. epoll may not have
    // reported the close yet, so the socket is checked.
    std::unique_ptr<BackendConnection> connection = remove(position);
    if (check_unused(*connection)) {
      return connection;
    }
  }
  return nullptr;
}

// Returns the most recently used connection that is settled, or else the one that will be first.
// The list is ordered by the start of idleness, so only the connections of the last few
// milliseconds are skipped.
IdleConnections::List::iterator IdleConnections::find_preferred() {
  const TimePoint now = Clock::now();
  auto position = std::prev(connections_.end());
  while (position != connections_.begin() && settled_at(**position) > now) {
    --position;
  }
  return position;
}

void IdleConnections::put(std::unique_ptr<BackendConnection> connection) {
  BackendConnection& idle = *connection;
  idle.idle_since_ = Clock::now();
  idle.owner_ = this;
  idle.stream->watch(&idle);
  // The backend may have closed the connection along with its response; epoll does not report that
  // again, so the socket is checked.
  if (!check_unused(idle)) {
    return;
  }
  idle.position_ = connections_.insert(connections_.end(), std::move(connection));
  if (connections_.size() == 1) {
    changed_.notify();
  }
}

std::unique_ptr<BackendConnection> IdleConnections::remove(List::iterator position) {
  std::unique_ptr<BackendConnection> connection = std::move(*position);
  connections_.erase(position);
  connection->stream->watch(nullptr);
  remove_readable(*connection);
  connection->owner_ = nullptr;
  return connection;
}

void IdleConnections::add_readable(BackendConnection& connection) {
  if (connection.readable_index_) {
    return;
  }
  connection.readable_index_ = readable_.size();
  readable_.push_back(&connection);
  changed_.notify();
}

void IdleConnections::remove_readable(BackendConnection& connection) {
  if (!connection.readable_index_) {
    return;
  }
  BackendConnection* const moved = readable_.back();
  readable_[*connection.readable_index_] = moved;
  moved->readable_index_ = connection.readable_index_;
  readable_.pop_back();
  connection.readable_index_.reset();
}

void IdleConnections::close_all(EndReason reason) {
  while (!connections_.empty()) {
    close(std::prev(connections_.end()), reason);
  }
}

TimePoint IdleConnections::next_expiry() const {
  return oldest_since() + settings_.backend_idle_timeout / kIdleTimeoutDivisor;
}

void IdleConnections::close_stale() {
  while (!readable_.empty()) {
    BackendConnection& connection = *readable_.back();
    remove_readable(connection);
    if (!check_unused(connection)) {
      remove(connection.position_);
    }
  }
  const TimePoint now = Clock::now();
  while (!connections_.empty() && next_expiry() <= now) {
    close_oldest(EndReason::kIdle);
  }
}

}  // namespace beechhill::proxy
