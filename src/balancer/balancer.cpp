// The decision module of beechhill: every decision and every constant is in this file.
// Its interface (settings, events, actions) is include/beechhill/balancer.h; docs/design.md says why.
#include "beechhill/balancer.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <random>
#include <set>
#include <tuple>
#include <unordered_map>
#include <utility>

#include "balancer/ranked_set.h"
#include "balancer/state.h"

namespace beechhill {
namespace {

constexpr std::uint64_t kQueues = 64;     // per level and width: collisions are rare with tens of tenants
constexpr std::size_t kQueueLength = 64;  // newest refused beyond; the wait limit mostly acts first
constexpr int kHoldShare = 2;             // of the aim, the longest hold at the first tier is one part
constexpr int kAdvice = 5;                // of the longest wait clients honour: about one part is advised
constexpr double kAssured = 100;          // shares split among levels by worth; as many stay unassured
constexpr double kLateShareOfAim = 0.5;   // an attempt that takes longer counts as timed out for C
constexpr double kLimitCut = 2.0;         // widths taken off C by one that was not accepted in time
constexpr double kChance = 2;             // standard deviations of what runs that an idle C leaves room for
constexpr double kLimitGrowth = 0.2;      // widths added by one that was, while C binds: 1 in 11 may be late
constexpr double kReserve = 4;            // requests that a tenant may send ahead of its share, at the least
constexpr double kSilent = 1.5;           // times a class's slow answers, a call is silent; design.md
constexpr double kMostSilent = 1.0 / 3;   // of C, that silent calls may hold
constexpr double kFloor = 4;              // widths for each warm server, over all instances, that C keeps
constexpr double kSmallLimit = 10;        // C in widths, under which its steps are parts of it
constexpr double kSlow = 1.5;             // pace beyond what the weight explains that counts as trouble
constexpr double kErrorLoad = 4;          // an error weighs like this many calls outstanding
constexpr double kClassTries = 4;         // of a class that tell whether a server fails it
constexpr double kMostPace = 4;           // one stuck answer must not outweigh ten good ones
constexpr double kPaceSmoothing = 0.3;    // quick, as a server can turn slow at once
constexpr double kSmoothing = 0.2;        // weight of a new sample in every moving average
constexpr double kPrior = 1;              // answers, or utilisation, that what all show stands for
constexpr double kPacePrior = 0.5;        // answers, of a server's pace: few tell it; 0.25 to 0.5 alike
constexpr double kKindPrior = 0.5;        // utilisation that the mean stands for: kinds differ more
constexpr double kWeightFloor = 0.1;      // of the mean weight; and no more than its inverse
constexpr double kMostUtilisation = 8;    // a report beyond either is absurd, and none
constexpr double kMostRate = 1e5;
constexpr double kRoomy = 0.8;            // use of the own zone where others begin to help; 0.6 to 0.85 alike
constexpr double kStay = 32;              // calls that another zone weighs up to there, less beyond; 16 to 64
constexpr double kHomeSpan = 2;           // seconds, memory of that utilisation; 1 to 4 alike
constexpr double kTrickle = 1;            // calls a second, over all instances, that a cold server may get
constexpr double kRounds = 4;             // over the servers, that own sends are remembered at the least
constexpr double kRateSpan = 5;           // seconds, memory of the rate of own sends
constexpr double kFewServers = 8;         // that an instance uses at the least
constexpr double kAnswers = 10;           // of each in kEvidenceSpan that tell its pace; 5 to 20 alike
constexpr double kCover = 20;             // instances that use each server, if they are many; 10 to 20 alike
constexpr std::size_t kLookAtAll = 64;    // servers, of which each choice looks at every one
constexpr int kSample = 20;               // of more, so many at random: 7 of 8 times one of the best tenth
constexpr int kSurveyShare = 10;          // what they show together is summed once in n / this many choices
constexpr double kRetryShare = 0.1;       // retries that may follow a possible effect, per first send
constexpr double kProbeCost = 0.006;      // of the result that probes may cost
constexpr double kFirstProbes = 4;        // of a new instance, which would crowd the slowest kind
constexpr Duration kProbeEvery{3'000'000};     // for one server, at the most
constexpr Duration kEvidenceSpan{10'000'000};  // memory of errors and paces

constexpr double kOpen = 1e9;  // above any C, load or aim

enum TimerKind : TimerToken { kSweepTimer, kProbeTimer, kWatchTimer };

}  // namespace

class Balancer::Impl {
 public:
  Impl(Time now, Settings settings, std::vector<Action>& out)
      : s_(std::move(settings)), now_(now), random_(s_.seed), out_(&out) {
    validate(s_);
    make_levels();
    for (const auto& c : s_.classes) guess_ = std::min(guess_, seconds(c.latency_objective));
    tallies_.resize(s_.classes.size());
    latency_ = slow_latency_ = std::vector<double>(s_.classes.size(), 0);
    reserves_.assign(s_.tenants.size(), {kOpen, now});  // full
    // Instances often start together: each asks discovery at a moment of its own.
    if (s_.discovery_polling_required) timer(kWatchTimer, from_seconds(uniform() * seconds(s_.discovery_poll_interval) / 4));
    if (s_.load_reports_require_health_checks && s_.health_checks_allowed) timer(kProbeTimer, from_seconds(uniform()));
  }

