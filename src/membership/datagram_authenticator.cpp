#include "membership/datagram_authenticator.h"

#include <utility>

#include "membership/message.h"

namespace beechhill::membership {
namespace {

// Maximum number of payloads kept for each receiver. Two suffice for the latest probe and the
// message sent with it.
constexpr std::size_t kMaxKeptPayloads = 2;
// Minimum size of a datagram that is verified: a magic number of 4 bytes and a MAC.
constexpr std::size_t kMinDatagramBytes = 4 + kMacBytes;

DatagramAuthenticator::VerifyResult rejected(RejectionReason reason) {
  DatagramAuthenticator::VerifyResult result;
  result.rejection = reason;
  return result;
}

}  // namespace

DatagramAuthenticator::DatagramAuthenticator(MacKeys keys, std::string name, std::uint64_t boot_id,
                                             std::uint64_t seed)
    : keys_(std::move(keys)), name_(std::move(name)), boot_id_(boot_id), random_(seed) {
}

std::string DatagramAuthenticator::sign(const std::string& to, Channel channel,
                                        std::string payload) {
  OutboundSession& session = outbound_session(to);
  std::string datagram = sign_with_nonce(session.session_nonce, channel, payload);
  session.latest_payloads.emplace_back(channel, std::move(payload));
  if (session.latest_payloads.size() > kMaxKeptPayloads) {
    session.latest_payloads.pop_front();
  }
  return datagram;
}

std::string DatagramAuthenticator::sign_with_nonce(std::uint64_t session_nonce, Channel channel,
                                                   std::string payload) {
  const Datagram datagram{name_, boot_id_, ++counter_, session_nonce, channel, std::move(payload)};
  std::string bytes = encode(datagram);
  bytes += compute_mac(keys_.front(), bytes);
  return bytes;
}

// Only addresses of members are passed in, so at most kMaxMembers sessions are expected. If there
// are ever more addresses, all sessions are dropped and established again, which bounds memory.
DatagramAuthenticator::OutboundSession& DatagramAuthenticator::outbound_session(
    const std::string& address) {
  if (outbound_sessions_.size() >= kMaxMembers && !outbound_sessions_.contains(address)) {
    outbound_sessions_.clear();
  }
  return outbound_sessions_[address];
}

DatagramAuthenticator::VerifyResult DatagramAuthenticator::verify(const std::string& from,
                                                                  std::string_view datagram) {
  if (datagram.size() < kMinDatagramBytes || datagram.size() > kMaxDatagramBytes) {
    return rejected(RejectionReason::kSize);
  }
  const std::string_view body = datagram.substr(0, datagram.size() - kMacBytes);
  const std::string_view mac = datagram.substr(body.size());
  if (!verify_mac(keys_, body, mac)) {
    return rejected(RejectionReason::kMac);
  }
  std::optional<Datagram> decoded = decode_datagram(body);
  if (!decoded) {
    return rejected(RejectionReason::kFormat);
  }
  if (decoded->sender.empty() || decoded->sender == name_) {
    return rejected(RejectionReason::kSenderName);
  }
  if (decoded->channel == Channel::kHello) {
    return accept_hello(from, decoded->payload);
  }
  if (!inbound_sessions_.contains(decoded->sender) && inbound_sessions_.size() >= kMaxMembers) {
    return rejected(RejectionReason::kTooManySenders);
  }
  InboundSession& session = inbound_sessions_[decoded->sender];
  const std::uint64_t nonce = decoded->session_nonce;
  if (nonce != 0 && decoded->boot_id == session.pending_boot_id && nonce == session.pending_nonce) {
    // The datagram proves that the process received the nonce, so the process is running now and
    // replaces the sender's previous process.
    session = InboundSession{decoded->boot_id, nonce, {}, 0, 0};
  }
  if (nonce == 0 || decoded->boot_id != session.boot_id || nonce != session.session_nonce) {
    VerifyResult result = rejected(RejectionReason::kSessionNonce);
    result.replies.push_back(hello_for(session, decoded->boot_id));
    return result;
  }
  if (!session.window.accept(decoded->counter)) {
    return rejected(RejectionReason::kReplay);
  }
  VerifyResult result;
  result.verified = VerifiedPayload{decoded->sender, decoded->channel, std::move(decoded->payload)};
  return result;
}

// Handles a hello in which the receiver at `from` gives this process a nonce. If the nonce is new,
// returns the latest payloads for that receiver, signed with the nonce.
DatagramAuthenticator::VerifyResult DatagramAuthenticator::accept_hello(const std::string& from,
                                                                        std::string_view payload) {
  const std::optional<SessionHello> hello = decode_hello(payload);
  if (!hello || hello->boot_id != boot_id_) {
    return rejected(RejectionReason::kHello);
  }
  VerifyResult result;
  OutboundSession& session = outbound_session(from);
  if (std::exchange(session.session_nonce, hello->session_nonce) == hello->session_nonce) {
    return result;
  }
  for (const auto& [channel, latest_payload] : session.latest_payloads) {
    result.replies.push_back(sign_with_nonce(hello->session_nonce, channel, latest_payload));
  }
  return result;
}

// Returns a hello that gives the sender's process `boot_id` its session nonce. A process without a
// nonce gets a newly drawn one.
std::string DatagramAuthenticator::hello_for(InboundSession& session, std::uint64_t boot_id) {
  if (session.pending_boot_id != boot_id || session.pending_nonce == 0) {
    session.pending_boot_id = boot_id;
    session.pending_nonce = random_() | 1;
  }
  const bool current = boot_id == session.boot_id;
  const SessionHello hello{boot_id, current ? session.session_nonce : session.pending_nonce};
  return sign_with_nonce(0, Channel::kHello, encode(hello));
}

}  // namespace beechhill::membership
