#include "testbed/fake_discovery.h"

#include <fmt/format.h>

#include <algorithm>

#include "http/message.h"
#include "http/writer.h"
#include "testbed/server_io.h"
#include "testbed/task_helpers.h"

namespace beechhill::testbed {

using namespace std::chrono_literals;
using net::IoResult;
using runtime::Clock;
using runtime::Task;
using runtime::TimePoint;
using runtime::Wait;

namespace {

// Time without a change after which a watch stream sends an empty line as a heartbeat.
constexpr auto kWatchHeartbeat = 2s;
constexpr const char* kRemovedHealth = "terminated";

std::string compact_json(const Json::Value& value) {
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, value);
}

Json::Value list_json(std::size_t version, bool complete) {
  Json::Value list;
  list["seq"] = static_cast<Json::UInt64>(version);
  list["whole"] = complete;
  list["hosts"] = Json::Value(Json::arrayValue);
  return list;
}

}  // namespace

// Registers a watch stream in the set of watchers while the object exists, to notify the stream of
// changes.
class FakeDiscovery::Watcher {
 public:
  explicit Watcher(std::set<Watcher*>& watchers) : watchers_(watchers) { watchers_.insert(this); }
  ~Watcher() { watchers_.erase(this); }
  Watcher(const Watcher&) = delete;
  Watcher& operator=(const Watcher&) = delete;
  runtime::Notifier& changed() { return changed_; }

 private:
  std::set<Watcher*>& watchers_;
  runtime::Notifier changed_;
};

FakeDiscovery::FakeDiscovery(runtime::Scheduler& scheduler, const TestbedClock& clock,
                             std::size_t proxy, ObservationLog* observations)
    : scheduler_(scheduler),
      clock_(clock),
      listener_(scheduler, any_loopback_port()),
      proxy_(proxy),
      observations_(observations) {
  scheduler_.spawn(accept());
}

void FakeDiscovery::publish(Json::Value row, const Endpoint& endpoint, Time at) {
  if (!changes_.empty()) {
    at = std::max(at, changes_.back().due);
  }
  changes_.push_back({at, std::move(row), endpoint});
  wake_watchers();
}

void FakeDiscovery::set_unresponsive(bool unresponsive) {
  unresponsive_ += unresponsive ? 1 : -1;
}

void FakeDiscovery::rewind(std::optional<Time> to) {
  visible_until_ = to.value_or(Time::max());
  version_ = 0;
  rows_.clear();
  endpoints_.clear();
  apply_due_changes();
  ++rewinds_;
  wake_watchers();
}

void FakeDiscovery::wake_watchers() {
  for (Watcher* watcher : watchers_) {
    watcher->changed().notify();
  }
}

void FakeDiscovery::apply_due_changes() {
  const Time until = std::min(clock_.now(), visible_until_);
  for (; version_ < changes_.size() && changes_[version_].due <= until; ++version_) {
    const Change& change = changes_[version_];
    const std::string host = change.row["host"].asString();
    if (change.row["health"].asString() == kRemovedHealth) {
      rows_.erase(host);
      endpoints_.erase(host);
    } else {
      rows_[host] = change.row;
      endpoints_[host] = change.endpoint;
    }
  }
}

Json::Value FakeDiscovery::snapshot() const {
  Json::Value list = list_json(version_, true);
  for (const auto& [host, row] : rows_) {
    list["hosts"].append(row);
  }
  return list;
}

Json::Value FakeDiscovery::changes_since(std::size_t version) const {
  Json::Value list = list_json(version_, false);
  for (std::size_t i = version; i < version_; ++i) {
    list["hosts"].append(changes_[i].row);
  }
  return list;
}

void FakeDiscovery::observe_snapshot() {
  if (!observations_) {
    return;
  }
  std::vector<Endpoint> endpoints;
  endpoints.reserve(endpoints_.size());
  for (const auto& [host, endpoint] : endpoints_) {
    endpoints.push_back(endpoint);
  }
  observations_->endpoints_sent(proxy_, endpoints, UpdateKind::kSnapshot);
}