  void handle(Time now, const Event& event, std::vector<Action>& out) {
    out_ = &out;
    advance(now);
    std::visit([this](const auto& e) { on(e); }, event);
    note_silent();
    drop_overdue();
    dispatch();
    const Time sweep = std::min(now_ + std::max(s_.time_step, from_seconds(guess_ / 40)), next_drop_);
    if (held_ == 0 || (sweep_at_ > now_ && sweep_at_ <= sweep)) return;
    sweep_at_ = sweep;
    timer(kSweepTimer, sweep - now_);
  }

  EndpointStats known(EndpointId id) const { return id < servers_.size() ? servers_[id].own : EndpointStats{}; }
  EndpointCounts census(Time now) const {
    EndpointCounts c;
    for (const Server& s : servers_)
      if (s.listed) ++c.listed, c.avoided += !up(s) || now < s.full_until;
    return c;
  }

 private:
  double worth(ClassId c, bool over) const { return s_.classes[c].priority_weight * (over ? s_.over_quota_priority_factor : 1); }

  // A level for each distinct worth, the highest first. No class is exempt: any can be the overload.
  void make_levels() {
    std::set<double, std::greater<>> worths;
    for (ClassId c = 0; c < s_.classes.size(); ++c) worths.insert({worth(c, false), worth(c, true)});
    double sum = 0;
    for (double w : worths) sum += w;
    for (double w : worths) {
      Level& level = levels_.emplace_back();
      level.worth = w;
      level.shares = sum > 0 ? kAssured * w / sum : 0;
      for (auto& queues : level.queues) queues.resize(kQueues);
    }
  }

  // ---- Time, chance and small helpers

  double uniform() { return static_cast<double>(random_() >> 11) * 0x1.0p-53; }
  void timer(TimerToken kind, Duration after) { out_->push_back(SetTimer{kind, now_ + after}); }
  const ClassSettings& settings(const Call& c) const { return s_.classes[c.request.class_id]; }
  Queue& queue(Call& c) { return levels_[c.level].queues[c.width - 1][c.queue]; }
  double typical() const { return mean_latency_ > 0 ? mean_latency_ : guess_ / 4; }

  Duration aim(const Call& c) const {
    const auto& k = settings(c);
    const double stretch = c.request.work_hint ? k.latency_objective_work_factor * seconds(*c.request.work_hint) : 0;
    return std::min(k.deadline, k.latency_objective + from_seconds(stretch));
  }

  // Virtual time runs at min(sum of calls, C) / non-empty queues, width 2 counting twice in both.
  void advance(Time now) {
    const double dt = seconds(now - now_);
    if (busy_queues_ > 0) virtual_ += dt * std::min<double>(present_, limit_) / busy_queues_;
    overrun_ = std::max(0.0, overrun_ + dt * (bound() - limit_));
    mean_running_ += (running_ - mean_running_) * (1 - std::exp(-dt / (4 * typical())));
    now_ = now;
  }

  void settle(Call& c) {  // after a call left its queue for good
    if (queue(c).running == 0 && queue(c).held.empty()) busy_queues_ -= c.width;
  }

  // ---- Tenants' shares

  // Judged once, at the first tier. The reserve is some requests deep: chance must not mark honest traffic.
  bool over_share(TenantId tenant) {
    if (s_.tier != 0 || tenant >= reserves_.size() || s_.tenants[tenant].quota_per_s <= 0) return false;
    const double rate = s_.tenants[tenant].quota_per_s / s_.replicas;
    Bucket& reserve = reserves_[tenant];
    reserve.fill(now_, rate, kReserve + 2 * rate);
    return !reserve.take();
  }

  // ---- Arrival

