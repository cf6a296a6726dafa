/// The backends of all tiers and the jobs that they process. Each backend calls the next tier
/// through a proxy that serves only this backend.
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

/// An attempt at a backend, from the time its request is sent until its response is received.
struct BackendJob {
  std::uint32_t tier = 0;
  std::uint32_t proxy = 0;
  EndpointId endpoint = 0;
  RequestId request = 0;
  std::uint32_t attempt = 0;
  ClassId class_id = 0;
  TenantId tenant = kNoTenant;
  Time deadline{0};
  /// Work of the whole operation over all tiers, in core-seconds at speed 1.
  double work_s = 0;
  /// Work before and after the calls to the next tier, in core-seconds at speed 1.
  double first_phase_s = 0;
  double second_phase_s = 0;
  /// The part of the first phase that is spent on opening a new connection, in core-seconds.
  double handshake_s = 0;
  /// Work done for the job except handshakes, in core-seconds at speed 1: at this backend, and in
  /// lower tiers for its successful calls.
  double useful_work_s = 0;
  std::uint32_t downstream_calls_left = 0;
  bool at_backend = false;
  bool cancelled = false;
  bool in_second_phase = false;
  /// Index in BackendState::jobs.
  std::size_t index_in_backend = 0;
  Result result = Result::kOk;
  LoadReport report;
};

enum class BackendMode {
  kUp,
  /// Does not accept connections and does not answer.
  kSilent,
  /// Refuses connections.
  kDown,
};

/// One backend: the model of its load, its entry in discovery, and the faults that affect it.
struct BackendState {
  BackendState(const TierSpec& spec, std::uint64_t seed, std::uint64_t index,
               std::optional<Time> started_at, Time now);

  Node model;
  Stream random;
  /// The backend's entry in the endpoint list of discovery.
  Endpoint endpoint;
  BackendMode mode = BackendMode::kUp;
  /// Share of the jobs that fail because of a fault, from 0 to 1.
  double error_rate = 0;
  /// Delay that a fault adds to the load reports.
  Duration report_delay{0};
  /// Work in transit to the backend, in core-seconds at speed 1.
  double inbound_work_s = 0;
  std::uint64_t connections_this_second = 0;
  std::uint64_t attempts_this_second = 0;
  /// Index of the proxy through which the backend calls the next tier, if there is a next tier.
  std::uint32_t downstream_proxy = 0;
  bool warming_up = false;
  std::vector<JobId> jobs;
};

/// Owns the backends and their jobs, and provides the true state of the backends to the oracle
/// policy.
class BackendFleet : public TrueBackendState {
 public:
  explicit BackendFleet(Simulation& sim);

  double wait_s(Time now, std::uint32_t tier, EndpointId endpoint) const override;
  bool has_headroom(Time now, std::uint32_t tier, EndpointId endpoint) const override;

  /// Adds a backend and returns its id, which is unique within the tier. `started_at` must be set
  /// if the backend starts during the run; the backend is then cold.
  EndpointId add(std::uint32_t tier, std::optional<Time> started_at);
  BackendState& at(std::uint32_t tier, EndpointId endpoint) { return backends_[tier][endpoint]; }
  std::deque<BackendState>& in_tier(std::uint32_t tier) { return backends_[tier]; }
  /// The endpoints that discovery lists at present.
  std::vector<Endpoint> listed_endpoints(std::uint32_t tier) const;

  /// Stops the backend's process and discards its jobs. The proxies that wait for these jobs
  /// receive a connection reset, or nothing if `silent` is true.
  void stop(std::uint32_t tier, EndpointId endpoint, bool silent);
  /// Starts the backend again as cold, unless it has been permanently removed.
  void restart(std::uint32_t tier, EndpointId endpoint);
  /// Stops the backend permanently and removes it from the endpoint list of discovery.
  void remove(std::uint32_t tier, EndpointId endpoint);

  /// Creates the job for an attempt that a proxy is about to send, and draws the number of its
  /// calls to the next tier.
  BackendJob make_job(const ProxyState& proxy, const ProxyRequest& request, const AttemptId& id);
  JobId add_job(const BackendJob& job) { return jobs_.add(job); }
  /// Returns null if the job is over. The pointer is valid until the next add_job().
  BackendJob* find_job(JobId id) { return jobs_.find(id); }
  void remove_job(JobId id) { jobs_.remove(id); }
  /// Marks the job as cancelled by its proxy. In tiers with TierSpec::drops_cancelled_jobs, a job
  /// that is queued for a slot or core is dropped.
  void cancel(JobId id);

  void on_job_arrived(JobId id);
  void on_phase_done(JobId id);
  void on_downstream_call_due(JobId id);
  void on_downstream_answer(JobId id, bool succeeded, double useful_work_s);

  /// Records one second of the time series. Must be called at the end of that second.
  void record_second(std::size_t second);
  /// Writes the totals of each tier to the metrics. Must be called at the end of the run.
  void summarize();

 private:
  BackendState& backend_of(const BackendJob& job) { return at(job.tier, job.endpoint); }
  bool overloads_cold_backend(const BackendJob& job);
  void schedule_phases(const std::vector<StartedPhase>& starts);
  void finish_job(JobId id, Result result, bool holds_core);
  void respond(JobId id, Result result);
  void detach_from_backend(JobId id);
  void lose_jobs(std::uint32_t tier, EndpointId endpoint, bool reset);
  void record_peak_rates();
  Json::Value summary_of(std::uint32_t tier);

  Simulation& sim_;
  // Indexed by tier.
  std::vector<std::deque<BackendState>> backends_;
  Slab<BackendJob> jobs_;
  // Mean work of a request over all tiers, in core-seconds at speed 1.
  double mean_work_s_ = 0;
  // Total busy time of all backends up to the end of the last recorded second, in core-seconds.
  double busy_until_last_second_ = 0;
};

}  // namespace beechhill::emulator
