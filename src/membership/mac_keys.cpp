#include "membership/mac_keys.h"

#include <sodium.h>

#include <algorithm>
#include <stdexcept>

namespace beechhill::membership {
namespace {

static_assert(crypto_auth_KEYBYTES == kMacKeyBytes);
static_assert(crypto_auth_BYTES == kMacBytes);

constexpr std::size_t kMaxKeys = 2;

const unsigned char* unsigned_bytes(std::string_view bytes) {
  return reinterpret_cast<const unsigned char*>(bytes.data());
}

MacKey parse_key(std::string_view line) {
  MacKey key{};
  std::size_t size = 0;
  const char* end = nullptr;
  const int error =
      sodium_hex2bin(key.data(), key.size(), line.data(), line.size(), nullptr, &size, &end);
  if (error != 0 || size != key.size() || end != line.data() + line.size()) {
    throw std::invalid_argument(
        "invalid key line: expected exactly 64 hexadecimal digits, one key per line");
  }
  return key;
}

}  // namespace

MacKeys parse_keys(std::string_view text) {
  MacKeys keys;
  while (!text.empty()) {
    std::string_view line = text.substr(0, text.find('\n'));
    text.remove_prefix(std::min(text.size(), line.size() + 1));
    while (!line.empty() && (line.back() == '\r' || line.back() == ' ')) {
      line.remove_suffix(1);
    }
    if (!line.empty()) {
      keys.push_back(parse_key(line));
    }
  }
  if (keys.empty() || keys.size() > kMaxKeys) {
    throw std::invalid_argument("found " + std::to_string(keys.size()) +
                                " keys: expected one, or two during a key rotation");
  }
  return keys;
}

std::string compute_mac(const MacKey& key, std::string_view bytes) {
  std::array<unsigned char, kMacBytes> mac{};
  crypto_auth(mac.data(), unsigned_bytes(bytes), bytes.size(), key.data());
  return {reinterpret_cast<const char*>(mac.data()), mac.size()};
}

bool verify_mac(const MacKeys& keys, std::string_view bytes, std::string_view mac) {
  return std::any_of(keys.begin(), keys.end(), [&](const MacKey& key) {
    return crypto_auth_verify(unsigned_bytes(mac), unsigned_bytes(bytes), bytes.size(),
                              key.data()) == 0;
  });
}

}  // namespace beechhill::membership
