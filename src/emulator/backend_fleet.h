/// The backends of all tiers and the jobs on them. Each backend of a tier calls the next tier
/// through a proxy of its own.
#pragma once

#include <json/json.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "emulator/event_queue.h"
#include "emulator/node.h"
#include "emulator/policy.h"
#include "emulator/proxy_requests.h"
#include "emulator/random.h"
#include "emulator/scenario.h"
#include "emulator/slab.h"

namespace beechhill::emulator {

/// An attempt at its backend, or on the way there or back.
struct BackendJob {
  std::uint32_t tier = 0;
  std::uint32_t proxy = 0;
  EndpointId endpoint = 0;
  RequestId request = 0;
  std::uint32_t attempt = 0;
  ClassId class_id = 0;
  TenantId tenant = kNoTenant;
  Time deadline{0};
  /// Core-seconds at speed 1 of the whole operation, over all tiers.
  double work_s = 0;
  /// Core-seconds at speed 1 before and after its calls to the next tier.
  double first_phase_s = 0;
  double second_phase_s = 0;
  /// What of the first phase goes into a new connection.
  double handshake_s = 0;
  /// Core-seconds done for it here, and by what answered it below.
  double useful_work_s = 0;
  std::uint32_t downstream_calls_left = 0;
  bool at_backend = false;
  bool cancelled = false;
  bool in_second_phase = false;
  /// Its place in BackendState::jobs.
  std::size_t index_in_backend = 0;
  Result result = Result::kOk;
  LoadReport report;
};

enum class BackendMode {
  kUp,
  /// It takes connections from nobody and answers nothing.
  kSilent,
  /// Connections to it are refused.
  kDown,
};

struct BackendState {
  BackendState(const TierSpec& spec, std::uint64_t seed, std::uint64_t index,
               std::optional<Time> started_at, Time now);

  Node model;
  Stream random;
  /// What discovery is to say of it.
  Endpoint endpoint;
  BackendMode mode = BackendMode::kUp;
  /// Share of its jobs that a fault makes fail.
  double error_rate = 0;
  /// By how much a fault makes its load reports later.
  Duration report_delay{0};
  /// Core-seconds at speed 1 on their way to it.
  double inbound_work_s = 0;
  std::uint64_t connections_this_second = 0;
  std::uint64_t attempts_this_second = 0;
  /// The proxy through which it calls the next tier, where there is one.
  std::uint32_t downstream_proxy = 0;
  bool warming_up = false;
  std::vector<JobId> jobs;
};

/// Owns backends and jobs, and knows their true state for the oracle policy.
class BackendFleet : public TrueBackendState {
 public:
  explicit BackendFleet(Simulation& sim);

  double wait_s(Time now, std::uint32_t tier, EndpointId endpoint) const override;
  bool spares(Time now, std::uint32_t tier, EndpointId endpoint) const override;

  /// Adds a backend; `started_at` where it has started within the run and is still cold.
  EndpointId add(std::uint32_t tier, std::optional<Time> started_at);
  BackendState& at(std::uint32_t tier, EndpointId endpoint) { return backends_[tier][endpoint]; }
  std::deque<BackendState>& in_tier(std::uint32_t tier) { return backends_[tier]; }
  /// All that discovery lists now.
  std::vector<Endpoint> listed_endpoints(std::uint32_t tier) const;

  /// Its process ends, and what it has is lost; silent: without a reset of its connections.
  void stop(std::uint32_t tier, EndpointId endpoint, bool silent);
  /// Starts it again, cold, unless it has been removed for good.
  void restart(std::uint32_t tier, EndpointId endpoint);
  /// Stops it for good and takes it off discovery's list.
  void remove(std::uint32_t tier, EndpointId endpoint);

  /// The job of an attempt that its proxy is about to send; draws its calls to the next tier.
  BackendJob make_job(const ProxyState& proxy, const ProxyRequest& request, const AttemptId& id);
  JobId add_job(const BackendJob& job) { return jobs_.add(job); }
  /// Null where the job is over. Valid until the next add_job().
  BackendJob* find_job(JobId id) { return jobs_.find(id); }
  void remove_job(JobId id) { jobs_.remove(id); }
  /// The proxy no longer wants the answer. What waits for a core is dropped where the tier does so.
  void cancel(JobId id);

  void on_job_arrived(JobId id);
  void on_phase_done(JobId id);
  void on_downstream_call_due(JobId id);
  void on_downstream_answer(JobId id, bool succeeded, double useful_work_s);

  /// Closes a second of the time series.
  void record_second(std::size_t second);
  /// Writes the totals of each tier into the metrics, at the end of the run.
  void summarize();

 private:
  BackendState& backend_of(const BackendJob& job) { return at(job.tier, job.endpoint); }
  bool overloads_cold_backend(const BackendJob& job);
  void schedule_phases(const std::vector<Start>& starts);
  void finish_job(JobId id, Result result, bool holds_core);
  void respond(JobId id, Result result);
  void detach_from_backend(JobId id);
  void lose_jobs(std::uint32_t tier, EndpointId endpoint, bool reset);
  void record_peak_rates();
  Json::Value summary_of(std::uint32_t tier);

  Simulation& sim_;
  // By tier.
  std::vector<std::deque<BackendState>> backends_;
  Slab<BackendJob> jobs_;
  // Core-seconds at speed 1 of the mean request, over all tiers.
  double mean_work_s_ = 0;
  // Core-seconds of all backends, up to the last closed second.
  double busy_until_last_second_ = 0;
};

}  // namespace beechhill::emulator
