// What the decision module keeps: plain types and unit helpers. No decisions are made here.
#pragma once

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdint>
#include <deque>
#include <optional>
#include <utility>
#include <vector>

#include "beechhill/balancer.h"

namespace beechhill {

inline double seconds(Duration d) {
  return std::chrono::duration<double>(d).count();
}
inline Duration from_seconds(double s) {
  return Duration(static_cast<std::int64_t>(s * 1e6));
}

inline std::uint64_t mix(
    std::uint64_t x) {  // splitmix64's finaliser: 64 even bits from a small integer
  x += 0x9e3779b97f4a7c15ULL;
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
  return x ^ (x >> 31);
}

struct Attempt {
  EndpointId server = 0;
  std::uint32_t life = 0;  // of the server, then
  std::uint32_t zone = 0,
                cell = 0;  // where the server stood then: its entry may say another place by now
  Time sent{0};
};

struct Call {  // a request as the module sees it
  Request request;
  Time hold_until{0};
  std::size_t level = 0;
  std::size_t queue = 0;
  int width = 1;
  bool held = false;
  bool answered = false;
  bool streaming = false;
  bool silent = false;                   // out for so long that it may never be answered
  std::optional<std::size_t> maybe_ran;  // the first attempt that might have run
  std::vector<Attempt> attempts;
  bool out = false;  // the last attempt has no outcome yet: there is one at a time
};

struct Queue {
  std::deque<RequestId> held;
  double start = 0;  // virtual start time, seconds
  int running = 0;
};

struct Level {
  double worth = 0;
  double shares = 0;
  int running = 0;  // width-weighted
  std::size_t held = 0;
  std::array<std::vector<Queue>, 2> queues;
};

struct Bucket {
  double tokens = 0;
  Time at{0};

  void fill(Time now, double rate_per_s, double most) {
    tokens = std::min(most, tokens + rate_per_s * seconds(now - at));
    at = now;
  }
  bool take() { return tokens >= 1 && (tokens -= 1, true); }
};

struct Gauge {  // how much came lately, and how high; fading
  double sum = 0, weight = 0;
  Time at{0};

  void add(Time now, double span_s, double value) {
    const double kept = faded(now, span_s);
    sum = sum * kept + value, weight = weight * kept + 1, at = now;
  }
  double count(Time now, double span_s) const { return weight * faded(now, span_s); }
  // A second. Guards against taking a short life's rate for low: what came since `begun` then
  // counts as all there is. A second of it at the least, or one that came at once would be
  // thousands.
  double rate(Time now, double span_s, Time begun) const {
    const double life = std::max(1.0, seconds(now - begun));
    return count(now, span_s) / (span_s * (1 - std::exp(-life / span_s)));
  }
  double mean(Time now,
              double span_s) const {  // towards 0 with time, as if one more value had been 0
    const double kept = faded(now, span_s);
    return sum * kept / (weight * kept + 1);
  }

 private:
  double faded(Time now, double span_s) const { return std::exp(-seconds(now - at) / span_s); }
};

struct Tally {  // of attempts of one class, or summed; fading
  double tries = 0, errors = 0;

  Tally& operator+=(const Tally& t) {
    tries += t.tries;
    errors += t.errors;
    return *this;
  }
};

inline Tally sum(const std::vector<Tally>& tallies) {
  Tally all;
  for (const Tally& t : tallies) {
    all += t;
  }
  return all;
}

struct Learned {  // of one life of a server
  EndpointStats own;
  std::vector<Tally> tallies;  // by class
  int open = 0;
  double recent = 0;  // decayed count of own sends
  double turn = 0;    // random part of one call: peers must not start with the same server
  Time decayed_at{0};
  Time waiting_since{0};  // last sign of life, or when its first open attempt was sent
  Time full_until{0}, probed_at{0};
  Bucket budget;  // while cold, of calls it may be sent from here
};

struct Server : Learned {
  Endpoint entry;
  bool listed = false;
  std::uint64_t list = 0;         // that named it last, by number
  bool barred = false;            // by an operator
  std::optional<Time> barred_at;  // when an operator last left it out
  std::optional<Time>
      back;  // since then let serve again: it may have restarted, and the list not say so yet
  double order = 0;        // fixed for life, random: the lowest are used first
  std::uint32_t life = 0;  // counted up with each start that is told
};

}  // namespace beechhill
