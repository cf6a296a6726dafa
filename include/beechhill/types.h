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

/// Chosen by the embedder; unique among open requests.
using RequestId = std::uint64_t;
/// Dense from 0, as the module keeps a record for each id up to the highest. The embedder may
/// reassign an id once nothing refers to it.
using EndpointId = std::uint32_t;
/// Index into Settings::classes.
using ClassId = std::uint32_t;
/// Index into Settings::tenants.
using TenantId = std::uint32_t;
/// Chosen by the module; the embedder returns it unchanged in a Timer event.
using TimerToken = std::uint64_t;

/// The tenant of a request that names no tenant or an unknown one.
inline constexpr TenantId kNoTenant = std::numeric_limits<TenantId>::max();

}  // namespace beechhill
