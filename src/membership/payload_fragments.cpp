#include "membership/payload_fragments.h"

#include <algorithm>

#include "base/byte_codec.h"
#include "membership/datagram_codec.h"
#include "membership/message.h"

namespace beechhill::membership {
namespace {

// Size of a fragment's header: the payload's id, the fragment's index and the number of fragments.
constexpr std::size_t kHeaderBytes = 8 + 2 + 2;
// Number of unused bytes left in each datagram's payload as a safety margin.
constexpr std::size_t kSpareBytes = 4;
constexpr std::size_t kFragmentBytes = kMaxPayloadBytes - kHeaderBytes - kSpareBytes;
// Maximum number of fragments of a payload. It limits a payload to about 300 kB, several times the
// largest payload that is ever sent.
constexpr std::size_t kMaxFragments = 256;

}  // namespace

std::vector<std::string> split_payload(std::uint64_t payload_id, std::string_view payload) {
  std::vector<std::string> fragments;
  const std::size_t count =
      std::max<std::size_t>(1, (payload.size() + kFragmentBytes - 1) / kFragmentBytes);
  if (count > kMaxFragments) {
    return fragments;
  }
  for (std::size_t index = 0; index < count; ++index) {
    base::ByteWriter writer;
    writer.number(payload_id);
    writer.number(static_cast<std::uint16_t>(index));
    writer.number(static_cast<std::uint16_t>(count));
    writer.raw(payload.substr(index * kFragmentBytes, kFragmentBytes));
    fragments.push_back(writer.bytes());
  }
  return fragments;
}

std::optional<std::string> PayloadAssembler::add(const std::string& sender,
                                                 std::string_view fragment) {
  base::ByteReader reader(fragment);
  const auto payload_id = reader.number<std::uint64_t>();
  const std::size_t index = reader.number<std::uint16_t>();
  const std::size_t count = reader.number<std::uint16_t>();
  if (!reader.ok() || index >= count || count > kMaxFragments) {
    return std::nullopt;
  }
  if (count == 1) {
    return std::string(reader.rest());
  }
  if (!partial_payloads_.contains(sender) && partial_payloads_.size() >= kMaxMembers) {
    return std::nullopt;
  }
  PartialPayload& partial = partial_payloads_[sender];
  if (partial.payload_id != payload_id || partial.count != count) {
    partial = {payload_id, count, {}};
  }
  const bool duplicate = !partial.fragments.try_emplace(index, reader.rest()).second;
  if (duplicate || partial.fragments.size() < count) {
    return std::nullopt;
  }
  std::string payload;
  for (const auto& [position, bytes] : partial.fragments) {
    payload += bytes;
  }
  partial_payloads_.erase(sender);
  return payload;
}

}  // namespace beechhill::membership
