// Deterministic subsetting: which part of a large set of endpoints one proxy uses. Each proxy
// computes its subset alone, from the endpoint list, its own name or index, and the number of
// proxies. No I/O, no clock. docs/design/routing.md compares the alternatives.
//
// Units (endpoints, or whole cells or zones where the retries of a class are deduplicated within
// those) are placed on a hash ring. A proxy uses an arc of the ring; all proxies' arcs have the
// same width. The hash mixes zones and cells, so an arc holds about its share of each, and the loss
// of one costs each proxy about the same. Where a proxy knows its index among the proxies, arcs
// start at the points of a low-discrepancy sequence, and each unit is used by nearly the same
// number of proxies; otherwise an arc starts at the hash of the proxy's name.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "beechhill/balancer.h"

namespace beechhill::routing {

struct SubsetSettings {
  /// The least number of endpoints in a subset; 0: no subsetting, all endpoints are used.
  std::uint32_t min_endpoints = 0;
  /// The least number of proxies that use each endpoint. Takes effect where `proxies` is known.
  std::uint32_t coverage = 8;
  /// The number of proxies; 0: unknown. Where it is wrong by a factor, so is the coverage.
  std::uint32_t proxies = 0;
  /// This proxy's index among them, from 0; absent: the hash of its name is used instead.
  std::optional<std::uint32_t> proxy_index;
};

/// What stays together in a subset: a request with an idempotency key may have to be retried within
/// the deduplication scope of its first endpoint.
enum class SubsetUnit { kEndpoint, kCell, kZone };

/// The smallest unit that contains the deduplication scope of every class. A scope of all endpoints
/// asks for nothing.
SubsetUnit subset_unit_for(const std::vector<ClassSettings>& classes);

/// The width of an arc, as a part of the ring from 0 to 1. It changes in steps of half an octave,
/// so that a set of endpoints that grows by one does not move every arc.
double arc_width(const SubsetSettings& settings, std::size_t endpoint_count);

/// The start of an arc, from 0 to 1: the proxy's index in van der Corput's sequence, every prefix
/// of which is spread evenly, or the hash of its name.
double arc_start(const SubsetSettings& settings, const std::string& proxy_name);

/// XXH3 of `name`: the same at every proxy and in every build.
std::uint64_t hash_of_name(const std::string& name);

/// Filters endpoint updates, so that their receiver sees this proxy's subset alone: an endpoint
/// that leaves the subset is reported as removed, one that enters it with its present state. Not
/// thread-safe.
class SubsetView {
 public:
  SubsetView(SubsetSettings settings, SubsetUnit unit, std::string proxy_name);

  /// Returns what `update` changes in the subset. `endpoint_hashes[i]` belongs to
  /// update.endpoints[i] and is the same at every proxy, such as the hash of its name; it is kept
  /// from when the endpoint is listed. O(n) in the endpoints ever listed.
  EndpointUpdate apply(const EndpointUpdate& update,
                       const std::vector<std::uint64_t>& endpoint_hashes);

  /// The endpoints that discovery lists.
  std::size_t listed_endpoints() const { return listed_count_; }
  /// Those of them that are in the subset.
  std::size_t used_endpoints() const { return used_count_; }
  /// Whether the endpoint is in the subset.
  bool uses(EndpointId id) const;

 private:
  struct EndpointState {
    Endpoint endpoint;
    std::uint64_t hash = 0;
    /// From 0 to 1, as the distance of the endpoint's unit from the start of this proxy's arc.
    double ring_position = 0;
    bool listed = false;
    bool used = false;
  };

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
  /// By endpoint id.
  std::vector<EndpointState> endpoints_;
  std::size_t listed_count_ = 0;
  std::size_t used_count_ = 0;
};

}  // namespace beechhill::routing
