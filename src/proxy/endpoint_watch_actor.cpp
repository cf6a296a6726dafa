#include "proxy/endpoint_watch_actor.h"

#include <algorithm>
#include <string_view>
#include <utility>
#include <variant>

#include "http/chunked_decoder.h"
#include "http/parser.h"
#include "http/progress.h"
#include "http/writer.h"
#include "log/log.h"
#include "net/socket.h"

namespace beechhill::proxy {

using namespace std::chrono_literals;
using net::IoResult;
using runtime::Clock;
using runtime::Task;
using runtime::TimePoint;

namespace {

constexpr auto kConnectTimeout = 500ms;

// A connection on which discovery sends no response head within this time counts as unanswered.
// Discovery's agent runs on this machine or nearby and answers much faster.
constexpr auto kResponseHeadTimeout = 500ms;

// Number of consecutive unanswered connections per increase of the response head timeout. Each
// increase adds kResponseHeadTimeout, up to a total of kWatchSilenceTimeout, so that a slow
// discovery agent can answer.
constexpr int kUnansweredPerTimeoutStep = 8;

// Range of the backoff after a connection that lasted less than kResponseHeadTimeout. A drain's
// grace starts when discovery learns of the drain, so the backoff must stay well below the shortest
// known grace, 200 ms.
constexpr auto kMinBackoff = 50ms;
constexpr auto kMaxBackoff = 100ms;

// Rate in bytes per millisecond at which an endpoint list is expected to arrive at least. The
// silence timeout is extended accordingly while a list is incomplete.
constexpr std::size_t kMinListRate = 100;

constexpr std::size_t kInboxCapacity = 16;

// The maximum size of one endpoint list object is the process's memory limit divided by this,
// because a parsed object takes about ten times its size. At 192 MB, 40,000 endpoints fit.
constexpr std::size_t kObjectMemoryDivisor = 32;

}  // namespace

/// One connection to discovery.
struct EndpointWatchActor::Watch {
  Watch(const sockaddr_in& to, std::size_t max_object_bytes)
      : address(to), decoder(max_object_bytes) {}

