// Two operators who do not know of each other and each ask, through the proxies' operator
// interface, for maintenance of half of all backends.
#pragma once

#include <json/json.h>

#include <array>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "emulator/scenario.h"
#include "runtime/scheduler.h"
#include "testbed/fake_services.h"
#include "testbed/http_client.h"
#include "testbed/observation_log.h"
#include "testbed/testbed_clock.h"

namespace beechhill::testbed {

/// What became of their requests.
struct MaintenanceOutcome {
  std::uint32_t backends_done = 0;  // taken out, worked on and restarted
  std::uint32_t max_out = 0;        // the most that were out at one time
  std::uint32_t open_requests = 0;  // by the last status that a proxy gave
  std::string last_status;          // that status, as the proxy wrote it
  Time completed_at{0};             // when the last request was first seen completed; 0: never
};

/// What it borrows must outlive it, and it must outlive the scheduler's run.
class MaintenanceOperators {
 public:
  /// `admin_addresses`: of the proxies' operator interface.
  MaintenanceOperators(runtime::Scheduler& scheduler, const TestbedClock& clock,
                       const emulator::Scenario& scenario, FakeServices& services,
                       ObservationLog& observations, std::vector<sockaddr_in> admin_addresses);
  /// Submits the requests until both are taken, then works on each backend that is out, restarts it
  /// and reports it done. Runs until the scheduler stops.
  runtime::Task<> run();
  const MaintenanceOutcome& outcome() const { return outcome_; }

 private:
  static constexpr std::size_t kOperators = 2;
  // A backend's place in the procedure, as a proxy reports it.
  struct Workflow {
    EndpointId backend = 0;
    std::string backend_name;
    std::string request;
    std::uint64_t fencing_token = 0;
    bool out = false;  // it may be worked on
  };
  runtime::Task<> submit_requests();
  runtime::Task<> poll_status();
  runtime::Task<> report_done(Workflow workflow);
  runtime::Task<HttpResponse> call(std::size_t proxy, std::string method, std::string target);
  void begin_work(const Workflow& workflow);
  void finish_due_work();
  void update_outcome(const Json::Value& status);
  std::string backends_of(std::size_t operator_number) const;
  static Workflow read_workflow(const Json::Value& json);

  runtime::Scheduler& scheduler_;
  const TestbedClock& clock_;
  const emulator::Scenario& scenario_;
  FakeServices& services_;
  ObservationLog& observations_;
  const std::vector<sockaddr_in> admin_addresses_;  // by proxy
  std::size_t round_ = 0;                           // chooses the proxy that is asked
  std::array<bool, kOperators> submitted_{};
  std::map<EndpointId, runtime::TimePoint> work_ends_;      // of backends that are worked on
  std::map<EndpointId, std::uint64_t> last_fencing_token_;  // that work began with
  std::set<EndpointId> done_;                               // not reported yet
  MaintenanceOutcome outcome_;
};

}  // namespace beechhill::testbed
