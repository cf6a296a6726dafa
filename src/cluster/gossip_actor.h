// The actor that connects this process to the other proxies. It is the sole owner of the gossip
// socket, the authenticator and the membership state machine. Other actors send and receive
// payloads through mailboxes.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <variant>
#include <vector>

#include "membership/datagram_authenticator.h"
#include "membership/payload_fragments.h"
#include "membership/swim_node.h"
#include "net/datagram.h"
#include "runtime/mailbox.h"

namespace beechhill::membership {

/// Sends a payload to a member. Delivery is best effort: the payload is dropped if the member is
/// unknown, and may be lost, duplicated or reordered like any datagram.
struct SendPayload {
  /// The member's name.
  std::string to;
  Channel channel = Channel::kCoordination;
  std::string payload;
};

/// Replaces the MAC keys, for example after a configuration reload.
struct ReplaceKeys {
  MacKeys keys;
};

using GossipMessage = std::variant<SendPayload, ReplaceKeys>;
using GossipMailbox = runtime::Mailbox<GossipMessage>;

/// A verified, complete payload on a channel other than Channel::kSwim.
struct PayloadReceived {
  /// The sender's name.
  std::string from;
  Channel channel = Channel::kCoordination;
  std::string payload;
};

/// Reports that the process was paused. Delivered before any payload that arrived during the pause.
struct ProcessResumed {};

/// Handlers of payloads and resume events. Each may be empty. A handler returns false if it could
/// not accept the event, which is then dropped.
struct GossipHandlers {
  std::function<bool(PayloadReceived)> on_payload;
  std::function<bool(ProcessResumed)> on_resume;
};

/// Runs the membership protocol and transports the payloads of other actors. Runs on the event loop
/// thread.
class GossipActor {
 public:
  /// Listens on `listen`. The other members send to `advertise` or, if that is empty, to the
  /// address that the socket is bound to. Throws std::system_error if the socket cannot be bound,
  /// and std::runtime_error if libsodium cannot be initialized.
  GossipActor(runtime::Scheduler& scheduler, SwimSettings settings, const sockaddr_in& listen,
              const std::string& advertise, const std::string& name, MacKeys keys,
              GossipHandlers handlers = {});

  GossipMailbox& inbox() { return inbox_; }
  /// Runs until it is cancelled.
  runtime::Task<> run();
  /// Announces immediately that this member leaves. Must be called when the process ends.
  void leave();
  const SwimNode& membership() const { return swim_; }
  /// Random number that identifies this process, drawn at its start.
  std::uint64_t boot_id() const { return boot_id_; }
  /// Number of received datagrams that failed verification.
  std::uint64_t rejected_datagrams() const { return rejected_datagrams_; }

 private:
  void detect_resume();
  /// Returns whether more datagrams may be waiting.
  bool receive_datagrams();
  void receive_datagram(const sockaddr_in& from, std::string_view datagram);
  void receive_payload(const std::string& address, DatagramAuthenticator::VerifiedPayload verified);
  void drain_inbox();
  void on(ReplaceKeys message);
  void on(const SendPayload& message);
  void send(const std::vector<Outgoing>& out);
  void send_to(const std::string& address, Channel channel, std::string payload);
  void log_changes();

  runtime::Scheduler& scheduler_;
  net::DatagramSocket socket_;
  const std::uint64_t boot_id_;
  DatagramAuthenticator authenticator_;
  SwimNode swim_;
  /// Maximum time between two turns of run(). A longer one is treated as a pause of the process.
  const Duration resume_gap_;
  PayloadAssembler assembler_;
  const GossipHandlers handlers_;
  GossipMailbox inbox_;
  Time last_turn_;
  std::uint64_t next_payload_id_ = 1;
  std::uint64_t rejected_datagrams_ = 0;
};

}  // namespace beechhill::membership
