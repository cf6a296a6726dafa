// What the actors of all backends share.
#pragma once

#include <algorithm>
#include <cstddef>
#include <functional>
#include <vector>

#include "beechhill/balancer.h"
#include "proxy/body_pipe.h"
#include "proxy/descriptor_budget.h"
#include "proxy/idle_connections.h"
#include "proxy/telemetry.h"

namespace beechhill::proxy {

/// The descriptors that connections to backends may hold, and the idle ones among them. Outlives
/// the actors.
struct BackendPool {
  BackendPool(std::size_t descriptors, BodyBudget& body_budget, Telemetry& telemetry,
              const Settings& settings)
      : budget(descriptors), body_budget(body_budget), telemetry(telemetry) {
    for (const ClassSettings& class_settings : settings.classes) {
      max_response_gap = std::min(max_response_gap, class_settings.deadline / kDeadlinePartsPerGap);
    }
  }

  /// Where descriptors are short, closes the connection that has been idle longest, of any backend.
  /// Returns whether there is capacity for one more, at once or with that close.
  bool reserve_descriptor() {
    if (budget.has_capacity()) {
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

  DescriptorBudget budget;
  BodyBudget& body_budget;
  Telemetry& telemetry;
  /// By backend, in no order.
  std::vector<IdleConnections*> idle_connections;
  /// Without a byte of a response that has begun. After a longer gap its stated length was wrong.
  Duration max_response_gap = Duration::max();
  /// Whether the endpoint list may still decide where something new goes.
  std::function<bool()> endpoints_are_current = [] { return true; };

 private:
  /// The gap is one part in so many of the shortest deadline: 250 ms of 2 s.
  static constexpr int kDeadlinePartsPerGap = 8;
};

}  // namespace beechhill::proxy
