// Splits payloads that exceed the size of a datagram into fragments and reassembles them.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace beechhill::membership {

/// Splits `payload` into fragments of at most kMaxPayloadBytes. `payload_id` must be unique among
/// the sender's payloads. Returns an empty vector if the payload is longer than about 300 kB.
std::vector<std::string> split_payload(std::uint64_t payload_id, std::string_view payload);

/// Reassembles the latest payload of each sender from its fragments. Fragments may arrive in any
/// order. An incomplete payload is dropped when a fragment of another payload arrives from the same
/// sender.
class PayloadAssembler {
 public:
  /// Adds a fragment received from `sender`. Returns the payload if this fragment completes it.
  /// Fragments with an invalid header are ignored, as are duplicates.
  std::optional<std::string> add(const std::string& sender, std::string_view fragment);

 private:
  struct PartialPayload {
    std::uint64_t payload_id = 0;
    std::size_t count = 0;
    /// The fragments received so far, keyed by index.
    std::map<std::size_t, std::string> fragments;
  };

  std::map<std::string, PartialPayload> partial_payloads_;
};

}  // namespace beechhill::membership
