#include "membership/datagram_codec.h"

#include "base/byte_codec.h"
#include "membership/message.h"

namespace beechhill::membership {
namespace {

using base::ByteReader;
using base::ByteWriter;

// Identifies the format and its version.
constexpr std::string_view kMagic = "BHT1";

std::uint32_t magic_number() {
  return ByteReader(kMagic).number<std::uint32_t>();
}

}  // namespace

std::string encode(const Datagram& datagram) {
  ByteWriter writer;
  writer.raw(kMagic);
  writer.text(datagram.sender);
  writer.number(datagram.boot_id);
  writer.number(datagram.counter);
  writer.number(datagram.session_nonce);
  writer.number(datagram.channel);
  writer.raw(datagram.payload);
  return writer.bytes();
}

std::optional<Datagram> decode_datagram(std::string_view bytes) {
  ByteReader reader(bytes);
  const auto magic = reader.number<std::uint32_t>();
  Datagram datagram;
  datagram.sender = reader.text(kMaxNameBytes);
  datagram.boot_id = reader.number<std::uint64_t>();
  datagram.counter = reader.number<std::uint64_t>();
  datagram.session_nonce = reader.number<std::uint64_t>();
  datagram.channel = reader.number<Channel>();
  if (!reader.ok() || magic != magic_number() || datagram.channel > Channel::kCoordination) {
    return std::nullopt;
  }
  datagram.payload = reader.rest();
  return datagram;
}

std::string encode(const SessionHello& hello) {
  ByteWriter writer;
  writer.number(hello.boot_id);
  writer.number(hello.session_nonce);
  return writer.bytes();
}

std::optional<SessionHello> decode_hello(std::string_view bytes) {
  ByteReader reader(bytes);
  SessionHello hello;
  hello.boot_id = reader.number<std::uint64_t>();
  hello.session_nonce = reader.number<std::uint64_t>();
  if (!reader.done()) {
    return std::nullopt;
  }
  return hello;
}

}  // namespace beechhill::membership
