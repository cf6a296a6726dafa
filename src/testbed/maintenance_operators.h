// Emulates two independent operators, each of whom requests maintenance of half of the backends
// through the proxies' operator interface.
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

/// Progress of the operators' maintenance requests.
struct MaintenanceOutcome {
  std::uint32_t backends_done = 0;  // number of backends that were worked on and restarted
  std::uint32_t max_out = 0;        // maximum number of backends out at the same time
  std::uint32_t open_requests = 0;  // requests that are open in the last status from a proxy
  std::string last_status;          // JSON text of the last status
  Time completed_at{0};             // when all requests were first reported as completed; 0: never
};

/// The two operators of a run. Objects passed by reference must outlive this object, and it must
/// outlive the scheduler's run.
class MaintenanceOperators {
 public:
  /// `admin_addresses` holds the addresses of the proxies' operator interfaces, indexed by proxy.
  MaintenanceOperators(runtime::Scheduler& scheduler, const TestbedClock& clock,
                       const emulator::Scenario& scenario, FakeServices& services,
                       ObservationLog& observations, std::vector<sockaddr_in> admin_addresses);
  /// Submits each operator's request until a proxy accepts it, then works on each backend that is
  /// out, restarts it and reports it as done. Runs until the scheduler stops.
  runtime::Task<> run();
  const MaintenanceOutcome& outcome() const { return outcome_; }

 private:
  static constexpr std::size_t kOperators = 2;
  // The state of a backend in the maintenance procedure, as a proxy reports it.
  struct Workflow {
    EndpointId backend = 0;
    std::string backend_name;
    std::string request;
    std::uint64_t fencing_token = 0;
    bool out = false;  // out of service, so that work may begin
  };
  runtime::Task<> submit_requests();
  runtime::Task<> poll_status();
  runtime::Task<> report_done(Workflow workflow);
  runtime::Task<HttpResponse> call(std::size_t proxy, std::string method, std::string target);
  void begin_work(const Workflow& workflow);
  void finish_due_work();
  void update_outcome(const Json::Value& status);
  std::string backend_names(std::size_t operator_number) const;
  static Workflow read_workflow(const Json::Value& json);

  runtime::Scheduler& scheduler_;
  const TestbedClock& clock_;
  const emulator::Scenario& scenario_;
  FakeServices& services_;
  ObservationLog& observations_;
  const std::vector<sockaddr_in> admin_addresses_;  // indexed by proxy
  std::size_t poll_round_ = 0;                      // selects the proxy to call
  std::array<bool, kOperators> submitted_{};
  // Time at which the work on a backend ends, for the backends that are being worked on.
  std::map<EndpointId, runtime::TimePoint> work_ends_;
  std::map<EndpointId, std::uint64_t>
      last_fencing_token_;                    // token of the last work on each backend
  std::set<EndpointId> unreported_backends_;  // work is done but not yet reported
  MaintenanceOutcome outcome_;
};

}  // namespace beechhill::testbed
