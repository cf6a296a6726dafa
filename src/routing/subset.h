// Deterministic subsetting: selects the part of a large set of endpoints that one proxy uses. Each
// proxy computes its subset alone, from the endpoint list, its own name or index, and the number of
// proxies. Does no I/O and reads no clock. docs/design/routing.md compares the alternatives.
//
// The ring positions of units are hashes. A unit is an endpoint, or a whole cell or zone if the
// retries of a class of requests are deduplicated only within a cell or zone. A proxy uses an arc
// of the ring, and the arcs of all proxies have the same width. The hash mixes zones and cells, so
// an arc contains about the same share of each, and each proxy loses about the same share of its
// endpoints if a zone or cell fails. If proxies know their index, their arcs start at the points of
// a low-discrepancy sequence, and each unit is used by nearly the same number of proxies. Otherwise
// an arc starts at the hash of the proxy's name.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "beechhill/balancer.h"

namespace beechhill::routing {

struct SubsetSettings {
  /// The smallest number of endpoints in a subset. With 0, subsetting is disabled and all endpoints
  /// are used.
  std::uint32_t min_endpoints = 0;
  /// The smallest number of proxies that must use each endpoint. Has no effect if `proxies` is 0.
  std::uint32_t coverage = 8;
  /// The number of proxies, or 0 if unknown. If it is wrong, the actual coverage differs from
  /// `coverage` by the same factor.
  std::uint32_t proxies = 0;
  /// This proxy's index among all proxies, from 0. If absent, its arc starts at the hash of its
  /// name.
  std::optional<std::uint32_t> proxy_index;
};

/// The group of endpoints that is either completely in a subset or not at all. A request with an
/// idempotency key may have to be retried within the deduplication scope of its first endpoint, so
/// a subset must contain each scope completely or not at all.
enum class SubsetUnit { kEndpoint, kCell, kZone };

/// Returns the smallest unit that contains the deduplication scope of every class. Classes that
/// deduplicate over all endpoints do not restrict the unit.
SubsetUnit subset_unit_for(const std::vector<ClassSettings>& classes);

/// Returns the width of an arc as a fraction of the ring, in (0, 1]. It changes in steps of a
/// factor of sqrt(2), so that the arcs do not change whenever a single endpoint is added.
double arc_width(const SubsetSettings& settings, std::size_t endpoint_count);

/// Returns the start of an arc as a position on the ring, in [0, 1): element `proxy_index` of the
/// van der Corput sequence, every prefix of which is evenly distributed, or the hash of the name.
double arc_start(const SubsetSettings& settings, const std::string& proxy_name);

/// Returns the XXH3 hash of `name`, which is the same on every proxy and in every build.
std::uint64_t hash_of_name(const std::string& name);

/// Filters endpoint updates down to this proxy's subset. An endpoint that leaves the subset is
/// reported as removed; one that enters it is reported with its current state. Not thread-safe.
class SubsetView {
 public:
  SubsetView(SubsetSettings settings, SubsetUnit unit, std::string proxy_name);

  /// Returns the changes that `update` makes to the subset. `endpoint_hashes[i]` is the hash of
  /// update.endpoints[i], for example of its name, and must be the same on every proxy. A delta
  /// cannot change the hash of an endpoint that is listed. Takes O(n) time in the number of
  /// endpoints ever listed.
  EndpointUpdate apply(const EndpointUpdate& update,
                       const std::vector<std::uint64_t>& endpoint_hashes);

  /// Returns the number of endpoints that discovery lists.
  std::size_t listed_endpoints() const { return listed_count_; }
  /// Returns the number of listed endpoints that are in the subset.
  std::size_t used_endpoints() const { return used_count_; }
  /// Returns whether the endpoint is in the subset.
  bool uses(EndpointId id) const;

 private:
  struct EndpointState {
    Endpoint endpoint;
    std::uint64_t hash = 0;
    /// Distance of the endpoint's unit from the start of this proxy's arc, in [0, 1).
    double ring_position = 0;
    bool listed = false;
    bool used = false;
  };

  /// Returns the distance of the endpoint's unit from the start of this proxy's arc, in [0, 1).
  double ring_position(const EndpointState& state) const;
  bool in_arc(const EndpointState& state) const { return state.ring_position < width_; }
  std::vector<EndpointId> store(const EndpointUpdate& update,
                                const std::vector<std::uint64_t>& endpoint_hashes);
  void update_membership(EndpointId id, bool updated, std::vector<Endpoint>& changes);
  void update_arc_width();

  const SubsetSettings settings_;
  const SubsetUnit unit_;
  const double start_;
  double width_ = 1;
  /// All endpoints that were ever listed, indexed by endpoint id.
  std::vector<EndpointState> endpoints_;
  std::size_t listed_count_ = 0;
  std::size_t used_count_ = 0;
};

}  // namespace beechhill::routing
