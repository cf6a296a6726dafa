// Time and identifier types of the decision module.
#pragma once

#include <chrono>
#include <cstdint>
#include <limits>

namespace beechhill {

/// A duration in whole microseconds.
using Duration = std::chrono::microseconds;
/// A clock reading in microseconds since an arbitrary origin, the same for all calls of one
/// Balancer.
using Time = std::chrono::microseconds;

/// Identifies a request. Chosen by the embedder; unique among open requests.
using RequestId = std::uint64_t;
/// Identifies an endpoint. Ids are dense from 0, as the module keeps a record for each id up to the
/// highest. The embedder may reassign an id that is no longer in use.
using EndpointId = std::uint32_t;
/// Index into Settings::classes.
using ClassId = std::uint32_t;
/// Index into Settings::tenants.
using TenantId = std::uint32_t;
/// Identifies the purpose of a timer. Chosen by the module; the embedder returns it unchanged in a
/// Timer event.
using TimerToken = std::uint64_t;

/// The tenant of a request that names no tenant or an unknown one.
inline constexpr TenantId kNoTenant = std::numeric_limits<TenantId>::max();

}  // namespace beechhill