  sockaddr_in address;
  /// Whether the watch requested changes since version 0. Discovery answers such a request with
  /// the complete list at once.
  bool requested_snapshot = false;
  TimePoint silence_deadline{};
  http::Parser head{http::Parser::Kind::kResponseHead};
  http::ChunkedDecoder chunked;
  WatchStreamDecoder decoder;
  std::string buffer;
  /// Number of endpoint lists posted to the decision actor.
  std::uint64_t lists = 0;
};

EndpointWatchActor::EndpointWatchActor(runtime::Scheduler& scheduler, const config::Config& config)
    : scheduler_(scheduler),
      inbox_(kInboxCapacity),
      address_(config.discovery),
      max_object_bytes_(std::size_t{config.memory_mb} * 1024 * 1024 / kObjectMemoryDivisor),
      version_(config.cached_endpoints.version),
      random_(config.named_settings.settings.seed) {
}

Task<> EndpointWatchActor::run(DecisionMailbox& decisions) {
  for (;;) {
    process_messages();
    reconnect_for_resync_ = false;  // The next watch is a new connection.
    const TimePoint started_at = Clock::now();
    Watch watch(address_, max_object_bytes_);
    EndReason reason = EndReason::kDiscoveryMalformed;
    try {
      reason = co_await run_watch(decisions, watch);
    } catch (const std::exception& error) {  // Malformed data must not end the actor.
      log::fault("discovery_fault", error);
    }
    log_connection_end("discovery", net::to_string(watch.address), reason, watch.lists);
    const bool reconnect_at_once =
        reason == EndReason::kDiscoveryMoved || reason == EndReason::kDiscoveryResync;
    if (!reconnect_at_once && Clock::now() - started_at < kResponseHeadTimeout) {
      co_await back_off();
    }
  }
}

// Waits for a random time, because all proxies lose their watch at the same moment when discovery
// fails.
Task<> EndpointWatchActor::back_off() {
  std::uniform_int_distribution<std::int64_t> backoff_ms(kMinBackoff.count(), kMaxBackoff.count());
  runtime::Wait wait(scheduler_);
  wait.notified(inbox_.arrived())
      .until(Clock::now() + std::chrono::milliseconds(backoff_ms(random_)));
  co_await wait;
}

// Processes the mailbox. Returns the reason to end the current watch, if there is one.
std::optional<EndReason> EndpointWatchActor::process_messages() {
  bool moved = false;
  while (!inbox_.empty()) {
    const EndpointWatchMessage message = inbox_.take();
    if (const auto* resync = std::get_if<Resync>(&message)) {
      resync_pending_ = true;
      reconnect_for_resync_ = reconnect_for_resync_ || resync->from_snapshot;
    }
    // StartWatch needs no processing, as its arrival has woken the actor.
    const auto* redirect = std::get_if<RedirectWatch>(&message);
    if (!redirect || net::same_address(redirect->address, address_)) {
      continue;
    }
    moved = true;
    address_ = redirect->address;
    // The new discovery may number its versions differently, so the complete list is requested.
    resync_pending_ = true;
    unanswered_connections_ = 0;
  }
  if (moved) {
    return EndReason::kDiscoveryMoved;
  }
  return reconnect_for_resync_ ? std::optional(EndReason::kDiscoveryResync) : std::nullopt;
}

void EndpointWatchActor::report_resync_complete(DecisionMailbox& decisions) {
  if (!std::exchange(resync_pending_, false)) {
    return;
  }
  DecisionMessage message(std::in_place_type<ResyncComplete>);
  if (!decisions.post(std::move(message))) {
    log::dropped_message("resync_complete");  // The resync ends at its deadline instead.
  }
}

// Whether reads must return at once if no data is available. A read that returns no data then shows
// that everything that discovery has written has been read. If the complete list was requested,
// reads wait until the list has arrived.
bool EndpointWatchActor::is_catching_up(const Watch& watch) const {
  return resync_pending_ && (!watch.requested_snapshot || watch.lists > 0);
}

TimePoint EndpointWatchActor::read_deadline(const Watch& watch) const {
  if (is_catching_up(watch)) {
    return Clock::now();
  }
  return watch.silence_deadline +
         std::chrono::milliseconds(watch.decoder.incomplete_object_bytes() / kMinListRate);
}

std::string EndpointWatchActor::watch_request(const Watch& watch) const {
  const std::uint64_t from = watch.requested_snapshot ? 0 : version_;
  return http::write_request("GET", "/registry/instances?watch=1&from=" + std::to_string(from),
                             net::to_string(watch.address), "", "");
}

Task<EndReason> EndpointWatchActor::run_watch(DecisionMailbox& decisions, Watch& watch) {
  const auto stream =
      co_await net::Stream::connect(scheduler_, watch.address, Clock::now() + kConnectTimeout);
  if (!stream) {
    co_return EndReason::kConnectFailed;
  }
  const auto head_timeout = std::min<Clock::duration>(
      kResponseHeadTimeout * (1 + unanswered_connections_ / kUnansweredPerTimeoutStep),
      kWatchSilenceTimeout);
  ++unanswered_connections_;
  watch.requested_snapshot = resync_pending_;
  watch.silence_deadline = Clock::now() + head_timeout;
  const std::string request = watch_request(watch);
  if (co_await stream->write(request, watch.silence_deadline) != IoResult::kOk) {
    co_return EndReason::kDiscoveryEnded;
  }
  for (;;) {
    const bool catching_up = is_catching_up(watch);
    const TimePoint deadline = read_deadline(watch);
    const IoResult io =
        co_await stream->read(watch.buffer, deadline, catching_up ? nullptr : &inbox_.arrived());
    std::optional<EndReason> end;
    if (io == IoResult::kNotified) {
      end = process_messages();
    } else if (io == IoResult::kTimeout && catching_up) {
      report_resync_complete(decisions);
    } else if (io == IoResult::kTimeout) {
      end = EndReason::kDiscoverySilent;
    } else if (io == IoResult::kOk) {
      end = process_bytes(decisions, watch);
    } else {
      end = EndReason::kDiscoveryEnded;
    }
    if (end) {
      co_return *end;
    }
  }
}

// Processes received bytes. Returns the reason to end the watch, if there is one.
std::optional<EndReason> EndpointWatchActor::process_bytes(DecisionMailbox& decisions,
                                                           Watch& watch) {
  if (!watch.head.head_done()) {
    const std::optional<EndReason> end = process_head(watch);
    if (end || !watch.head.head_done()) {
      return end;
    }
  }
  http::Progress progress = http::Progress::kNeedsMore;
  std::string body;
  if (watch.head.chunked()) {
    progress = watch.chunked.feed(watch.buffer, body);
  } else {
    body = std::exchange(watch.buffer, {});
  }
  watch.decoder.feed(body);
  // Only complete tokens show that the watch is alive; a broken watch may still deliver bytes that
  // complete no token.
  const std::optional<bool> alive = post_lists(decisions, watch);
  if (!alive || progress == http::Progress::kMalformed) {
    return EndReason::kDiscoveryMalformed;
  }
  if (*alive) {
    watch.silence_deadline = Clock::now() + kWatchSilenceTimeout;
    unanswered_connections_ = 0;
  }
  return progress == http::Progress::kComplete ? std::optional(EndReason::kDiscoveryEnded)
                                               : std::nullopt;
}

std::optional<EndReason> EndpointWatchActor::process_head(Watch& watch) {
  const http::Progress progress = watch.head.feed(watch.buffer);
  if (progress == http::Progress::kNeedsMore) {
    return std::nullopt;
  }
  if (progress == http::Progress::kMalformed || watch.head.message().status != 200) {
    return EndReason::kDiscoveryMalformed;
  }
  if (!watch.requested_snapshot) {
    // Without a snapshot, discovery sends nothing until the list changes, so the silence timeout
    // applies from here.
    watch.silence_deadline = Clock::now() + kWatchSilenceTimeout;
  }
  return std::nullopt;
}

// Posts each complete list. Returns whether any token was complete, or nothing if the watch must
// end.
std::optional<bool> EndpointWatchActor::post_lists(DecisionMailbox& decisions, Watch& watch) {
  std::string_view object;
  for (bool alive = false;; alive = true) {
    const WatchStreamDecoder::Token token = watch.decoder.next(object);
    if (token == WatchStreamDecoder::Token::kInvalid) {
      return std::nullopt;
    }
    if (token == WatchStreamDecoder::Token::kIncomplete) {
      return alive;
    }
    if (token == WatchStreamDecoder::Token::kEmptyLine) {
      continue;
    }
    config::EndpointList list = config::read_endpoint_list(
        config::parse(object.data(), object.data() + object.size(), "server list"));
    const std::uint64_t version = list.version;
    if (!decisions.post(std::move(list))) {
      return std::nullopt;  // The next watch requests the list again, from the same version.
    }
    version_ = version;
    ++watch.lists;
  }
}

}  // namespace beechhill::proxy
