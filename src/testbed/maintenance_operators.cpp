#include "testbed/maintenance_operators.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <memory>
#include <string_view>

#include "testbed/task_helpers.h"

namespace beechhill::testbed {

using namespace std::chrono_literals;
using runtime::Clock;
using runtime::Task;

namespace {

constexpr auto kPollInterval = 100ms;
constexpr auto kCallTimeout = 2s;
constexpr std::string_view kBackendNamePrefix = "node-";
// Offset between the indices of the proxies that the two operators call in the same round, so that
// they call different proxies.
constexpr std::size_t kOperatorStride = 3;

bool parse_json(const std::string& text, Json::Value& root) {
  const std::unique_ptr<Json::CharReader> reader(Json::CharReaderBuilder().newCharReader());
  return reader->parse(text.data(), text.data() + text.size(), &root, nullptr);
}

}  // namespace

MaintenanceOperators::MaintenanceOperators(runtime::Scheduler& scheduler, const TestbedClock& clock,
                                           const emulator::Scenario& scenario,
                                           FakeServices& services, ObservationLog& observations,
                                           std::vector<sockaddr_in> admin_addresses)
    : scheduler_(scheduler),
      clock_(clock),
      scenario_(scenario),
      services_(services),
      observations_(observations),
      admin_addresses_(std::move(admin_addresses)) {
}

Task<> MaintenanceOperators::run() {
  for (;;) {
    co_await submit_requests();
    co_await poll_status();
    finish_due_work();
    ++poll_round_;
    co_await sleep_for(scheduler_, kPollInterval);
  }
}

Task<HttpResponse> MaintenanceOperators::call(std::size_t proxy, std::string method,
                                              std::string target) {
  const sockaddr_in address = admin_addresses_[proxy % admin_addresses_.size()];
  const HttpResponse response =
      co_await call_http(scheduler_, address, std::move(method), std::move(target), kCallTimeout);
  co_return response;
}

// Returns a comma-separated list of backend names: even ids for the first operator, odd ids for the
// second.
std::string MaintenanceOperators::backend_names(std::size_t operator_number) const {
  std::string names;
  for (const auto& backend : services_.backends()) {
    if (backend->id() % kOperators == operator_number) {
      names += fmt::format("{}{}{}", names.empty() ? "" : ",", kBackendNamePrefix, backend->id());
    }
  }
  return names;
}

Task<> MaintenanceOperators::submit_requests() {
  for (std::size_t i = 0; i < kOperators; ++i) {
    if (submitted_[i]) {
      continue;
    }
    const std::string target =
        fmt::format("/api/maintenance/request?id=half-{}&at_once=2&by=staff-{}&machines={}", i, i,
                    backend_names(i));
    const HttpResponse response = co_await call(poll_round_ + kOperatorStride * i, "PUT", target);
    submitted_[i] = response.status == 200;
  }
}

MaintenanceOperators::Workflow MaintenanceOperators::read_workflow(const Json::Value& json) {
  Workflow workflow;
  workflow.backend_name = json["machine"].asString();
  workflow.backend =
      static_cast<EndpointId>(std::stoul(workflow.backend_name.substr(kBackendNamePrefix.size())));
  workflow.request = json["request"].asString();
  workflow.fencing_token = json["fence"].asUInt64();
  workflow.out = json["step"].asString() == "out";
  return workflow;
}

Task<> MaintenanceOperators::poll_status() {
  const HttpResponse response = co_await call(poll_round_, "GET", "/api/maintenance");
  Json::Value status;
  if (response.status != 200 || !parse_json(response.body, status)) {
    co_return;
  }
  outcome_.last_status = response.body;
  for (const Json::Value& json : status["courses"]) {
    const Workflow workflow = read_workflow(json);
    if (!workflow.out) {
      continue;
    }
    if (unreported_backends_.contains(workflow.backend)) {
      co_await report_done(workflow);
    }
    begin_work(workflow);
  }
  update_outcome(status);
}

Task<> MaintenanceOperators::report_done(Workflow workflow) {
  const std::string target = fmt::format("/api/maintenance/done?id={}&machine={}", workflow.request,
                                         workflow.backend_name);
  const HttpResponse response = co_await call(poll_round_, "PUT", target);
  if (response.status == 200) {
    unreported_backends_.erase(workflow.backend);
  }
}

// Begins work once for each time that the backend is taken out, which is recognized by a new
// fencing token.
void MaintenanceOperators::begin_work(const Workflow& workflow) {
  const EndpointId backend = workflow.backend;
  if (work_ends_.contains(backend) || last_fencing_token_[backend] == workflow.fencing_token) {
    return;
  }
  last_fencing_token_[backend] = workflow.fencing_token;
  work_ends_[backend] = Clock::now() + scenario_.group.work;
  observations_.set_in_maintenance(backend, true);
  outcome_.max_out = std::max(outcome_.max_out, static_cast<std::uint32_t>(work_ends_.size()));
}

void MaintenanceOperators::finish_due_work() {
  for (auto it = work_ends_.begin(); it != work_ends_.end();) {
    const auto [backend, end] = *it;
    if (Clock::now() < end) {
      ++it;
      continue;
    }
    observations_.set_in_maintenance(backend, false);
    services_.restart_backend(backend);
    ++outcome_.backends_done;
    unreported_backends_.insert(backend);
    it = work_ends_.erase(it);
  }
}

void MaintenanceOperators::update_outcome(const Json::Value& status) {
  outcome_.open_requests = 0;
  for (const Json::Value& request : status["requests"]) {
    if (request["stage"].asString() == "approved") {
      ++outcome_.open_requests;
    }
  }
  const bool all_submitted =
      std::all_of(submitted_.begin(), submitted_.end(), [](bool submitted) { return submitted; });
  if (all_submitted && outcome_.open_requests == 0 && outcome_.completed_at == Time{0}) {
    outcome_.completed_at = clock_.now();
  }
}

}  // namespace beechhill::testbed