  void on(const Request& r) {
    Call c;
    c.request = r;
    const double w = worth(r.class_id, over_share(r.tenant));
    while (levels_[c.level].worth > w) ++c.level;
    c.width = settings(c).idempotency == Idempotency::kIdempotent ? 1 : 2;
    // Hold only what can still be answered in time. At the first tier a short while does: a client that is
    // refused early has time for another try. Below it a refusal wastes the work done above: be patient.
    const Time last = s_.tier > 0 && settings(c).late_priority_factor > 0 ? r.deadline : now_ + aim(c);
    const Duration patience = s_.tier > 0 ? settings(c).deadline : aim(c) / kHoldShare;
    c.hold_until =
        std::min({now_ + patience, last - from_seconds(slow_latency_[r.class_id]), r.deadline - s_.time_step});
    c.hold_until = std::max(c.hold_until, std::min(now_ + aim(c) / 10, r.deadline - s_.time_step));
    // A client that is refused unsent after half of its own time, often less than its class's, pays for it.
    if (s_.tier == 0) c.hold_until = std::min(c.hold_until, now_ + (r.deadline - now_) * 9 / 20);
    hold(calls_[r.id] = std::move(c));
    forget(r.id);
  }

  void hold(Call& c) {
    auto& queues = levels_[c.level].queues[c.width - 1];
    c.queue = deal(c.request.tenant, queues);
    Queue& q = queues[c.queue];
    if (q.held.size() >= kQueueLength || c.request.deadline <= now_ || forsaken()) return refuse(c);
    if (q.running == 0 && q.held.empty()) busy_queues_ += c.width, q.start = virtual_;
    present_ += c.width, q.held.push_back(c.request.id);
    mark_held(c, true);
  }

  void mark_held(Call& c, bool held) {
    c.held = held;
    levels_[c.level].held += held ? 1 : -1, held_ += held ? 1 : -1;
    if (held) next_drop_ = std::min(next_drop_, c.hold_until);
  }

  // The paper's dealing: the flow's hash in mixed radix gives a hand of two distinct queues; shortest wins.
  static std::size_t deal(TenantId tenant, const std::vector<Queue>& queues) {
    const std::uint64_t v = mix(tenant);
    const std::size_t first = v % kQueues;
    std::size_t second = v / kQueues % (kQueues - 1);
    if (second >= first) ++second;
    const auto length = [&](std::size_t q) { return queues[q].held.size() + (queues[q].running > 0); };
    return length(second) < length(first) ? second : first;
  }

  // ---- Release: ACV picks the level, earliest virtual finish the queue

  double assured(const Level& l) const { return std::ceil(limit_ * l.shares / (2 * kAssured)); }

  Call* next() {
    Level* chosen = nullptr;
    for (auto& l : levels_) {
      if (l.held == 0) continue;
      if (!chosen || l.running < assured(l)) chosen = &l;
      if (l.running < assured(l)) break;
    }
    if (!chosen) return nullptr;
    const Queue* best = nullptr;
    for (const auto& queues : chosen->queues)
      for (const auto& q : queues)
        if (!q.held.empty() && (!best || q.start < best->start)) best = &q;  // the head finishes at start + G
    Call& c = calls_.at(best->held.front());
    return fits(c) ? &c : nullptr;  // an unfit head waits
  }

  // Guards against a C under one call that cannot bind: what runs over C is made up for before the next.
  bool fits(const Call& c) const {
    return bound() + c.width <= limit_ || (bound() < limit_ && overrun_ <= 0);
  }

  void dispatch() {
    while (Call* c = next()) {
      const auto server = pick(*c);
      if (!server) return;
      unhold(*c);
      send(*c, *server);
    }
  }

  void unhold(Call& c) {
    Queue& q = queue(c);
    q.held.erase(std::find(q.held.begin(), q.held.end(), c.request.id));
    mark_held(c, false);
  }

  // ---- Dispatch: the server with the least own work per reported weight

  static bool up(const Server& s) { return s.listed && !s.barred && s.entry.status == EndpointStatus::kUp; }
  static std::optional<Time> born(const Server& s) { return std::max(s.entry.started_at, s.back); }
  bool cold(const Server& s) const { return born(s) && now_ < *born(s) + s_.slow_start_window; }
  double warmth(const Server& s) const {  // the least share of its capacity that a server has by now
    if (!cold(s)) return 1;
    const double age = std::max(0.0, seconds(now_ - *born(s)));
    return s_.slow_start_initial_weight + (1 - s_.slow_start_initial_weight) * age / seconds(s_.slow_start_window);
  }

  bool usable(Server& s) {
    if (!up(s) || now_ < s.full_until) return false;
    if (!cold(s)) return true;
    // Guards against pushing a cold server over: each instance sends it at most its warmth's share of what
    // a warm peer gets from here, so all together stay under what such a peer takes, let alone the multiple.
    // Few warm ones may be sent more than they can do: two thirds of the multiple of an even part at most.
    const double peers = static_cast<double>(ups()) * 1.5 / std::max(1.5, s_.overload_collapse_ratio);
    const double share = warmth(s) * send_rate() / std::max<double>(warm_servers_, peers);
    s.budget.fill(now_, std::max(share, kTrickle / s_.replicas), 1);
    return s.budget.tokens >= 1;
  }

