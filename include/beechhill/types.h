// Time and ids: the vocabulary that all other headers of the decision module rest on.
#pragma once

#include <chrono>
#include <cstdint>
#include <limits>

namespace beechhill {

/// A length of time, in whole microseconds.
using Duration = std::chrono::microseconds;
/// A clock reading: the time since an arbitrary origin, the same for all calls of one Balancer.
using Time = std::chrono::microseconds;

/// Chosen by the embedder, each once while its request is open.
using RequestId = std::uint64_t;
/// Dense from 0: the module keeps a record for each id up to the highest. Ids are assigned again
/// once nothing refers to them.
using EndpointId = std::uint32_t;
/// Index into Settings::classes.
using ClassId = std::uint32_t;
/// Index into Settings::tenants.
using TenantId = std::uint32_t;
/// Chosen by the module; the embedder hands it back unchanged.
using TimerToken = std::uint64_t;

/// The tenant of a request that names none, or an unknown one.
inline constexpr TenantId kNoTenant = std::numeric_limits<TenantId>::max();

}  // namespace beechhill
