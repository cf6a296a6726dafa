#include "membership/message_codec.h"

#include "base/byte_codec.h"

namespace beechhill::membership {
namespace {

constexpr std::size_t kLongestAddress = 21;  // of IPv4 and a port

}  // namespace

std::string encode(const Message& m) {
  ByteWriter w;
  w.number(m.type)
      .number(m.sequence_number)
      .text(m.subject)
      .number(m.digest)
      .number(static_cast<std::uint8_t>(m.updates.size()));
  for (const MemberUpdate& r : m.updates) {
    w.text(r.name)
        .text(r.address)
        .number(r.state)
        .number(r.incarnation)
        .number(r.boot_id)
        .text(r.suspected_by);
  }
  return w.bytes();
}

std::optional<Message> decode(std::string_view bytes) {
  ByteReader r(bytes);
  Message m;
  m.type = r.number<MessageType>();
  m.sequence_number = r.number<std::uint64_t>();
  m.subject = r.text(kMaxNameBytes);
  m.digest = r.number<std::uint64_t>();
  const std::size_t count = r.number<std::uint8_t>();
  if (!r.ok() || m.type > MessageType::kSyncResponse || count > kMaxUpdatesPerMessage + 2) {
    return std::nullopt;
  }
  for (std::size_t i = 0; i < count; ++i) {
    MemberUpdate& u = m.updates.emplace_back();
    u.name = r.text(kMaxNameBytes);
    u.address = r.text(kLongestAddress);
    u.state = r.number<MemberState>();
    u.incarnation = r.number<std::uint32_t>();
    u.boot_id = r.number<std::uint64_t>();
    u.suspected_by = r.text(kMaxNameBytes);
    if (u.name.empty() || u.state > MemberState::kLeft) {
      return std::nullopt;
    }
  }
  if (!r.done()) {
    return std::nullopt;
  }
  return m;
}

}  // namespace beechhill::membership
