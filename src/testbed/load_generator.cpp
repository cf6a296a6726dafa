#include "testbed/load_generator.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <cstdlib>

#include "http/message.h"
#include "http/parser.h"
#include "http/writer.h"

namespace beechhill::testbed {

using net::Io;
using runtime::Task;
using runtime::TimePoint;
using runtime::Wait;

namespace {

Duration advice_in(const http::Message& answer) {
  const std::string* text = answer.headers.find("Retry-After");
  if (!text) {
    return Duration{0};
  }
  const double seconds = std::strtod(text->c_str(), nullptr);
  return seconds > 0 && seconds < 3600 ? Duration(std::llround(seconds * 1e6)) : Duration{0};
}

}  // namespace

Load::Load(runtime::Scheduler& scheduler, const TestbedClock& clock,
           const emulator::Scenario& scenario, std::vector<sockaddr_in> proxies,
           ObservationLog& books)
    : scheduler_(scheduler),
      clock_(clock),
      s_(scenario),
      books_(books),
      proxies_(std::move(proxies)),
      offered_(proxies_.size(), true),
      idle_(proxies_.size()),
      metrics_(scenario),
      random_(scenario.seed, emulator::Actor::kClients, 0),
      homes_(scenario.clients.connections) {
  for (std::size_t i = 0; i < homes_.size(); ++i) {
    homes_[i] = static_cast<std::uint32_t>(i % proxies_.size());
  }
  metrics_.seconds.resize(
      static_cast<std::size_t>(std::ceil(std::chrono::duration<double>(s_.length).count())));
}

void Load::offer(std::size_t proxy, bool offered) {
  offered_[proxy] = offered;
}

void Load::deal_back(std::size_t proxy) {
  if (!s_.clients.dealt_back) {
    return;
  }
  const auto alive = static_cast<std::size_t>(std::count(offered_.begin(), offered_.end(), true));
  emulator::deal_back(homes_, static_cast<std::uint32_t>(proxy), alive, random_);
}

std::size_t Load::another() {
  std::vector<std::size_t> among;
  for (std::size_t i = 0; i < offered_.size(); ++i) {
    if (offered_[i]) {
      among.push_back(i);
    }
  }
  return among.empty() ? random_.below(offered_.size()) : among[random_.below(among.size())];
}

Task<> Load::run() {
  emulator::Arrivals arrivals(s_);
  while (const auto arrival = arrivals.next()) {
    if (clock_.now() < arrival->at) {
      Wait wait(scheduler_);
      wait.until(clock_.point(arrival->at));
      co_await wait;
    }
    latest_start_ = std::max(latest_start_, clock_.now() - arrival->at);
    metrics_.asked(arrival->at, arrival->c, arrival->tenant, arrival->worth);
    ++open_;
    scheduler_.spawn(operation(*arrival, asked_++));
  }
  all_sent_ = true;
  while (open_ > 0) {
    Wait wait(scheduler_);
    wait.notified(ended_);
    co_await wait;
  }
  metrics_.close();
}

Task<> Load::operation(emulator::Arrival a, std::uint64_t number) {
  const Time until = a.at + s_.classes[a.c].settings.deadline;
  bool served = false, refused = false;
  for (std::uint32_t tries = 1;; ++tries) {
    if (metrics_.counted(a.at)) {
      ++metrics_.tries;
    }
    if (emulator::Second* w = metrics_.second_of(clock_.now())) {
      ++w->tries;
    }
    if (!offered_[homes_[a.connection]]) {
      homes_[a.connection] = static_cast<std::uint32_t>(another());
    }
    const Duration patience =
        std::min(emulator::patience_of(s_, a.c, random_), until - clock_.now());
    const Try got = co_await one_try(a, number, tries, homes_[a.connection], patience);
    served = got.end == Try::End::kServed;
    refused = got.end == Try::End::kRefused;
    if (served) {
      break;
    }
    if (emulator::Second* w = metrics_.second_of(clock_.now())) {
      (refused ? w->refused : w->failed) += 1;
    }
    const bool unreachable = got.end == Try::End::kUnreachable;
    if (unreachable) {  // the client's front offers another proxy
      ++metrics_.unreachable;
      homes_[a.connection] = static_cast<std::uint32_t>(another());
    }
    std::optional<Duration> wait =
        emulator::wait_before_retry(s_, {a.c, tries, refused, unreachable, got.advice}, random_);
    if (wait && unreachable) {
      wait = std::max(*wait, Duration{1000});
    }
    if (!wait || clock_.now() + *wait >= until) {
      break;
    }
    Wait pause(scheduler_);
    pause.until(clock_.point(clock_.now() + *wait));
    co_await pause;
  }
  metrics_.ended(a.at, clock_.now() - a.at, a.c, a.tenant, a.worth, served, refused);
  served_ += served;
  --open_;
  if (all_sent_ && open_ == 0) {
    ended_.notify();
  }
}

Task<Load::Try> Load::one_try(const emulator::Arrival& a, std::uint64_t number, std::uint32_t tries,
                              std::size_t proxy, Duration patience) {
  struct Held {  // a connection's place, for as long as the try lives
    std::size_t& count;
    explicit Held(std::size_t& c) : count(c) { ++count; }
    ~Held() { --count; }
  };
  Try result;
  const TimePoint deadline = clock_.point(clock_.now() + patience);
  // An answer is waited for until the verdict is certain; it is worth nothing past the deadline.
  const TimePoint reads_until = deadline + kBookSlack;
  const CallId call = ObservationLog::call_of(number, tries);
  const bool keyed = s_.classes[a.c].settings.idempotency != Idempotency::kIdempotent;
  const std::string id = fmt::format("{:x}-{:x}-{}", s_.seed, number, tries);
  std::string extra =
      fmt::format("X-Trace-Id: {}\r\nX-Expires-In-Ms: {}\r\n", id,
                  std::max<std::int64_t>(
                      1, std::chrono::duration_cast<std::chrono::milliseconds>(patience).count()));
  if (a.tenant != kNoTenant) {
    extra += "X-Customer: " + s_.tenants[a.tenant].name + "\r\n";
  }
  if (keyed) {
    extra += fmt::format("Idempotency-Key: {:x}-{:x}\r\n", s_.seed, number);
  }
  if (tries > 1) {
    extra += "X-Second-Try: 1\r\n";
  }
  const std::string target =
      fmt::format("/{}/x?work_us={}", s_.classes[a.c].name, std::llround(a.work_s * 1e6));
  const std::string request =
      http::write_request(keyed ? "POST" : "GET", target, "proxy", extra, keyed ? "{}" : "");
  std::string buffer;
  books_.asked(call, a.c, proxy, clock_.now() + patience);
  for (bool again = true; again;) {
    again = false;
    std::unique_ptr<net::Stream> stream;
    while (!stream && !idle_[proxy].empty()) {
      stream = std::move(idle_[proxy].back());
      idle_[proxy].pop_back();
      --connections_;
      if (stream->stale()) {
        stream.reset();
      }
    }
    const bool kept = stream != nullptr;
    if (!stream && connections_ >= kMostConnections) {
      result.end = Try::End::kUnreachable;
      co_return result;
    }
    const Held held(connections_);
    if (!stream) {
      std::unique_ptr<net::Stream> made =
          co_await net::Stream::connect(scheduler_, proxies_[proxy], deadline);
      stream = std::move(made);
      if (stream) {
        ++metrics_.connections;
      }
    }
    if (!stream) {
      result.end = Try::End::kUnreachable;
      co_return result;
    }
    Io io = co_await stream->write(request, deadline);
    http::Parser parser(http::Parser::Kind::kResponse);
    http::Progress progress = http::Progress::kMore;
    bool begun = false;
    while (io == Io::kOk && progress == http::Progress::kMore) {
      io = co_await stream->read(buffer, reads_until);
      begun = begun || !buffer.empty();
      progress = io == Io::kOk ? parser.feed(buffer) : progress;
    }
    if (io == Io::kEof && begun) {
      progress = parser.end();
    }
    if (progress != http::Progress::kDone) {
      // A kept connection that the proxy closed unread: once more on a new one, as the protocol has
      // it.
      again = kept && !begun && (io == Io::kEof || io == Io::kError) &&
              runtime::Clock::now() < deadline;
      buffer.clear();
      if (!again) {
        books_.unanswered(call);
      }
      continue;
    }
    const http::Message& answer = parser.message();
    books_.answered(call, answer.status == 429 || answer.status == 503);
    if (runtime::Clock::now() > deadline) {
      result.end = Try::End::kFailed;
    } else if (answer.status == 200) {
      result.end = Try::End::kServed;
      if (answer.body != id + " served\n") {
        ++wrong_;  // not a node's answer to this request
      }
    } else if (answer.status == 429 || answer.status == 503) {
      result.end = Try::End::kRefused;
      result.advice = advice_in(answer);
    } else if (answer.status != 502) {
      ++wrong_;
    }
    if (answer.keep_alive()) {
      idle_[proxy].push_back(std::move(stream));
      ++connections_;
    }
  }
  co_return result;
}

// ---- Closed loop

ClosedLoad::ClosedLoad(runtime::Scheduler& scheduler, const emulator::Scenario& scenario,
                       sockaddr_in proxy, std::size_t clients)
    : scheduler_(scheduler), s_(scenario), proxy_(proxy), clients_(clients) {
}

Task<> ClosedLoad::run(TimePoint until) {
  for (std::size_t i = 0; i < clients_; ++i) {
    ++running_, scheduler_.spawn(client(i, until));
  }
  while (running_ > 0) {
    Wait wait(scheduler_);
    wait.notified(ended_);
    co_await wait;
  }
}

Task<> ClosedLoad::client(std::size_t number, TimePoint until) {
  const auto work = std::llround(s_.classes[0].work_s * 1e6);
  const std::string target = fmt::format("/{}/x?work_us={}", s_.classes[0].name, work);
  std::unique_ptr<net::Stream> stream;
  std::string buffer;
  for (std::uint64_t turn = 0; runtime::Clock::now() < until; ++turn) {
    const TimePoint deadline = runtime::Clock::now() + s_.classes[0].settings.deadline;
    if (!stream) {
      std::unique_ptr<net::Stream> made =
          co_await net::Stream::connect(scheduler_, proxy_, deadline);
      stream = std::move(made);
      buffer.clear();
    }
    bool good = false;
    if (stream) {
      const std::string id = fmt::format("X-Trace-Id: {:x}-{:x}\r\n", number, turn);
      const std::string request = http::write_request("GET", target, "proxy", id, "");
      Io io = co_await stream->write(request, deadline);
      http::Parser parser(http::Parser::Kind::kResponse);
      http::Progress progress = http::Progress::kMore;
      while (io == Io::kOk && progress == http::Progress::kMore) {
        io = co_await stream->read(buffer, deadline);
        if (io == Io::kOk) {
          progress = parser.feed(buffer);
        }
      }
      const bool whole = progress == http::Progress::kDone;
      good = whole && parser.message().status == 200;
      if (!whole || !parser.message().keep_alive()) {
        stream.reset();
      }
    }
    ++(good ? served_ : other_);
    if (good) {
      continue;
    }
    Wait pause(scheduler_);  // a proxy that refuses is not asked in a tight loop
    pause.until(runtime::Clock::now() + std::chrono::milliseconds(10));
    co_await pause;
  }
  if (--running_ == 0) {
    ended_.notify();
  }
}

}  // namespace beechhill::testbed