void FakeDiscovery::observe_changes(std::size_t from, std::size_t to) {
  if (!observations_) {
    return;
  }
  std::vector<Endpoint> endpoints;
  endpoints.reserve(to - from);
  for (std::size_t i = from; i < to; ++i) {
    endpoints.push_back(changes_[i].endpoint);
  }
  observations_->endpoints_sent(proxy_, endpoints, UpdateKind::kDelta);
}

Task<> FakeDiscovery::wait_while_unresponsive() {
  while (unresponsive_ > 0) {
    co_await sleep_for(scheduler_, kFaultPollInterval);
  }
}

Task<> FakeDiscovery::accept() {
  for (;;) {
    net::FileDescriptor accepted;
    sockaddr_in from{};
    const IoResult io = co_await listener_.accept(Clock::now() + kNoTimeout, accepted, from);
    if (io != IoResult::kOk) {
      continue;
    }
    auto stream = std::make_shared<net::Stream>(scheduler_, std::move(accepted));
    scheduler_.spawn(serve(std::move(stream)));
  }
}

Task<> FakeDiscovery::serve(std::shared_ptr<net::Stream> stream) {
  std::string buffer;
  http::Message request;
  const bool complete = co_await read_request(*stream, buffer, request);
  if (!complete) {
    co_return;
  }
  if (observations_) {
    observations_->snapshot_requested(proxy_);
  }
  co_await wait_while_unresponsive();
  apply_due_changes();
  if (request.target.find("watch=1") == std::string::npos) {
    co_await send_snapshot(*stream);
  } else {
    co_await send_watch_stream(*stream);
  }
}

Task<> FakeDiscovery::send_snapshot(net::Stream& stream) {
  const std::string list = compact_json(snapshot()) + "\n";
  const std::string response = http::write_response(200, "", list, true);
  const IoResult io = co_await stream.write(response, Clock::now() + kNoTimeout);
  if (io == IoResult::kOk) {
    observe_snapshot();
  }
}

// Sends a snapshot, then the changes as they become due, each time as one chunk. Returns when the
// list is rewound or the connection fails.
Task<> FakeDiscovery::send_watch_stream(net::Stream& stream) {
  Watcher watcher(watchers_);
  std::string out = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  std::string line = compact_json(snapshot()) + "\n";
  std::size_t version = version_;  // list version of the proxy once `line` is sent
  std::size_t sent_version = 0;    // the list version that the proxy has
  bool snapshot_sent = false;
  const std::uint64_t rewinds = rewinds_;
  for (;;) {
    co_await wait_while_unresponsive();
    if (rewinds_ != rewinds) {
      co_return;
    }
    out += fmt::format("{:x}\r\n{}\r\n", line.size(), line);
    const IoResult io = co_await stream.write(out, Clock::now() + kNoTimeout);
    if (io != IoResult::kOk) {
      co_return;
    }
    if (snapshot_sent) {
      observe_changes(sent_version, version);
    } else {
      observe_snapshot();
      snapshot_sent = true;
    }
    sent_version = version;
    out.clear();
    co_await wait_for_change(watcher, version);
    if (rewinds_ != rewinds) {
      co_return;
    }
    line = version_ == version ? "\n" : compact_json(changes_since(version)) + "\n";
    version = version_;
  }
}

// Waits until the list is newer than `version`, it is rewound, or the next heartbeat is due.
Task<> FakeDiscovery::wait_for_change(Watcher& watcher, std::size_t version) {
  const std::uint64_t rewinds = rewinds_;
  const TimePoint heartbeat = Clock::now() + kWatchHeartbeat;
  while (Clock::now() < heartbeat) {
    apply_due_changes();
    if (version_ > version || rewinds_ != rewinds) {
      co_return;
    }
    TimePoint wake_at = heartbeat;
    if (version_ < changes_.size() && changes_[version_].due <= visible_until_) {
      wake_at = std::min(heartbeat, clock_.time_point(changes_[version_].due));
    }
    Wait wait(scheduler_);
    wait.until(wake_at).notified(watcher.changed());
    co_await wait;
  }
}

}  // namespace beechhill::testbed