  bool anywhere(const Call& c) const { return !c.maybe_ran || settings(c).idempotency == Idempotency::kIdempotent; }
  bool group_allows(const Call& c, const Server& s) const {
    if (anywhere(c)) return true;
    const auto& k = settings(c);
    const Attempt& first = c.attempts[*c.maybe_ran];
    // What is sent now may leave only once a connection stands: then, too, the group must remember the first.
    if (k.idempotency == Idempotency::kNonIdempotent || now_ + s_.connect_timeout >= first.sent + k.deduplication_window) return false;
    if (k.deduplication_scope == DeduplicationScope::kAll) return true;
    return first.zone == s.entry.zone && (k.deduplication_scope == DeduplicationScope::kZone || first.cell == s.entry.cell);
  }

  // Guards against meeting each server so seldom that a slow one is never told: few of many are in use.
  std::optional<EndpointId> pick(const Call& c) {
    survey_now_and_then();
    const double met = seconds(kEvidenceSpan) * send_rate();
    const double even = std::max(met / kAnswers, kCover * static_cast<double>(ups()) / s_.replicas);
    const double warm = std::max(1, warm_servers_) / static_cast<double>(ups());  // cold ones bear little
    in_use_ = std::min<double>(ups(), std::max(kFewServers, std::min(met, even)) / warm);
    const auto best = least_loaded(c, in_use_);
    return best ? best : least_loaded(c, kOpen);
  }

  std::size_t ups() const { return std::max<std::size_t>(1, ranked_.size()); }
  bool few() const { return ranked_.size() <= kLookAtAll; }

  // Shows the first so many that are up, in their order; of many, a sample.
  template <typename Look>
  void look_at(std::size_t first, bool all, const Look& look) {
    for (std::size_t i = 0; i < (all ? first : std::min<std::size_t>(first, kSample)); ++i)
      look(servers_[ranked_[all ? i : static_cast<std::size_t>(uniform() * static_cast<double>(first))]]);
  }

  void survey_now_and_then() {  // what the servers show together
    if (!few() && choices_++ < ups() / kSurveyShare) return;
    choices_ = 0;
    EndpointStats all;
    warm_servers_ = 0;
    std::fill(kinds_.begin(), kinds_.end(), EndpointStats{});
    std::fill(tallies_.begin(), tallies_.end(), Tally{});
    const auto each = [&](const auto& look) { look_at(ranked_.size(), true, look); };
    each([&](Server& s) {
      decay(s);
      warm_servers_ += !cold(s);
      all += s.own;
      kinds_[s.entry.instance_type] += s.own;
      for (ClassId c = 0; c < tallies_.size(); ++c) tallies_[c] += s.tallies[c];
    });
    const Tally total = sum(tallies_);
    mean_errors_ = total.errors / (total.tries + 1);
    mean_weight_ = all.weighted_utilizations > 0 && all.weighted_rates > 0 ? all.weighted_rates / all.weighted_utilizations : 1;
    mean_excess_ = ranked_.size() > 0 ? 0 : 1;
    each([&](const Server& s) { mean_excess_ += excess(s) / static_cast<double>(ups()); });
  }

  std::optional<EndpointId> least_loaded(const Call& c, double reach) {
    std::optional<EndpointId> best;
    double least = kOpen;
    const double far = detour();
    const auto consider = [&](Server& s) {
      if (!usable(s) || !group_allows(c, s)) return;
      decay(s);
      double load = s.open + s.recent + s.turn;
      for (const auto& a : c.attempts) load += a.server == s.entry.id ? 4 : 0;
      // Guards against a frozen server holding calls: the longer it says nothing, the more it must be behind.
      const double silence = s.open > 0 ? seconds(now_ - s.waiting_since) / (2 * typical()) : 0;
      load *= (1 + silence * silence) * lag(s) * lag(s);
      // Guards against servers that fail fast and so look idle: each error beyond the mean and chance sends
      // the next calls to others. Trouble of all, or of the tier below, raises the mean and moves none.
      const double blame = s_.tier + 1 == s_.tier_count ? kErrorLoad : 1;  // above, it may come from below
      load *= 1 + blame * excess_errors(s, c.request.class_id);
      load /= relative_weight(s) * warmth(s);
      if (s.entry.zone != s_.zone) load += far;  // after what scales: it tells zones apart, not their servers
      if (load >= least) return;
      best = s.entry.id, least = load;
    };
    // Guards against walking a whole big fleet, and against all running to one that looks idle to each.
    look_at(std::min<double>(ranked_.size(), std::ceil(reach)), few() || !anywhere(c), consider);
    return best;
  }

