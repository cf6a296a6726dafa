// A fake discovery server: sends the endpoint list in the protocol page's form, as a snapshot or as
// a watch stream of changes.
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

/// Each proxy has one of its own, so that proxies learn of a change at different times. Runs on the
/// scheduler's thread, and must outlive the scheduler's run.
class FakeDiscovery {
 public:
  /// `observations`, if any, must outlive it; `proxy`: whose discovery this is in them.
  FakeDiscovery(runtime::Scheduler& scheduler, const TestbedClock& clock, std::size_t proxy = 0,
                ObservationLog* observations = nullptr);
  std::string address_text() const { return net::to_string(listener_.address()); }

  /// From `at` on the list has that row, or lacks it if it is terminated. Changes are sent in the
  /// order of the calls: one is never sent before an earlier call's.
  void publish(Json::Value row, const Endpoint& endpoint, Time at);
  /// While unresponsive it keeps connections open and sends nothing. Calls nest.
  void set_unresponsive(bool unresponsive);
  /// From now on the list is the one of time `to`, with that version; watches end. nullopt: the
  /// present list again.
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
  std::vector<Change> changes_;  // of the whole run
  std::size_t version_ = 0;      // how many of them the list has
  std::map<std::string, Json::Value> rows_;
  std::map<std::string, Endpoint> endpoints_;
  std::set<Watcher*> watchers_;
  std::size_t proxy_;
  ObservationLog* observations_;
  int unresponsive_ = 0;        // nested calls
  Time horizon_ = Time::max();  // changes due later are not sent
  std::uint64_t rewinds_ = 0;
};

}  // namespace beechhill::testbed
