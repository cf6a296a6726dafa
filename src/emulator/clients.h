// The clients: when requests come, what they ask for, and what a client does when a try has failed.
// No clock and no I/O; the emulator's world and the load on sockets both play them.
#pragma once

#include <optional>
#include <vector>

#include "emulator/random.h"
#include "emulator/scenario.h"

namespace beechhill::emulator {

struct Arrival {  // a client's request, before its first try
  Time at{0};
  ClassId c = 0;
  TenantId tenant = kNoTenant;
  double work_s = 0;  // over all tiers, on a core of speed 1
  double worth = 0;   // less where its tenant is over its share
  std::uint32_t connection = 0;
};

// An open loop: arrivals do not wait for answers. The same for every policy.
class Arrivals {
 public:
  explicit Arrivals(const Scenario& scenario);  // which must outlive it
  std::optional<Arrival> next();                // nothing once the scenario's length is over

 private:
  double rate_at(Time t) const;
  double tenant_weight(std::size_t tenant, Time t) const;

  const Scenario& s_;
  Stream random_;
  Time now_{0};
  double mean_rate_ = 0, most_rate_ = 0;
  std::vector<double> allowances_, tokens_;  // by tenant; a second's worth in reserve
  std::vector<Time> filled_;
};

struct FailedTry {
  ClassId c = 0;
  std::uint32_t tries = 1;  // so far
  bool refused = false, unreachable = false;
  Duration advice{0};  // of a refusal; 0: none
};
// How long the client waits before it tries again; nothing where it does not, because it never
// does, has done so often enough, or the effect may be there already.
std::optional<Duration> wait_before_retry(const Scenario& s, const FailedTry& failed,
                                          Stream& random);
// A proxy is back: each connection comes to it with the chance that makes its part of the `alive`
// ones' an even one.
void deal_back(std::vector<std::uint32_t>& homes, std::uint32_t proxy, std::size_t alive,
               Stream& random);
// How long it waits for the answer to one try.
Duration patience_of(const Scenario& s, ClassId c, Stream& random);

}  // namespace beechhill::emulator