  // What a server of another zone weighs more where crossing has a price; a fixed step sends a part across
  // always. Calls stay while home has room, and spread evenly once it is full, as C's binding tells too.
  double detour() const {
    if (s_.cross_zone_cost <= 0) return 0;
    const double busy = std::max(home_.mean(now_, kHomeSpan), (running_ + 1) / limit_);
    return kStay * std::clamp((1 - busy) / (1 - kRoomy), 0.0, 1.0);
  }

  // Errors beyond the mean's and chance's. None for a class that the server does no worse than its peers: one
  // that fails another class only must keep this one, or its peers get more than they can do.
  double excess_errors(const Server& s, ClassId id) const {
    const Tally& own = s.tallies[id];
    if (own.tries >= kClassTries && own.errors <= own.tries * tallies_[id].errors / (tallies_[id].tries + 1))
      return 0;
    const Tally all = sum(s.tallies);
    const double usual = all.tries * mean_errors_;
    return std::max(0.0, all.errors - usual - 2 * std::sqrt(usual));
  }

  // Guards against a server that is slower than its report explains (crowded, or sharing its machine): how
  // many times over it is behind its peers; 1 up to kSlow, so that ordinary spread does not count.
  double lag(const Server& s) const { return std::max(1.0, excess(s) / (kSlow * mean_excess_)); }
  double excess(const Server& s) const {
    const EndpointStats& k = kinds_[s.entry.instance_type];
    const double kind_pace = (k.weighted_latency_ratios + kPrior) / (k.response_weight + kPrior);
    const double pace = (s.own.weighted_latency_ratios + kPacePrior * kind_pace) / (s.own.response_weight + kPacePrior);
    return pace * relative_weight(s);
  }

  // Reported rate over reported utilisation, over the mean of all. A report says as much as its server was
  // busy, and one alone is far off. So each starts from what its kind reported, and each kind from the mean.
  double relative_weight(const Server& s) const {
    const EndpointStats& k = kinds_[s.entry.instance_type];
    const double kind_weight = (k.weighted_rates / mean_weight_ + kKindPrior) / (k.weighted_utilizations + kKindPrior);
    const double weight = (s.own.weighted_rates / mean_weight_ + kPrior * kind_weight) / (s.own.weighted_utilizations + kPrior);
    return std::clamp(weight, kWeightFloor, 1 / kWeightFloor);
  }

  void decay(Server& s) {
    const double dt = seconds(now_ - s.decayed_at);
    if (dt <= 0) return;
    s.recent *= std::exp(-dt / std::max(4 * typical(), kRounds * in_use_ / std::max(send_rate(), 0.01)));
    const double fading = std::exp(-dt / seconds(kEvidenceSpan));
    s.own.weighted_latency_ratios *= fading, s.own.response_weight *= fading;
    for (Tally& t : s.tallies) t.tries *= fading, t.errors *= fading;
    s.decayed_at = now_;
  }

  void send(Call& c, EndpointId id) {
    Server& s = servers_[id];
    if (s.open++ == 0) s.waiting_since = now_;
    s.recent += 1;
    s.tallies[c.request.class_id].tries += 1;
    s.turn = 1 - uniform() * std::max(0.0, 1 - mean_running_ / static_cast<double>(ups()));
    if (cold(s)) s.budget.tokens -= 1;
    sends_.add(now_, kRateSpan, 1);
    retry_tokens_ = std::min(10.0, retry_tokens_ + kRetryShare);
    const double credit = s_.health_check_cost > 0 ? kProbeCost / s_.health_check_cost / s_.tier_count : 10;
    probe_credit_ = std::min(10.0, probe_credit_ + credit);
    Queue& q = queue(c);
    q.running += 1, q.start += guess_;
    levels_[c.level].running += c.width, running_ += c.width;
    c.attempts.push_back({id, s.life, s.entry.zone, s.entry.cell, now_});
    c.out = true;
    sent_.emplace(silent_at(c), c.request.id);
    // No time-out short of the client's: servers go on with abandoned work, which C would then not count.
    out_->push_back(StartAttempt{c.request.id, id});
  }

  // Own sends a second. Decays between sends too: guards against a rare sender's share of a cold server.
  double send_rate() const { return sends_.rate(now_, kRateSpan, began_); }

  // Guards against a C full of calls that nobody will answer (lost, or cut off) where deadlines are far off.
  double bound() const { return running_ - std::max(0.0, silent_ - kMostSilent * limit_); }
  Time silent_at(const Call& c) const {
    const double slow = slow_latency_[c.request.class_id];
    return c.attempts.back().sent + from_seconds(kSilent * (slow > 0 ? slow : seconds(aim(c))));
  }
  void note_silent() {
    while (!sent_.empty() && sent_.begin()->first <= now_) {
      const auto it = calls_.find(sent_.extract(sent_.begin()).mapped());
      if (it == calls_.end() || !it->second.out || it->second.silent) continue;
      Call& c = it->second;
      if (now_ < silent_at(c)) { sent_.emplace(silent_at(c), c.request.id); continue; }
      c.silent = true, levels_[c.level].running -= c.width, silent_ += c.width;
    }
  }

