// State shared by the actors of all backends, such as the budget of descriptors.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <functional>
#include <vector>

#include "beechhill/balancer.h"
#include "proxy/body_pipe.h"
#include "proxy/descriptor_budget.h"
#include "proxy/idle_connections.h"
#include "proxy/settling_time.h"
#include "proxy/telemetry.h"

namespace beechhill::proxy {

/// State shared by the actors of all backends: the budget of descriptors for connections to
/// backends, and the idle connections. Must outlive the actors.
struct BackendPool {
  BackendPool(std::size_t descriptors, BufferBudget& buffer_budget, Telemetry& telemetry,
              const Settings& settings)
      : descriptor_budget(descriptors), buffer_budget(buffer_budget), telemetry(telemetry) {
    for (const ClassSettings& class_settings : settings.classes) {
      max_response_gap = std::min(max_response_gap, class_settings.deadline / kResponseGapDivisor);
    }
    max_response_hold = std::min(max_response_gap, kMaxResponseHold);
  }

  /// Returns whether another connection may be opened. If the descriptor budget is exhausted, frees
  /// a descriptor by closing the connection that has been idle longest, of any backend.
  bool reserve_descriptor() {
    if (descriptor_budget.has_capacity()) {
      return true;
    }
    IdleConnections* oldest = nullptr;
    for (IdleConnections* idle : idle_connections) {
      if (!idle->empty() && (!oldest || idle->oldest_since() < oldest->oldest_since())) {
        oldest = idle;
      }
    }
    if (oldest) {
      oldest->close_oldest(EndReason::kEvicted);
    }
    return oldest != nullptr;
  }

  DescriptorBudget descriptor_budget;
  BufferBudget& buffer_budget;
  Telemetry& telemetry;
  /// The idle connections of each backend, in no particular order.
  std::vector<IdleConnections*> idle_connections;
  SettlingTime settling_time;
  /// Maximum time without a byte in the head of a response, or in a body whose stated length is
  /// short enough to be buffered. After a longer gap the attempt fails, as the response is assumed
  /// to be shorter than its stated length.
  Duration max_response_gap = Duration::max();
  /// Maximum time for which the received part of any other response is held back. A response that
  /// is not complete by then is forwarded as it arrives.
  Duration max_response_hold = kMaxResponseHold;
  /// Returns whether the endpoint list is recent enough to choose backends for new requests.
  std::function<bool()> endpoints_are_current = [] { return true; };

 private:
  /// max_response_gap is the shortest deadline of a class divided by this: 250 ms for a deadline of
  /// 2 s.
  static constexpr int kResponseGapDivisor = 8;
  /// Limit of max_response_hold. A client that gets nothing of a long response for 2 s counts as
  /// not served.
  static constexpr Duration kMaxResponseHold = std::chrono::seconds{1};
};

}  // namespace beechhill::proxy
