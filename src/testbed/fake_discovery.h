// A fake discovery server that sends the endpoint list in the format of the discovery protocol, as
// a snapshot or as a watch stream of changes.
#pragma once

#include <json/json.h>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "net/socket.h"
#include "runtime/scheduler.h"
#include "testbed/observation_log.h"
#include "testbed/testbed_clock.h"

namespace beechhill::testbed {

/// The discovery server of one proxy. Each proxy has its own, so that a change can reach the
/// proxies at different times. Runs on the scheduler's thread and must outlive the scheduler's run.
class FakeDiscovery {
 public:
  /// `observations` may be null; otherwise it must outlive the server. `proxy` identifies the
  /// served proxy in the observations.
  FakeDiscovery(runtime::Scheduler& scheduler, const TestbedClock& clock, std::size_t proxy = 0,
                ObservationLog* observations = nullptr);
  std::string address_text() const { return net::to_string(listener_.address()); }

  /// Changes the list at time `at`: adds `row`, which replaces an earlier row of the same host, or
  /// removes the host if the health in `row` is "terminated". Changes are sent in the order of the
  /// calls, even if a later call has an earlier `at`.
  void publish(Json::Value row, const Endpoint& endpoint, Time at);
  /// While unresponsive, the server keeps connections open and sends nothing. Calls nest: the
  /// server responds again when each call with true has been matched by one with false.
  void set_unresponsive(bool unresponsive);
  /// Rewinds the list and its version to their state at time `to` and ends all watches; nullopt
  /// restores the current list.
  void rewind(std::optional<Time> to);

 private:
  struct Change {
    Time due{0};
    Json::Value row;
    Endpoint endpoint;
  };
  class Watcher;
  runtime::Task<> accept();
  runtime::Task<> serve(std::shared_ptr<net::Stream> stream);
  runtime::Task<> send_snapshot(net::Stream& stream);
  runtime::Task<> send_watch_stream(net::Stream& stream);
  runtime::Task<> wait_for_change(Watcher& watcher, std::size_t version);
  runtime::Task<> wait_while_unresponsive();
  void apply_due_changes();
  void wake_watchers();
  Json::Value snapshot() const;
  Json::Value changes_since(std::size_t version) const;
  void observe_snapshot();
  void observe_changes(std::size_t from, std::size_t to);

  runtime::Scheduler& scheduler_;
  const TestbedClock& clock_;
  net::Listener listener_;
  std::vector<Change> changes_;  // every change published so far, due or not
  std::size_t version_ = 0;      // number of changes applied to the list
  std::map<std::string, Json::Value> rows_;
  std::map<std::string, Endpoint> endpoints_;
  std::set<Watcher*> watchers_;
  std::size_t proxy_;
  ObservationLog* observations_;
  int unresponsive_ = 0;              // set_unresponsive(true) calls in effect
  Time visible_until_ = Time::max();  // changes due after this time are not sent
  std::uint64_t rewinds_ = 0;
};

}  // namespace beechhill::testbed
