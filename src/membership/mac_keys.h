// The cluster's shared keys, and the message authentication codes made with them: libsodium's
// crypto_auth, HMAC-SHA-512-256.
#pragma once

#include <array>
#include <string>
#include <string_view>
#include <vector>

namespace beechhill::membership {

/// Bytes of a key and of a MAC.
inline constexpr std::size_t kMacKeyBytes = 32;
inline constexpr std::size_t kMacBytes = 32;

using MacKey = std::array<unsigned char, kMacKeyBytes>;

/// One key, or two while they are rotated: the first signs, either is accepted.
using MacKeys = std::vector<MacKey>;

/// Reads a key from each line of 64 hexadecimal digits; empty lines are skipped. Throws
/// std::invalid_argument, with a message for the operator, where a line is none or there are not
/// one or two keys.
MacKeys parse_keys(std::string_view text);

/// The MAC of `bytes`, of kMacBytes.
std::string compute_mac(const MacKey& key, std::string_view bytes);

/// Whether `mac`, of kMacBytes, was made of `bytes` with one of `keys`. Compares in constant time.
bool verify_mac(const MacKeys& keys, std::string_view bytes, std::string_view mac);

}  // namespace beechhill::membership