  // ---- Outcomes

  void on(const Outcome& o) {
    const auto it = calls_.find(o.id);
    if (it == calls_.end() || !it->second.out || o.attempt + 1 != it->second.attempts.size()) return;
    Call& c = it->second;
    const Attempt a = c.attempts.back();
    c.out = false;
    Server& s = servers_[a.server];
    const double took = c.request.streams_body ? latency_[c.request.class_id] : seconds(now_ - a.sent);
    running_ -= c.width, (c.silent ? silent_ : levels_[c.level].running) -= c.width, c.silent = false;
    Queue& q = queue(c);
    q.running -= 1, q.start -= guess_ - took;
    if (a.life == s.life) {  // what a former life did says nothing of this one, nor of the load
      --s.open, s.waiting_since = now_, observe(a.server, o.report);
      judge(s, c, o.result, took);
    }
    const bool never_ran =
        o.result == Result::kOverloaded || o.result == Result::kConnectFailed || o.result == Result::kSkipped;
    if (!never_ran && !c.maybe_ran) c.maybe_ran = o.attempt;
    if (o.is_final || c.answered || o.result == Result::kOk) {
      finish(c);
    } else {
      again(c, never_ran, o.body_consumed);
    }
    present_ -= c.width;
    settle(c);
    forget(o.id);
  }

  void judge(Server& s, const Call& c, Result result, double took) {
    decay(s);
    const bool ok = result == Result::kOk;
    double& class_latency = latency_[c.request.class_id];
    const double usual = class_latency;
    if (usual > 0 && (ok || took > usual)) s.own.add_latency_ratio(std::min(took / usual, kMostPace), kPaceSmoothing);
    if (ok) {
      class_latency += (usual > 0 ? kSmoothing : 1) * (took - class_latency);
      auto& slow = slow_latency_[c.request.class_id];  // settles where one answer in ten is slower
      slow = usual > 0 ? slow + kSmoothing * usual * (took > slow ? 0.9 : -0.1) : 1.5 * took;
      mean_latency_ += (mean_latency_ > 0 ? kSmoothing / 4 : 1) * (took - mean_latency_);
    }
    // Lateness has no vote below the first tier: what is held there holds a slot above. Shed at the top.
    const double busy = std::max<double>(running_ + c.width, ordinary(c));  // C binds, and may grow, below
    const double share = (took / seconds(aim(c)) - kLateShareOfAim) / (1 - kLateShareOfAim);
    if (result == Result::kOverloaded || result == Result::kTimeout || (s_.tier == 0 && ok && share > 0)) {
      limit_ = std::min(limit_, busy);
      const double lateness = ok ? std::min(1.0, share) : 1;  // graded: a long tail must not close C
      // What is this server's own costs it traffic instead. Not all: where many lag, C must not stay open.
      limit_ -= kLimitCut * lateness * c.width * step() / (lag(s) * lag(s));
    } else if (ok && limit_ < busy) {
      limit_ += kLimitGrowth * c.width * step();
    }
    limit_ = std::max(limit_, kFloor * static_cast<double>(ups()) / s_.replicas);
    if (result == Result::kOverloaded) s.full_until = now_ + from_seconds(typical());
    s.tallies[c.request.class_id].errors +=
        !ok && result != Result::kOverloaded && result != Result::kCancelled && result != Result::kSkipped;
  }

  // What runs by chance at the mean of late: guards against a C that one late answer closes on a lull.
  double ordinary(const Call& c) const {
    return mean_running_ + kChance * std::sqrt(c.width * mean_running_) + c.width;
  }

  // A small C moves by parts of itself: whole widths would swing it between nothing and twice its size.
  double step() const { return std::min(1.0, limit_ / kSmallLimit); }

  void again(Call& c, bool never_ran, bool spent) {
    const bool worth_it = !spent && c.attempts.size() < s_.max_attempts &&
                          now_ + from_seconds(latency_[c.request.class_id]) < c.request.deadline;
    if (worth_it && !c.maybe_ran && never_ran && now_ < c.hold_until) {
      present_ += c.width, queue(c).held.push_front(c.request.id);
      return mark_held(c, true);
    }
    if (worth_it && c.maybe_ran && retry_tokens_ >= 1 && fits(c))
      if (const auto server = pick(c)) {
        retry_tokens_ -= 1, present_ += c.width;
        return send(c, *server);
      }
    refuse(c);
  }

  // ---- Final answers

