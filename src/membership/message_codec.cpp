#include "membership/message_codec.h"

#include "base/byte_codec.h"

namespace beechhill::membership {
namespace {

using base::ByteReader;
using base::ByteWriter;

// Length of the longest address, "255.255.255.255:65535".
constexpr std::size_t kMaxAddressBytes = 21;
// Maximum number of updates in a message. Besides the piggybacked updates, a sender includes the
// destination's state and its own state.
constexpr std::size_t kMaxDecodedUpdates = kMaxUpdatesPerMessage + 2;

void encode_update(ByteWriter& writer, const MemberUpdate& update) {
  writer.text(update.name);
  writer.text(update.address);
  writer.number(update.state);
  writer.number(update.incarnation);
  writer.number(update.boot_id);
  writer.text(update.suspected_by);
}

MemberUpdate decode_update(ByteReader& reader) {
  MemberUpdate update;
  update.name = reader.text(kMaxNameBytes);
  update.address = reader.text(kMaxAddressBytes);
  update.state = reader.number<MemberState>();
  update.incarnation = reader.number<std::uint32_t>();
  update.boot_id = reader.number<std::uint64_t>();
  update.suspected_by = reader.text(kMaxNameBytes);
  return update;
}

}  // namespace

std::string encode(const Message& message) {
  ByteWriter writer;
  writer.number(message.type);
  writer.number(message.sequence_number);
  writer.text(message.subject);
  writer.number(message.digest);
  writer.number(static_cast<std::uint8_t>(message.updates.size()));
  for (const MemberUpdate& update : message.updates) {
    encode_update(writer, update);
  }
  return writer.bytes();
}

std::optional<Message> decode(std::string_view bytes) {
  ByteReader reader(bytes);
  Message message;
  message.type = reader.number<MessageType>();
  message.sequence_number = reader.number<std::uint64_t>();
  message.subject = reader.text(kMaxNameBytes);
  message.digest = reader.number<std::uint64_t>();
  const std::size_t update_count = reader.number<std::uint8_t>();
  if (!reader.ok() || message.type > MessageType::kSyncResponse ||
      update_count > kMaxDecodedUpdates) {
    return std::nullopt;
  }
  for (std::size_t i = 0; i < update_count; ++i) {
    const MemberUpdate& update = message.updates.emplace_back(decode_update(reader));
    if (update.name.empty() || update.state > MemberState::kLeft) {
      return std::nullopt;
    }
  }
  if (!reader.done()) {
    return std::nullopt;
  }
  return message;
}

}  // namespace beechhill::membership
