#include "membership/datagram_authenticator.h"

#include <sodium.h>

#include <stdexcept>
#include <utility>

#include "base/byte_codec.h"
#include "membership/swim_node.h"

namespace beechhill::membership {
namespace {

static_assert(crypto_auth_KEYBYTES == sizeof(MacKey));
constexpr std::string_view kMagic = "BHT1";
constexpr std::size_t kKept = 2;  // of the latest sent to an address: a probe and what went with it
constexpr std::size_t kMostKeys = 2;
constexpr std::size_t kPart = kMaxPayloadBytes - 16;
constexpr std::size_t kMostParts = 256;  // 300 kB, several times what is ever agreed on at once

bool signed_by(const MacKey& key, std::string_view body, std::string_view mac) {
  return crypto_auth_verify(reinterpret_cast<const unsigned char*>(mac.data()),
                            reinterpret_cast<const unsigned char*>(body.data()), body.size(),
                            key.data()) == 0;
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
    if (line.empty()) {
      continue;
    }
    MacKey& key = keys.emplace_back();
    std::size_t size = 0;
    const char* end = nullptr;
    if (sodium_hex2bin(key.data(), key.size(), line.data(), line.size(), nullptr, &size, &end) !=
            0 ||
        size != key.size() || end != line.data() + line.size()) {
      throw std::invalid_argument("a key is 64 hexadecimal digits on a line of its own");
    }
  }
  if (keys.empty() || keys.size() > kMostKeys) {
    throw std::invalid_argument("one key, or two while they change");
  }
  return keys;
}

DatagramAuthenticator::DatagramAuthenticator(MacKeys keys, std::string name, std::uint64_t life,
                                             std::uint64_t seed)
    : keys_(std::move(keys)), name_(std::move(name)), life_(life), random_(seed) {
}

std::string DatagramAuthenticator::write(std::uint64_t ticket, Channel channel,
                                         std::string_view payload) {
  ByteWriter w;
  w.raw(kMagic).text(name_).number(life_).number(++number_).number(ticket).number(channel).raw(
      payload);
  std::string out = w.bytes();
  unsigned char mac[crypto_auth_BYTES];
  crypto_auth(mac, reinterpret_cast<const unsigned char*>(out.data()), out.size(),
              keys_.front().data());
  return out.append(reinterpret_cast<const char*>(mac), sizeof mac);
}

// Addresses come from members alone, and are as many; should they be more, all begin again.
DatagramAuthenticator::Link& DatagramAuthenticator::link(const std::string& address) {
  if (links_.size() >= kMaxMembers && !links_.contains(address)) {
    links_.clear();
  }
  return links_[address];
}

std::string DatagramAuthenticator::sign(const std::string& to, Channel channel,
                                        std::string payload) {
  Link& l = link(to);
  std::string out = write(l.session_nonce, channel, payload);
  l.last.emplace_back(channel, std::move(payload));
  if (l.last.size() > kKept) {
    l.last.pop_front();
  }
  return out;
}

bool DatagramAuthenticator::fresh(Sender& s, std::uint64_t number) {
  if (number > s.top) {
    const std::uint64_t by = number - s.top;
    s.seen = by < 64 ? s.seen << by : 0;
    s.seen |= 1;
    s.top = number;
    return true;
  }
  const std::uint64_t back = s.top - number;
  if (back >= 64 || (s.seen >> back & 1)) {
    return false;
  }
  s.seen |= std::uint64_t{1} << back;
  return true;
}

DatagramAuthenticator::VerifyResult DatagramAuthenticator::verify(const std::string& from,
                                                                  std::string_view datagram) {
  VerifyResult result;
  const auto refuse = [&result](const char* reason) {
    return result.rejection_reason = reason, result;
  };
  if (datagram.size() < kMagic.size() + crypto_auth_BYTES || datagram.size() > kMaxDatagramBytes) {
    return refuse("size");
  }
  const std::string_view body = datagram.substr(0, datagram.size() - crypto_auth_BYTES);
  const std::string_view mac = datagram.substr(body.size());
  bool known = false;
  for (const MacKey& key : keys_) {
    known = known || signed_by(key, body, mac);
  }
  if (!known) {
    return refuse("key");
  }
  ByteReader r(body);
  const std::uint32_t magic = r.number<std::uint32_t>();
  const std::string name = r.text(kMaxNameBytes);
  const auto life = r.number<std::uint64_t>(), number = r.number<std::uint64_t>(),
             ticket = r.number<std::uint64_t>();
  const auto channel = r.number<Channel>();
  if (!r.ok() || ByteReader(kMagic).number<std::uint32_t>() != magic ||
      channel > Channel::kCoordination) {
    return refuse("form");
  }
  if (name.empty() || name == name_) {
    return refuse("name");
  }
  std::string payload(r.rest());
  if (channel == Channel::kHello) {
    ByteReader hello(payload);
    const auto for_life = hello.number<std::uint64_t>(), drawn = hello.number<std::uint64_t>();
    if (!hello.done() || for_life != life_) {
      return refuse("hello");
    }
    Link& l = link(from);
    if (std::exchange(l.session_nonce, drawn) == drawn) {
      return result;
    }
    for (const auto& [what, text] : l.last) {
      result.replies.push_back(write(drawn, what, text));
    }
    return result;
  }
  if (!senders_.contains(name) && senders_.size() >= kMaxMembers) {
    return refuse("members");
  }
  Sender& s = senders_[name];
  if (ticket != 0 && life == s.next_life && ticket == s.next_ticket) {
    s = {life, ticket, 0, 0, 0, 0};  // it has shown that it lives now: its earlier life is over
  }
  if (ticket == 0 || life != s.boot_id || ticket != s.session_nonce) {
    if (s.next_life != life || s.next_ticket == 0) {
      s.next_life = life, s.next_ticket = random_() | 1;
    }
    ByteWriter hello;
    result.replies.push_back(write(
        0, Channel::kHello,
        hello.number(life).number(life == s.boot_id ? s.session_nonce : s.next_ticket).bytes()));
    return refuse("ticket");
  }
  if (!fresh(s, number)) {
    return refuse("again");
  }
  result.verified = VerifiedPayload{name, channel, std::move(payload)};
  return result;
}

std::vector<std::string> split_payload(std::uint64_t number, std::string_view whole) {
  std::vector<std::string> parts;
  const std::size_t count = std::max<std::size_t>(1, (whole.size() + kPart - 1) / kPart);
  if (count > kMostParts) {
    return parts;
  }
  for (std::size_t i = 0; i < count; ++i) {
    ByteWriter w;
    w.number(number)
        .number(static_cast<std::uint16_t>(i))
        .number(static_cast<std::uint16_t>(count))
        .raw(whole.substr(i * kPart, kPart));
    parts.push_back(w.bytes());
  }
  return parts;
}

std::optional<std::string> PayloadAssembler::add(const std::string& from, std::string_view part) {
  ByteReader r(part);
  const auto number = r.number<std::uint64_t>();
  const std::size_t place = r.number<std::uint16_t>(), count = r.number<std::uint16_t>();
  if (!r.ok() || place >= count || count > kMostParts) {
    return std::nullopt;
  }
  if (count == 1) {
    return std::string(r.rest());
  }
  if (!open_.contains(from) && open_.size() >= kMaxMembers) {
    return std::nullopt;
  }
  Open& o = open_[from];
  if (o.number != number || o.parts.size() != count) {
    o = {number, std::vector<std::optional<std::string>>(count), 0};
  }
  if (o.parts[place]) {
    return std::nullopt;
  }
  o.parts[place] = std::string(r.rest());
  if (++o.there < count) {
    return std::nullopt;
  }
  std::string whole;
  for (auto& p : o.parts) {
    whole += *p;
  }
  open_.erase(from);
  return whole;
}

}  // namespace beechhill::membership
