// Verifies that a datagram was sent by a member and is not a replay. Every datagram carries a keyed
// MAC, a counter that is checked against a replay window, and a session nonce that the receiver
// draws for each process of a sender. The nonce makes a receiver reject captured datagrams even
// after its own restart, without relying on clocks. Performs no I/O. docs/design/membership.md
// compares the alternatives.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "membership/datagram_codec.h"
#include "membership/mac_keys.h"
#include "membership/replay_window.h"

namespace beechhill::membership {

/// Why a datagram was rejected.
enum class RejectionReason {
  /// The datagram is shorter than a magic number and a MAC, or longer than kMaxDatagramBytes.
  kSize,
  /// The MAC was made with none of the known keys, or the datagram was altered.
  kMac,
  /// The datagram has an unknown format or version.
  kFormat,
  /// The sender's name is empty or equals this process's own name.
  kSenderName,
  /// The hello is malformed or is addressed to another process.
  kHello,
  /// The sender is new, and kMaxMembers other senders are known already.
  kTooManySenders,
  /// The datagram does not carry the current session nonce. The replies include a hello with that
  /// nonce.
  kSessionNonce,
  /// The counter value was accepted before, or is older than the replay window.
  kReplay,
};

/// Signs and verifies the datagrams of one process. Not thread-safe.
class DatagramAuthenticator {
 public:
  /// `boot_id` identifies this process and is drawn at its start. `seed` initializes the generator
  /// of session nonces and must be kept secret.
  DatagramAuthenticator(MacKeys keys, std::string name, std::uint64_t boot_id, std::uint64_t seed);

  /// Replaces the keys. Existing sessions are kept.
  void change_keys(MacKeys keys) { keys_ = std::move(keys); }

  /// Returns a signed datagram for the member at address `to`. `payload` has at most
  /// kMaxPayloadBytes. The latest two payloads for each address are kept, because they are sent
  /// again when the receiver requests a new session.
  std::string sign(const std::string& to, Channel channel, std::string payload);

  struct VerifiedPayload {
    /// The sender's name.
    std::string sender;
    Channel channel = Channel::kHello;
    std::string payload;
  };
  /// The outcome of verify(). A hello yields neither a payload nor a rejection.
  struct VerifyResult {
    std::optional<VerifiedPayload> verified;
    /// Datagrams to be sent to the address that the verified datagram came from.
    std::vector<std::string> replies;
    std::optional<RejectionReason> rejection;
  };
  /// Verifies a datagram that was received from address `from`.
  VerifyResult verify(const std::string& from, std::string_view datagram);

 private:
  /// The established and the pending session of one sender.
  struct InboundSession {
    std::uint64_t boot_id = 0;
    std::uint64_t session_nonce = 0;
    ReplayWindow window;
    /// The boot id and nonce of a process that has not yet sent a datagram with the nonce. A nonce
    /// of 0 means that there is no such process.
    std::uint64_t pending_boot_id = 0;
    std::uint64_t pending_nonce = 0;
  };
  /// The session in which this process sends to one receiver.
  struct OutboundSession {
    std::uint64_t session_nonce = 0;
    std::deque<std::pair<Channel, std::string>> latest_payloads;
  };

  std::string sign_with_nonce(std::uint64_t session_nonce, Channel channel, std::string payload);
  OutboundSession& outbound_session(const std::string& address);
  VerifyResult accept_hello(const std::string& from, std::string_view payload);
  std::string hello_for(InboundSession& session, std::uint64_t boot_id);

  MacKeys keys_;
  const std::string name_;
  const std::uint64_t boot_id_;
  std::mt19937_64 random_;
  std::uint64_t counter_ = 0;
  /// Keyed by the sender's name.
  std::map<std::string, InboundSession> inbound_sessions_;
  /// Keyed by the receiver's address.
  std::map<std::string, OutboundSession> outbound_sessions_;
};

}  // namespace beechhill::membership
