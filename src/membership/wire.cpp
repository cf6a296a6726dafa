#include "membership/wire.h"

#include "membership/bytes.h"

namespace beechhill::membership {
namespace {

constexpr std::size_t kLongestAddress = 21;  // of IPv4 and a port

}  // namespace

std::string encode(const Message& m) {
  Writer w;
  w.number(m.kind).number(m.number).text(m.about).number(m.digest).number(
      static_cast<std::uint8_t>(m.rumours.size()));
  for (const Rumour& r : m.rumours) {
    w.text(r.name).text(r.address).number(r.state).number(r.incarnation).number(r.life).text(r.by);
  }
  return w.bytes();
}

std::optional<Message> decode(std::string_view bytes) {
  Reader r(bytes);
  Message m;
  m.kind = r.number<Kind>();
  m.number = r.number<std::uint64_t>();
  m.about = r.text(kLongestName);
  m.digest = r.number<std::uint64_t>();
  const std::size_t count = r.number<std::uint8_t>();
  if (!r.ok() || m.kind > Kind::kList || count > kMostRumours + 2) {
    return std::nullopt;
  }
  for (std::size_t i = 0; i < count; ++i) {
    Rumour& u = m.rumours.emplace_back();
    u.name = r.text(kLongestName);
    u.address = r.text(kLongestAddress);
    u.state = r.number<State>();
    u.incarnation = r.number<std::uint32_t>();
    u.life = r.number<std::uint64_t>();
    u.by = r.text(kLongestName);
    if (u.name.empty() || u.state > State::kLeft) {
      return std::nullopt;
    }
  }
  if (!r.done()) {
    return std::nullopt;
  }
  return m;
}

}  // namespace beechhill::membership
