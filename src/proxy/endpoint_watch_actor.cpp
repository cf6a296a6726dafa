#include "proxy/endpoint_watch_actor.h"

#include <algorithm>
#include <optional>

#include "http/chunked_decoder.h"
#include "http/parser.h"
#include "http/writer.h"
#include "log/log.h"
#include "net/socket.h"

namespace beechhill::proxy {

using namespace std::chrono_literals;
using net::Io;
using runtime::Clock;
using runtime::Task;
using runtime::TimePoint;

namespace {

constexpr auto kConnectLimit = 500ms;
// Discovery's agent stands on this machine, or near, and answers at once: a call without its
// answer's head by then was not heard. Every kPatience such calls in a row the next ones wait as
// much longer, up to kSilence, for an agent that is slow.
constexpr auto kFirstWord = 500ms;
constexpr int kPatience = 8;
// After a call that failed sooner than kFirstWord. What discovery learns at its return counts as
// told at once, so this stays well under a drain's grace, the shortest known of which are 200 ms.
constexpr auto kLeastPause = 50ms, kMostPause = 100ms;
constexpr std::size_t kListRate = 100;  // bytes a millisecond of a list under way, at the least
constexpr std::size_t kInboxCapacity = 16;
// Of the memory, an object of the list may be one part: read, its rows take some ten times as much.
// At 192 MB 40,000 rows.
constexpr std::size_t kObjectShare = 32;

}  // namespace

EndpointWatchActor::EndpointWatchActor(runtime::Scheduler& scheduler, const config::Config& config)
    : scheduler_(scheduler),
      inbox_(kInboxCapacity),
      address_(config.discovery),
      most_object_(std::size_t{config.memory_mb} * 1024 * 1024 / kObjectShare),
      version_(config.cached_endpoints.version),
      random_(config.named_settings.settings.seed) {
}

Task<> EndpointWatchActor::run(DecisionMailbox& decisions) {
  for (;;) {
    moved();
    anew_ = false;  // a new watch is begun at any rate
    const TimePoint began = Clock::now();
    End end{.address = address_};
    try {
      co_await watch(decisions, end);
    } catch (const std::exception& error) {
      end.reason = EndReason::kDiscoveryBad;  // guards against dying of what discovery sends
      log::fault("discovery_fault", error);
    }
    log_end("discovery", net::to_string(end.address), end.reason, end.lists);
    if (end.reason == EndReason::kDiscoveryMoved || end.reason == EndReason::kDiscoveryAnew) {
      continue;
    }
    // What is missed meanwhile counts as told: at once, where that is no busy loop.
    if (Clock::now() - began >= kFirstWord) {
      continue;
    }
    // Jitter: all proxies lose a discovery that fails at the same moment.
    std::uniform_int_distribution<std::int64_t> pause(kLeastPause.count(), kMostPause.count());
    runtime::Wait wait(scheduler_);
    wait.notified(inbox_.arrived()).until(Clock::now() + std::chrono::milliseconds(pause(random_)));
    co_await wait;
  }
}

bool EndpointWatchActor::moved() {
  bool elsewhere = false;
  while (!inbox_.empty()) {
    const EndpointWatchMessage message = inbox_.take();
    if (const auto* catch_up = std::get_if<Resync>(&message)) {
      catching_ = true, anew_ |= catch_up->from_snapshot;
    }
    const auto* move =
        std::get_if<RedirectWatch>(&message);  // an order to watch is met by the watch itself
    if (!move || net::same(move->address, address_)) {
      continue;
    }
    address_ = move->address;
    elsewhere = true;
    catching_ =
        true;  // another discovery may count its versions otherwise: the whole list is asked for
    mute_ = 0;
  }
  return elsewhere;
}

void EndpointWatchActor::caught_up(DecisionMailbox& decisions) {
  if (!std::exchange(catching_, false)) {
    return;
  }
  DecisionMessage word(std::in_place_type<ResyncComplete>);
  if (!decisions.post(std::move(word))) {
    log::dropped_message("caught_up");  // its wait ends by itself
  }
}

Task<> EndpointWatchActor::watch(DecisionMailbox& decisions, End& end) {
  const auto stream =
      co_await net::Stream::connect(scheduler_, address_, Clock::now() + kConnectLimit);
  if (!stream) {
    end.reason = EndReason::kConnectFailed;
    co_return;
  }
  const auto first_word =
      std::min<Clock::duration>(kFirstWord * (1 + mute_ / kPatience), kWatchSilenceTimeout);
  ++mute_;
  // What changed since version 0 is the whole list, and comes at once: where nothing has changed
  // nothing would.
  const bool whole = catching_;
  const std::string request = http::write_request(
      "GET", "/registry/instances?watch=1&from=" + std::to_string(whole ? 0 : version_),
      net::to_string(address_), "", "");
  TimePoint silent = Clock::now() + first_word;
  if (co_await stream->write(request, silent) != Io::kOk) {
    co_return;
  }
  http::Parser parser(http::Parser::Kind::kResponseHead);
  http::ChunkedDecoder chunked;
  WatchStreamDecoder reader(most_object_);
  std::string buffer, body;
  for (;;) {
    // What stands in the socket is read up to its end; where the whole list was asked for, once
    // that has come.
    const bool all = catching_ && (!whole || end.lists > 0);
    const TimePoint until =
        all ? Clock::now() : silent + std::chrono::milliseconds(reader.unfinished() / kListRate);
    const Io io = co_await stream->read(buffer, until, all ? nullptr : &inbox_.arrived());
    if (io == Io::kNotified) {
      const bool elsewhere = moved();
      if (!elsewhere && !anew_) {
        continue;
      }
      end.reason = elsewhere ? EndReason::kDiscoveryMoved : EndReason::kDiscoveryAnew;
      co_return;
    }
    if (io == Io::kTimeout && all) {
      caught_up(decisions);
      continue;
    }
    if (io == Io::kTimeout) {
      end.reason = EndReason::kDiscoverySilent;
    }
    if (io != Io::kOk) {
      co_return;
    }
    end.reason = EndReason::kDiscoveryBad;
    if (!parser.head_done()) {
      const http::Progress head = parser.feed(buffer);
      if (head == http::Progress::kMore) {
        continue;
      }
      if (head == http::Progress::kBad || parser.message().status != 200) {
        co_return;
      }
      if (!whole) {
        silent = Clock::now() + kWatchSilenceTimeout;  // nothing may have changed
      }
    }
    http::Progress progress = http::Progress::kMore;
    if (parser.chunked()) {
      progress = chunked.feed(buffer, body);
    } else {
      body = std::exchange(buffer, {});
    }
    reader.feed(std::exchange(body, {}));
    // Only what is whole shows that the watch lives: bytes that complete nothing may come from one
    // that is broken.
    const std::optional<bool> said = take_lists(reader, decisions, end.lists);
    if (!said || progress == http::Progress::kBad) {
      co_return;
    }
    if (*said) {
      silent = Clock::now() + kWatchSilenceTimeout, mute_ = 0;
    }
    end.reason = EndReason::kDiscoveryEnded;
    if (progress == http::Progress::kDone) {
      co_return;
    }
  }
}

// Whether the watch gave a sign of life; nothing where it can't be read on.
std::optional<bool> EndpointWatchActor::take_lists(WatchStreamDecoder& reader,
                                                   DecisionMailbox& decisions,
                                                   std::uint64_t& lists) {
  std::string_view object;
  for (bool said = false;; said = true) {
    const WatchStreamDecoder::Got got = reader.next(object);
    if (got == WatchStreamDecoder::Got::kBad) {
      return std::nullopt;
    }
    if (got == WatchStreamDecoder::Got::kMore) {
      return said;
    }
    if (got == WatchStreamDecoder::Got::kEmptyLine) {
      continue;
    }
    config::EndpointList list = config::read_endpoint_list(
        config::parse(object.data(), object.data() + object.size(), "server list"));
    const std::uint64_t version = list.version;
    if (!decisions.post(std::move(list))) {
      return std::nullopt;  // asked for again with the same version
    }
    version_ = version;
    ++lists;
  }
}

}  // namespace beechhill::proxy
