// The cluster's shared keys and the message authentication codes computed with them, using
// libsodium's crypto_auth (HMAC-SHA-512-256).
#pragma once

#include <array>
#include <string>
#include <string_view>
#include <vector>

namespace beechhill::membership {

/// Sizes of a key and of a MAC in bytes.
inline constexpr std::size_t kMacKeyBytes = 32;
inline constexpr std::size_t kMacBytes = 32;

using MacKey = std::array<unsigned char, kMacKeyBytes>;

/// The cluster's keys: one, or two during a key rotation. The first key signs; MACs made with
/// either are accepted.
using MacKeys = std::vector<MacKey>;

/// Parses one key of 64 hexadecimal digits per line; empty lines are skipped. Throws
/// std::invalid_argument, with a message for the operator, if a line is not a valid key or there
/// are not one or two keys.
MacKeys parse_keys(std::string_view text);

/// Returns the MAC of `bytes`. The size of the MAC is kMacBytes.
std::string compute_mac(const MacKey& key, std::string_view bytes);

/// Whether `mac`, which must have kMacBytes, is the MAC of `bytes` under one of `keys`. Compares in
/// constant time.
bool verify_mac(const MacKeys& keys, std::string_view bytes, std::string_view mac);

}  // namespace beechhill::membership
