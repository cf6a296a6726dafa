// Fragmentation of payloads that are longer than a datagram, and their reassembly.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace beechhill::membership {

/// Splits `payload` into fragments of at most kMaxPayloadBytes. `payload_id` differs from that of
/// any other payload of this sender. Empty where the payload is longer than about 300 kB.
std::vector<std::string> split_payload(std::uint64_t payload_id, std::string_view payload);

/// Reassembles the fragments of each sender's latest payload. Fragments may arrive in any order; a
/// payload of which one is lost is dropped as soon as the sender's next one begins.
class PayloadAssembler {
 public:
  /// Takes a fragment from `sender`. Returns the payload where it is complete now.
  std::optional<std::string> add(const std::string& sender, std::string_view fragment);

 private:
  struct PartialPayload {
    std::uint64_t payload_id = 0;
    std::size_t count = 0;
    /// Those received so far, by index.
    std::map<std::size_t, std::string> fragments;
  };

  std::map<std::string, PartialPayload> partial_payloads_;
};

}  // namespace beechhill::membership