  // Refuses where the client may safely try again, else reports failure.
  void refuse(Call& c) {
    const auto& k = settings(c);
    const bool safe = k.idempotency == Idempotency::kIdempotent || !c.maybe_ran ||
                      (k.idempotency == Idempotency::kIdempotencyKey && k.deduplication_scope == DeduplicationScope::kAll);
    const Duration advice = from_seconds(seconds(s_.max_retry_after) / kAdvice * (0.5 + uniform()));
    out_->push_back(safe ? Action(Reject{c.request.id, advice}) : Fail{c.request.id});
    finish(c);
  }

  void finish(Call& c) {  // nothing more is owed: what is still out is cancelled where that is allowed
    c.answered = true;
    if (!c.out || !s_.cancellation_allowed || c.streaming) return;
    out_->push_back(Cancel{c.request.id, static_cast<std::uint32_t>(c.attempts.size() - 1)});
  }

  void forget(RequestId id) {
    const auto it = calls_.find(id);
    if (it != calls_.end() && it->second.answered && !it->second.out) calls_.erase(it);
  }

  void on(const FirstByte& f) {
    if (const auto it = calls_.find(f.id); it != calls_.end()) it->second.streaming = true;
  }

  void on(const ClientDisconnected& g) {
    const auto it = calls_.find(g.id);
    if (it == calls_.end() || it->second.answered) return;
    Call& c = it->second;
    if (c.held) withdraw(c);
    finish(c);
    forget(g.id);
  }

  void withdraw(Call& c) {
    unhold(c), present_ -= c.width;
    settle(c);
  }

  // Guards against a call that goes out, or is answered, after its client has left (incident i93a7ab).
  void drop_overdue() {
    if (now_ < next_drop_) return;
    std::vector<RequestId> overdue;
    next_drop_ = Time::max();
    for (auto& l : levels_)
      for (auto& queues : l.queues)
        for (auto& q : queues)
          for (RequestId id : q.held) {
            const Time until = calls_.at(id).hold_until;
            if (now_ >= until) overdue.push_back(id);
            if (now_ < until) next_drop_ = std::min(next_drop_, until);
          }
    for (RequestId id : overdue) {
      Call& c = calls_.at(id);
      withdraw(c), refuse(c), forget(id);
    }
  }

  // ---- Discovery, reports and timers

  void on(const EndpointUpdate& d) {
    if (d.kind == UpdateKind::kFailed) {
      // Guards against a herd on a discovery that is down: back off, jittered, and stay within ask_within.
      watch_failures_ = std::min(watch_failures_ + 1, 3);
      const double wait = seconds(s_.discovery_poll_interval) / 8 * watch_failures_;
      return timer(kWatchTimer, from_seconds((0.5 + uniform()) * wait));
    }
    if (d.kind != UpdateKind::kCached) watch_failures_ = 0;
    const bool whole = d.kind != UpdateKind::kDelta;
    ++lists_;
    choices_ += whole ? servers_.size() + 1 : d.endpoints.size();  // a list that changes much is summed anew
    for (const auto& e : d.endpoints) {
      Server& s = server(e.id);
      const bool reborn = e.started_at && (!s.entry.started_at || *e.started_at != *s.entry.started_at);
      // Numbers are given out again: what comes back after it had gone may be another machine.
      if (reborn || !s.listed) restarted(s);
      s.entry = e;
      s.list = lists_;
      if (kinds_.size() <= e.instance_type) kinds_.resize(e.instance_type + 1);
      if (e.started_at >= s.barred_at) s.back.reset();  // the start after the ban is told
      s.listed = e.status != EndpointStatus::kRemoved;
      if (!whole) rank(e.id);
    }
    if (!whole) return;
    std::vector<std::pair<double, EndpointId>> all;
    for (EndpointId id = 0; id < servers_.size(); ++id) {
      Server& s = servers_[id];
      s.listed = s.listed && s.list == lists_;  // absent from a whole list: gone
      if (up(s)) all.emplace_back(s.order, id);
    }
    ranked_.assign(std::move(all));
  }

  Server& server(EndpointId id) {
    while (servers_.size() <= id) {
      Server& s = servers_.emplace_back();
      restarted(s), s.order = uniform(), s.entry.id = static_cast<EndpointId>(servers_.size() - 1);
    }
    return servers_[id];
  }

  void rank(EndpointId id) {
    const Server& s = servers_[id];
    up(s) ? ranked_.insert(s.order, id) : ranked_.erase(s.order, id);
  }

  void on(const EndpointExclusion& b) {
    Server& s = server(b.endpoint);
    if (s.barred && !b.excluded) {  // it was out of use, and may have been started anew: what was known is void
      restarted(s);
      if (s.entry.started_at < s.barred_at) s.back = now_;  // no start since is told: it may have been just now
    }
    if (b.excluded && !std::exchange(s.barred, b.excluded)) s.barred_at = now_;
    s.barred = b.excluded;
    rank(b.endpoint);
    if (!forsaken()) return;
    for (auto& [id, c] : calls_)
      if (c.held) c.hold_until = now_;
    next_drop_ = now_;
  }

