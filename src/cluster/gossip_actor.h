// The actor that connects this process to the other proxies. Sole owner of the gossip socket, the
// authenticator and the membership state machine; other actors send and receive payloads through
// mailboxes.
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

/// Sends a payload to a member. Best effort: it is dropped where the member is not known, and may
/// be lost, duplicated or reordered like any datagram.
struct SendPayload {
  /// The member's name.
  std::string to;
  Channel channel = Channel::kCoordination;
  std::string payload;
};

/// Replaces the MAC keys, as after a reload.
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

/// The process did not run for a while. Comes before any payload that arrived meanwhile.
struct ProcessResumed {};

/// Where received payloads and resumes go. Each may be empty. A handler returns false where it
/// could not take the event, which is then dropped.
struct GossipHandlers {
  std::function<bool(PayloadReceived)> on_payload;
  std::function<bool(ProcessResumed)> on_resume;
};

/// Runs on the event loop thread.
class GossipActor {
 public:
  /// Listens on `listen`; the other members reach it at `advertise`, or where that is empty at the
  /// address it listens on. Throws std::system_error where it cannot listen, and
  /// std::runtime_error where libsodium cannot be used.
  GossipActor(runtime::Scheduler& scheduler, SwimSettings settings, const sockaddr_in& listen,
              const std::string& advertise, const std::string& name, MacKeys keys,
              GossipHandlers handlers = {});

  GossipMailbox& inbox() { return inbox_; }
  /// Runs until it is cancelled.
  runtime::Task<> run();
  /// Announces at once that this member leaves. To be called at the process's end.
  void leave();
  const SwimNode& membership() const { return swim_; }
  /// Of this process, drawn at its start.
  std::uint64_t boot_id() const { return boot_id_; }
  /// Datagrams that failed verification.
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
  /// A longer time between two turns of run() is taken for a pause of the process.
  const Duration resume_gap_;
  PayloadAssembler assembler_;
  const GossipHandlers handlers_;
  GossipMailbox inbox_;
  Time last_turn_;
  std::uint64_t next_payload_id_ = 1;
  std::uint64_t rejected_datagrams_ = 0;
};

}  // namespace beechhill::membership
