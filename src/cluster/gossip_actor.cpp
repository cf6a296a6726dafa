#include "cluster/gossip_actor.h"

#include <sodium.h>

#include "log/log.h"
#include "membership/message_codec.h"
#include "proxy/connection_log.h"
#include "proxy/messages.h"

namespace beechhill::membership {

using runtime::now;

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

GossipActor::GossipActor(runtime::Scheduler& scheduler, SwimSettings settings,
                         const sockaddr_in& listen, const std::string& advertise,
                         const std::string& name, MacKeys keys, GossipHandlers listener)
    : scheduler_(scheduler),
      socket_(scheduler, listen),
      life_(drawn()),
      gate_(std::move(keys), name, life_, drawn()),
      swim_(now(), settings, drawn(), name,
            advertise.empty() ? net::to_string(socket_.address()) : advertise, life_),
      gap_(2 * settings.probe_interval),
      listener_(std::move(listener)),
      inbox_(kInboxCapacity),
      looked_at_(now()) {
}

runtime::Task<> GossipActor::run() {
  for (;;) {
    const Time at = now();
    std::vector<Outgoing> out;
    if (at - std::exchange(looked_at_, at) > gap_) {
      log::info("membership_gap", {});
      swim_.on_resume(at, out);
      if (listener_.on_resume && !listener_.on_resume(ProcessResumed{})) {
        log::dropped_message("woke");
      }
    }
    send(out);
    const bool more = take_datagrams();
    take_orders();
    if (now() >= swim_.next_tick()) {
      swim_.tick(now(), out);
      send(out);
    }
    tell_changes();
    runtime::Wait wait(scheduler_);
    // What is left in the socket is not told of again.
    wait.readable(socket_.io())
        .notified(inbox_.arrived())
        .until(runtime::to_point(more ? now() : swim_.next_tick()));
    co_await wait;
  }
}

bool GossipActor::take_datagrams() {
  for (int i = 0; i < kAtOnce; ++i) {
    sockaddr_in from{};
    const auto datagram = socket_.take(from);
    if (!datagram) {
      return false;
    }
    const std::string address = net::to_string(from);
    const DatagramAuthenticator::VerifyResult got = gate_.verify(address, *datagram);
    for (const std::string& reply : got.replies) {
      socket_.send(from, reply);
    }
    refused_ += got.rejection_reason != nullptr;
    if (!got.verified) {
      continue;
    }
    if (got.verified->channel == Channel::kSwim) {
      const auto message = decode(got.verified->payload);
      std::vector<Outgoing> out;
      if (message) {
        swim_.receive(now(), got.verified->sender, address, *message, out);
      }
      send(out);
    } else if (listener_.on_payload) {
      auto whole = assembler_.add(
          got.verified->sender + "/" + std::to_string(static_cast<int>(got.verified->channel)),
          got.verified->payload);
      if (whole) {
        listener_.on_payload(
            PayloadReceived{got.verified->sender, got.verified->channel, std::move(*whole)});
      }
    }
  }
  return true;
}

void GossipActor::take_orders() {
  while (!inbox_.empty()) {
    GossipMessage message = inbox_.take();
    if (auto* keys = std::get_if<ReplaceKeys>(&message)) {
      gate_.change_keys(std::move(keys->keys));
      continue;
    }
    const SendPayload& say = std::get<SendPayload>(message);
    const auto member = swim_.members().find(say.to);
    if (member == swim_.members().end()) {
      continue;
    }
    for (std::string& part : split_payload(next_whole_++, say.payload)) {
      send_to(member->second.update.address, say.channel, std::move(part));
    }
  }
}

void GossipActor::send(std::vector<Outgoing>& out) {
  for (const Outgoing& o : std::exchange(out, {})) {
    send_to(o.to, Channel::kSwim, encode(o.message));
  }
}

void GossipActor::send_to(const std::string& address, Channel channel, std::string payload) {
  const auto to = net::parse_address(address);
  if (to) {
    socket_.send(*to, gate_.sign(address, channel, std::move(payload)));
  }
}

void GossipActor::tell_changes() {
  for (const SwimNode::MemberChange& c : swim_.take_changes()) {
    if (c.to == MemberState::kSuspect ||
        (c.from == MemberState::kSuspect && c.to == MemberState::kAlive && !c.restarted)) {
      continue;  // no news for staff
    }
    log::info("member", {{"name", std::string_view(c.name)},
                         {"state", std::string_view(name(c.to))},
                         {"restarted", c.restarted}});
  }
}

void GossipActor::leave() {
  std::vector<Outgoing> out;
  swim_.leave(now(), out);
  send(out);
}

}  // namespace beechhill::membership
