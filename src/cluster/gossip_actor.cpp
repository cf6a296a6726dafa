#include "cluster/gossip_actor.h"

#include <sodium.h>

#include <stdexcept>
#include <utility>

#include "log/log.h"
#include "membership/message_codec.h"
#include "net/address.h"
#include "runtime/time.h"

namespace beechhill::membership {

using runtime::now;

namespace {

constexpr std::size_t kInboxCapacity = 1'024;
// Maximum number of datagrams received per turn of run(), to limit the delay of other actors on the
// thread.
constexpr int kDatagramsPerTurn = 64;
// Time between two turns of run(), in probe intervals, above which the process counts as paused. A
// process that misses two probes in a row may have been declared suspect.
constexpr int kResumeGapIntervals = 2;

// Returns random bits from the operating system. The configured seed is not used, because session
// nonces must be unpredictable and boot ids must differ between two starts.
std::uint64_t random_bits() {
  if (sodium_init() < 0) {
    throw std::runtime_error("libsodium could not be initialized");
  }
  std::uint64_t bits = 0;
  randombytes_buf(&bits, sizeof bits);
  return bits;
}

}  // namespace

GossipActor::GossipActor(runtime::Scheduler& scheduler, SwimSettings settings,
                         const sockaddr_in& listen, const std::string& advertise,
                         const std::string& name, MacKeys keys, GossipHandlers handlers)
    : scheduler_(scheduler),
      socket_(scheduler, listen),
      boot_id_(random_bits()),
      authenticator_(std::move(keys), name, boot_id_, random_bits()),
      swim_(now(), settings, random_bits(), name,
            advertise.empty() ? net::to_string(socket_.address()) : advertise, boot_id_),
      resume_gap_(kResumeGapIntervals * settings.probe_interval),
      handlers_(std::move(handlers)),
      inbox_(kInboxCapacity),
      last_turn_(now()) {
}

runtime::Task<> GossipActor::run() {
  for (;;) {
    detect_resume();
    const bool more_datagrams = receive_datagrams();
    drain_inbox();
    if (now() >= swim_.next_tick()) {
      std::vector<Outgoing> out;
      swim_.tick(now(), out);
      send(out);
    }
    log_changes();
    runtime::Wait wait(scheduler_);
    wait.readable(socket_.io());
    wait.notified(inbox_.arrived());
    // The socket is edge-triggered, so it does not report the remaining datagrams again. The actor
    // takes its next turn immediately to receive them.
    wait.until(runtime::to_time_point(more_datagrams ? now() : swim_.next_tick()));
    co_await wait;
  }
}

void GossipActor::detect_resume() {
  const Time turn = now();
  if (turn - std::exchange(last_turn_, turn) <= resume_gap_) {
    return;
  }
  log::info("membership_gap", {});
  std::vector<Outgoing> out;
  swim_.on_resume(turn, out);
  if (handlers_.on_resume && !handlers_.on_resume(ProcessResumed{})) {
    log::dropped_message("process_resumed");
  }
  send(out);
}

bool GossipActor::receive_datagrams() {
  for (int i = 0; i < kDatagramsPerTurn; ++i) {
    sockaddr_in from{};
    const std::optional<std::string> datagram = socket_.take(from);
    if (!datagram) {
      return false;
    }
    receive_datagram(from, *datagram);
  }
  return true;
}

void GossipActor::receive_datagram(const sockaddr_in& from, std::string_view datagram) {
  const std::string address = net::to_string(from);
  DatagramAuthenticator::VerifyResult result = authenticator_.verify(address, datagram);
  for (const std::string& reply : result.replies) {
    socket_.send(from, reply);
  }
  if (result.rejection) {
    ++rejected_datagrams_;
  }
  if (result.verified) {
    receive_payload(address, std::move(*result.verified));
  }
}

void GossipActor::receive_payload(const std::string& address,
                                  DatagramAuthenticator::VerifiedPayload verified) {
  if (verified.channel == Channel::kSwim) {
    const std::optional<Message> message = decode(verified.payload);
    if (message) {
      std::vector<Outgoing> out;
      swim_.receive(now(), verified.sender, address, *message, out);
      send(out);
    }
    return;
  }
  if (!handlers_.on_payload) {
    return;
  }
  const std::string source =
      verified.sender + "/" + std::to_string(static_cast<int>(verified.channel));
  std::optional<std::string> payload = assembler_.add(source, verified.payload);
  if (payload) {
    // A payload that the handler cannot accept is dropped; senders must tolerate loss anyway.
    handlers_.on_payload(
        PayloadReceived{std::move(verified.sender), verified.channel, std::move(*payload)});
  }
}

void GossipActor::drain_inbox() {
  while (!inbox_.empty()) {
    std::visit([this](auto&& message) { on(std::forward<decltype(message)>(message)); },
               inbox_.take());
  }
}

void GossipActor::on(ReplaceKeys message) {
  authenticator_.change_keys(std::move(message.keys));
}

void GossipActor::on(const SendPayload& message) {
  const auto member = swim_.members().find(message.to);
  if (member == swim_.members().end()) {
    return;
  }
  for (std::string& fragment : split_payload(next_payload_id_++, message.payload)) {
    send_to(member->second.update.address, message.channel, std::move(fragment));
  }
}

void GossipActor::send(const std::vector<Outgoing>& out) {
  for (const Outgoing& outgoing : out) {
    send_to(outgoing.to, Channel::kSwim, encode(outgoing.message));
  }
}

void GossipActor::send_to(const std::string& address, Channel channel, std::string payload) {
  const std::optional<sockaddr_in> to = net::parse_address(address);
  if (to) {
    socket_.send(*to, authenticator_.sign(address, channel, std::move(payload)));
  }
}

void GossipActor::log_changes() {
  for (const MemberChange& change : swim_.take_changes()) {
    const bool suspicion_refuted = change.from == MemberState::kSuspect &&
                                   change.to == MemberState::kAlive && !change.restarted;
    // Suspicions and their refutations need no action by an operator, so they are not logged.
    if (change.to == MemberState::kSuspect || suspicion_refuted) {
      continue;
    }
    log::info("member", {{"name", std::string_view(change.name)},
                         {"state", std::string_view(name(change.to))},
                         {"restarted", change.restarted}});
  }
}

void GossipActor::leave() {
  std::vector<Outgoing> out;
  swim_.leave(now(), out);
  send(out);
}

}  // namespace beechhill::membership
