#include "membership/talk_actor.h"

#include <sodium.h>

#include "log/log.h"
#include "membership/wire.h"
#include "proxy/log.h"
#include "proxy/operation.h"

namespace beechhill::membership {

using proxy::now;

namespace {

constexpr std::size_t kInboxCapacity = 1'024;
constexpr int kAtOnce = 64;  // datagrams before others have their turn

// Not from the configuration's seed: tickets and lives must not be guessed, nor be the same in the
// next life.
std::uint64_t drawn() {
  if (sodium_init() < 0) {
    throw std::runtime_error("libsodium cannot be used");
  }
  std::uint64_t bits = 0;
  randombytes_buf(&bits, sizeof bits);
  return bits;
}

}  // namespace

TalkActor::TalkActor(runtime::Scheduler& scheduler, Settings settings, const sockaddr_in& listen,
                     const std::string& advertise, const std::string& name, Keys keys,
                     Listener listener)
    : scheduler_(scheduler),
      socket_(scheduler, listen),
      life_(drawn()),
      gate_(std::move(keys), name, life_, drawn()),
      swim_(now(), settings, drawn(), name,
            advertise.empty() ? net::to_string(socket_.address()) : advertise, life_),
      gap_(2 * settings.interval),
      listener_(std::move(listener)),
      inbox_(kInboxCapacity),
      looked_at_(now()) {
}

runtime::Task<> TalkActor::run() {
  for (;;) {
    const Time at = now();
    std::vector<Outgoing> out;
    if (at - std::exchange(looked_at_, at) > gap_) {
      log::info("membership_gap", {});
      swim_.woke(at, out);
      if (listener_.woke && !listener_.woke(Woke{})) {
        proxy::log_lost("woke");
      }
    }
    send(out);
    const bool more = take_datagrams();
    take_orders();
    if (now() >= swim_.due()) {
      swim_.tick(now(), out);
      send(out);
    }
    tell_changes();
    runtime::Wait wait(scheduler_);
    // What is left in the socket is not told of again.
    wait.readable(socket_.io())
        .notified(inbox_.arrived())
        .until(proxy::to_point(more ? now() : swim_.due()));
    co_await wait;
  }
}

bool TalkActor::take_datagrams() {
  for (int i = 0; i < kAtOnce; ++i) {
    sockaddr_in from{};
    const auto datagram = socket_.take(from);
    if (!datagram) {
      return false;
    }
    const std::string address = net::to_string(from);
    const Gate::Result got = gate_.open(address, *datagram);
    for (const std::string& reply : got.replies) {
      socket_.send(from, reply);
    }
    refused_ += got.refused != nullptr;
    if (!got.opened) {
      continue;
    }
    if (got.opened->channel == Channel::kSwim) {
      const auto message = decode(got.opened->payload);
      std::vector<Outgoing> out;
      if (message) {
        swim_.receive(now(), got.opened->from, address, *message, out);
      }
      send(out);
    } else if (listener_.heard) {
      auto whole = assembler_.add(
          got.opened->from + "/" + std::to_string(static_cast<int>(got.opened->channel)),
          got.opened->payload);
      if (whole) {
        listener_.heard(Heard{got.opened->from, got.opened->channel, std::move(*whole)});
      }
    }
  }
  return true;
}

void TalkActor::take_orders() {
  while (!inbox_.empty()) {
    TalkMessage message = inbox_.take();
    if (auto* keys = std::get_if<NewKeys>(&message)) {
      gate_.change_keys(std::move(keys->keys));
      continue;
    }
    const Say& say = std::get<Say>(message);
    const auto member = swim_.members().find(say.to);
    if (member == swim_.members().end()) {
      continue;
    }
    for (std::string& part : split(next_whole_++, say.whole)) {
      send_to(member->second.rumour.address, say.channel, std::move(part));
    }
  }
}

void TalkActor::send(std::vector<Outgoing>& out) {
  for (const Outgoing& o : std::exchange(out, {})) {
    send_to(o.to, Channel::kSwim, encode(o.message));
  }
}

void TalkActor::send_to(const std::string& address, Channel channel, std::string payload) {
  const auto to = net::parse_address(address);
  if (to) {
    socket_.send(*to, gate_.seal(address, channel, std::move(payload)));
  }
}

void TalkActor::tell_changes() {
  for (const Swim::Change& c : swim_.take_changes()) {
    if (c.to == State::kSuspect ||
        (c.from == State::kSuspect && c.to == State::kAlive && !c.restarted)) {
      continue;  // no news for staff
    }
    log::info("member", {{"name", std::string_view(c.name)},
                         {"state", std::string_view(name(c.to))},
                         {"restarted", c.restarted}});
  }
}

void TalkActor::say_good_bye() {
  std::vector<Outgoing> out;
  swim_.leave(now(), out);
  send(out);
}

}  // namespace beechhill::membership
