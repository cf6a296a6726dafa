// The wire format of datagrams between proxies: a header, a payload and a MAC over both.
// tests/membership_codec_test.cpp checks it against golden bytes.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace beechhill::membership {

/// The protocol that a payload belongs to. The values are part of the wire format.
enum class Channel : std::uint8_t {
  /// A SessionHello, used by DatagramAuthenticator itself.
  kHello,
  /// A membership message.
  kSwim,
  /// A message of the maintenance group's Raft log.
  kRaft,
  /// A message of the maintenance coordinator.
  kCoordination,
};

/// Maximum size of a datagram in bytes. Datagrams of this size fit into the MTU of common links,
/// which avoids IP fragmentation.
inline constexpr std::size_t kMaxDatagramBytes = 1'400;
/// Maximum size of a datagram's payload in bytes, for the longest sender name.
inline constexpr std::size_t kMaxPayloadBytes = 1'250;

/// A datagram without its MAC.
struct Datagram {
  /// The sender's name.
  std::string sender;
  /// Identifies the sender's process.
  std::uint64_t boot_id = 0;
  /// Counts the datagrams that the process has sent, starting at 1.
  std::uint64_t counter = 0;
  /// The nonce that the receiver drew for the sender's process; 0 before the sender has received
  /// one.
  std::uint64_t session_nonce = 0;
  Channel channel = Channel::kHello;
  std::string payload;
};

/// The payload on Channel::kHello: the nonce that the addressed process must use from now on.
struct SessionHello {
  /// Identifies the process that the nonce was drawn for.
  std::uint64_t boot_id = 0;
  std::uint64_t session_nonce = 0;
};

std::string encode(const Datagram& datagram);
/// The inverse of encode(). Returns nothing if `bytes` are truncated or in another format. The
/// sender's name may be empty.
std::optional<Datagram> decode_datagram(std::string_view bytes);

std::string encode(const SessionHello& hello);
/// The inverse of encode(). Returns nothing if `bytes` have the wrong size.
std::optional<SessionHello> decode_hello(std::string_view bytes);

}  // namespace beechhill::membership
