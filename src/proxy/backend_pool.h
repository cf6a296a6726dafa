// State shared by the actors of all backends, such as the budget of descriptors.
#pragma once

#include <algorithm>
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
  /// Maximum time without a byte after a response has begun, until it, or the first part of a
  /// streamed one, is complete. After a longer gap the attempt fails, as the response is assumed to
  /// be shorter than its stated length.
  Duration max_response_gap = Duration::max();
  /// Returns whether the endpoint list is recent enough to choose backends for new requests.
  std::function<bool()> endpoints_are_current = [] { return true; };

 private:
  /// max_response_gap is the shortest deadline of a class divided by this: 250 ms for a deadline of
  /// 2 s.
  static constexpr int kResponseGapDivisor = 8;
};

}  // namespace beechhill::proxy
