// The wire format of datagrams among proxies: a header, a payload and a MAC over both.
// tests/membership_codec_test.cpp holds golden bytes.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace beechhill::membership {

/// What a payload belongs to; its value goes on the wire.
enum class Channel : std::uint8_t {
  /// A SessionHello of the authenticator itself.
  kHello,
  /// A membership message.
  kSwim,
  /// A message of the maintenance group's Raft log.
  kRaft,
  /// A message of the maintenance coordinator.
  kCoordination,
};

/// Fits into the MTU of every common link, so that no datagram is fragmented.
inline constexpr std::size_t kMaxDatagramBytes = 1'400;
/// Of a datagram's payload, whatever the sender's name.
inline constexpr std::size_t kMaxPayloadBytes = 1'250;

/// A datagram without its MAC.
struct Datagram {
  /// The sender's name.
  std::string sender;
  /// Of the sender's process.
  std::uint64_t boot_id = 0;
  /// Counts the datagrams of the process, from 1.
  std::uint64_t counter = 0;
  /// Drawn by the receiver for this process of the sender; 0 where the sender has none yet.
  std::uint64_t session_nonce = 0;
  Channel channel = Channel::kHello;
  std::string payload;
};

/// The payload on Channel::kHello: the nonce that the addressed process has to show from now on.
struct SessionHello {
  /// Of the process that the nonce was drawn for.
  std::uint64_t boot_id = 0;
  std::uint64_t session_nonce = 0;
};

std::string encode(const Datagram& datagram);
/// The inverse of encode(). Empty where `bytes` are truncated or of another format. The sender's
/// name may be empty.
std::optional<Datagram> decode_datagram(std::string_view bytes);

std::string encode(const SessionHello& hello);
/// The inverse of encode(). Empty where `bytes` have another size.
std::optional<SessionHello> decode_hello(std::string_view bytes);

}  // namespace beechhill::membership