  // Whether operators have left out all there are: nothing will come of holding a call.
  bool forsaken() const {
    const auto barred = [](const Server& s) { return s.barred; };
    return ranked_.size() == 0 && std::any_of(servers_.begin(), servers_.end(), barred);
  }

  // Former lives are void. Instances must not start with the same server, nor spend first tokens together.
  void restarted(Server& s) {
    static_cast<Learned&>(s) = Learned{};
    ++s.life;
    s.tallies.resize(s_.classes.size());
    s.turn = uniform(), s.waiting_since = now_, s.budget = {uniform(), now_};
  }

  void on(const HealthCheckResult& p) { if (p.result == Result::kOk) observe(p.endpoint, p.report); }
  void on(const RestoredStats& r) { server(r.endpoint).own += r.stats; }

  void observe(EndpointId id, const LoadReport& r) {
    const auto within = [](auto& v, double most) { return v && *v >= 0 && *v <= most; };  // no NaN is
    if (id >= servers_.size() || !within(r.requests_per_s, kMostRate)) return;
    if (!within(r.utilization, kMostUtilisation)) return;
    Server& s = servers_[id];
    if (s.entry.zone == s_.zone) home_.add(now_, kHomeSpan, *r.utilization);
    s.own.weighted_rates += *r.requests_per_s - kSmoothing * s.own.weighted_rates;
    s.own.weighted_utilizations += *r.utilization - kSmoothing * s.own.weighted_utilizations;
  }

  void on(const Timer& t) {
    if (t.token == kWatchTimer) out_->push_back(WatchEndpoints{});
    if (t.token == kProbeTimer) probe();
  }

  // One server at a time, of a kind not known yet, the one asked longest ago; each probe has a price.
  void probe() {
    Server* oldest = nullptr;
    const auto rank = [&](auto& s) {
      return std::tuple(kinds_[s.entry.instance_type].weighted_utilizations > kPrior, s.probed_at, s.order);
    };
    const auto consider = [&](Server& s) { if (!oldest || rank(s) < rank(*oldest)) oldest = &s; };
    look_at(ranked_.size(), few(), consider);
    if (oldest && probe_credit_ >= 1) {
      probe_credit_ -= 1;
      oldest->probed_at = now_;
      out_->push_back(HealthCheck{oldest->entry.id});
    }
    timer(kProbeTimer, from_seconds((0.5 + uniform()) * seconds(kProbeEvery) / static_cast<double>(ups())));
  }

  Settings s_;
  Time now_;
  const Time began_ = now_;
  std::mt19937_64 random_;
  std::vector<Action>* out_;
  std::vector<Level> levels_;
  std::vector<Server> servers_;
  Gauge home_, sends_;  // utilisation that the servers of the own zone report; own sends
  RankedSet ranked_;  // those that are up, by their order
  std::vector<EndpointStats> kinds_;                // by kind, summed
  std::vector<Tally> tallies_;                 // by class, summed
  std::multimap<Time, RequestId> sent_;        // when to look whether it is silent
  std::unordered_map<RequestId, Call> calls_;  // never walked where order could tell
  double guess_ = kOpen;                       // G, seconds: the shortest aim
  double virtual_ = 0, limit_ = kOpen;         // C
  double mean_running_ = 0, overrun_ = 0;      // the latter in widths over C times seconds
  int running_ = 0, silent_ = 0, present_ = 0, busy_queues_ = 0, warm_servers_ = 1, watch_failures_ = 0;
  std::size_t held_ = 0, choices_ = 0;
  std::uint64_t lists_ = 0;
  Time next_drop_ = Time::max(), sweep_at_{0};
  std::vector<double> latency_, slow_latency_;  // by class, seconds
  std::vector<Bucket> reserves_;                // by tenant
  double mean_weight_ = 1, mean_excess_ = 1, mean_errors_ = 0, mean_latency_ = 0;
  double in_use_ = 1, retry_tokens_ = 3, probe_credit_ = kFirstProbes;
};

Balancer::Balancer(Time now, Settings settings, std::vector<Action>& actions)
    : impl_(std::make_unique<Impl>(now, std::move(settings), actions)) {}
Balancer::~Balancer() = default;

void Balancer::handle(Time now, const Event& e, std::vector<Action>& out) { impl_->handle(now, e, out); }
Balancer::EndpointCounts Balancer::endpoint_counts(Time now) const { return impl_->census(now); }
EndpointStats Balancer::endpoint_stats(EndpointId server) const { return impl_->known(server); }

}  // namespace beechhill
