// Proves that a datagram was sent by a member and is not a replay: a keyed MAC over all of it, a
// counter with a replay window, and a session nonce that the receiver draws for each process of a
// sender. A captured datagram is rejected also by a receiver that has restarted since, and
// independently of clocks. Sans I/O. docs/design/membership.md compares the alternatives.
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
  /// Too short for a datagram, or longer than kMaxDatagramBytes.
  kSize,
  /// The MAC was made with none of the keys, or the datagram was altered.
  kMac,
  /// Another format or version.
  kFormat,
  /// The sender has no name, or this process's own.
  kSenderName,
  /// A malformed hello, or one for another process.
  kHello,
  /// Datagrams of kMaxMembers senders have been accepted already.
  kTooManySenders,
  /// The sender has yet to show the session nonce. A hello with the nonce is among the replies.
  kSessionNonce,
  /// The counter has been seen already, or is too old.
  kReplay,
};

/// Signs and verifies the datagrams of one process. Not thread-safe.
class DatagramAuthenticator {
 public:
  /// `boot_id`: of this process, drawn at its start. `seed`: of the session nonces; it must not be
  /// known to others.
  DatagramAuthenticator(MacKeys keys, std::string name, std::uint64_t boot_id, std::uint64_t seed);

  /// Replaces the keys. Sessions stay.
  void change_keys(MacKeys keys) { keys_ = std::move(keys); }

  /// A datagram for the member at address `to`. `payload` has at most kMaxPayloadBytes. The latest
  /// payloads to an address are kept, to be sent again where the receiver asks for a new session.
  std::string sign(const std::string& to, Channel channel, std::string payload);

  struct VerifiedPayload {
    /// The sender's name.
    std::string sender;
    Channel channel = Channel::kHello;
    std::string payload;
  };
  /// A hello yields neither a payload nor a rejection.
  struct VerifyResult {
    std::optional<VerifiedPayload> verified;
    /// Datagrams to be sent to where this one came from.
    std::vector<std::string> replies;
    std::optional<RejectionReason> rejection;
  };
  /// Verifies a datagram that came from address `from`.
  VerifyResult verify(const std::string& from, std::string_view datagram);

 private:
  /// The sessions of a sender, by which this process receives.
  struct InboundSession {
    std::uint64_t boot_id = 0;
    std::uint64_t session_nonce = 0;
    ReplayWindow window;
    /// A process that has yet to show the nonce drawn for it; 0: none.
    std::uint64_t pending_boot_id = 0;
    std::uint64_t pending_nonce = 0;
  };
  /// The session with a receiver, in which this process sends.
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
  /// By the sender's name.
  std::map<std::string, InboundSession> inbound_sessions_;
  /// By the receiver's address.
  std::map<std::string, OutboundSession> outbound_sessions_;
};

}  // namespace beechhill::membership
