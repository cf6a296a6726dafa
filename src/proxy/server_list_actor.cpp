#include "proxy/server_list_actor.h"

#include "http/message.h"
#include "net/socket.h"

namespace beechhill::proxy {

using namespace std::chrono_literals;
using net::Io;
using runtime::Clock;
using runtime::Task;
using runtime::TimePoint;

namespace {

constexpr auto kConnectLimit = 500ms;
constexpr auto kLeastPause = 50ms, kMostPause = 250ms;
constexpr std::size_t kInboxCapacity = 4;  // one order is as good as many
// Of the memory, a line of the list may be one part: read, its rows take some ten times as much. At 192 MB 40,000 rows.
constexpr std::size_t kLineShare = 32;

}  // namespace

ServerListActor::ServerListActor(runtime::Scheduler& scheduler, const config::Config& config)
    : scheduler_(scheduler),
      inbox_(kInboxCapacity),
      address_(config.discovery),
      most_line_(std::size_t{config.memory_mb} * 1024 * 1024 / kLineShare),
      version_(config.known.version),
      random_(config.named.settings.seed) {}

Task<> ServerListActor::run(DecisionBox& decisions) {
  for (;;) {
    moved();
    anew_ = false;  // a new watch is begun at any rate
    End end{.address = address_};
    try {
      co_await watch(decisions, end);
    } catch (const std::exception& error) {
      end.reason = EndReason::kDiscoveryBad;  // guards against dying of what discovery sends
      log_fault("discovery_fault", error);
    }
    log_end("discovery", net::to_string(end.address), end.reason, end.lists);
    if (end.reason == EndReason::kDiscoveryMoved || end.reason == EndReason::kDiscoveryAnew) continue;
    // Jitter: all proxies lose a discovery that fails at the same moment.
    std::uniform_int_distribution<std::int64_t> pause(kLeastPause.count(), kMostPause.count());
    runtime::Wait wait(scheduler_);
    wait.notified(inbox_.arrived()).until(Clock::now() + std::chrono::milliseconds(pause(random_)));
    co_await wait;
  }
}

bool ServerListActor::moved() {
  bool elsewhere = false;
  while (!inbox_.empty()) {
    const WatchMessage message = inbox_.take();
    if (const auto* catch_up = std::get_if<CatchUp>(&message)) catching_ = true, anew_ |= catch_up->anew;
    const auto* move = std::get_if<MoveWatch>(&message);  // an order to watch is met by the watch itself
    if (!move || net::same(move->address, address_)) continue;
    address_ = move->address;
    elsewhere = true;
  }
  return elsewhere;
}

void ServerListActor::caught_up(DecisionBox& decisions) {
  if (!std::exchange(catching_, false)) return;
  DecisionMessage word(std::in_place_type<CaughtUp>);
  if (!decisions.post(std::move(word))) log_lost("caught_up");  // its wait ends by itself
}

Task<> ServerListActor::watch(DecisionBox& decisions, End& end) {
  const auto stream = co_await net::Stream::connect(scheduler_, address_, Clock::now() + kConnectLimit);
  if (!stream) {
    end.reason = EndReason::kConnectFailed;
    co_return;
  }
  // What changed since version 0 is the whole list, and comes at once: where nothing has changed nothing would.
  const bool whole = catching_;
  const std::string request =
      http::write_request("GET", "/registry/instances?watch=1&from=" + std::to_string(whole ? 0 : version_),
                          net::to_string(address_), "", "");
  if (co_await stream->write(request, Clock::now() + kSilence) != Io::kOk) co_return;
  http::Parser parser(http::Parser::Kind::kResponseHead);
  http::ChunkedDecoder chunked;
  std::string buffer, lines;
  scanned_ = 0;
  TimePoint silent = Clock::now() + kSilence;
  for (;;) {
    const bool all = catching_ && !whole;  // what stands in the socket, up to its end
    const Io io = co_await stream->read(buffer, all ? Clock::now() : silent, all ? nullptr : &inbox_.arrived());
    if (io == Io::kNotified) {
      const bool elsewhere = moved();
      if (!elsewhere && !anew_) continue;
      end.reason = elsewhere ? EndReason::kDiscoveryMoved : EndReason::kDiscoveryAnew;
      co_return;
    }
    if (io == Io::kTimeout && all) {
      caught_up(decisions);
      continue;
    }
    if (io == Io::kTimeout) end.reason = EndReason::kDiscoverySilent;
    if (io != Io::kOk) co_return;
    silent = Clock::now() + kSilence;
    end.reason = EndReason::kDiscoveryBad;
    http::Progress progress = http::Progress::kMore;
    if (!parser.head_done()) {
      progress = parser.feed(buffer);
      if (progress == http::Progress::kMore) continue;
      if (progress == http::Progress::kBad || parser.message().status != 200) co_return;
    }
    progress = http::Progress::kMore;
    if (parser.chunked()) {
      progress = chunked.feed(buffer, lines);
    } else {
      lines += std::exchange(buffer, {});
    }
    if (!take_lines(lines, decisions, end.lists) || progress == http::Progress::kBad) co_return;
    if (whole && end.lists > 0) caught_up(decisions);
    end.reason = EndReason::kDiscoveryEnded;
    if (progress == http::Progress::kDone) co_return;
  }
}

bool ServerListActor::take_lines(std::string& lines, DecisionBox& decisions, std::uint64_t& lists) {
  std::size_t from = 0;  // what was looked at before holds no line's end: a long line is not looked through twice
  for (auto end = lines.find('\n', scanned_); end != std::string::npos; end = lines.find('\n', from)) {
    const char* const line = lines.data() + from;
    const std::size_t size = end - from;
    from = end + 1;
    if (size == 0 || (size == 1 && *line == '\r')) continue;
    config::ServerList pool = config::read_server_list(config::parse(line, line + size, "server list"));
    const std::uint64_t version = pool.version;
    if (!decisions.post(std::move(pool))) return false;  // asked for again with the same version
    version_ = version;
    ++lists;
  }
  lines.erase(0, from);
  scanned_ = lines.size();
  return lines.size() <= most_line_;
}

}  // namespace beechhill::proxy
