// Which part of a big fleet one proxy uses. Each proxy finds out alone, from the list, its own name
// or place and how many proxies there are. No I/O, no clock. docs/design/routing.md weighs the
// ways.
//
// Units (nodes, or whole cells or zones where a class's repeats are discarded within those) stand
// on a ring, at their hash. A proxy uses an arc of it, of one width for all proxies. Hashes mix
// zones and cells, so an arc holds about its share of each and loses no more with one. Where a
// proxy knows its place among the proxies, arcs begin at a low-discrepancy sequence, and each unit
// is used by nearly as many proxies as any other; else they begin at the hash of its name.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "beechhill/balancer.h"

namespace beechhill::routing {

struct SubsetSettings {
  std::uint32_t min_endpoints =
      0;  // wanted in a subset, at the least; 0: no subsets, all nodes are used
  std::uint32_t coverage =
      8;  // proxies that are to use each node, at the least, where `proxies` is told
  std::uint32_t proxies = 0;  // how many there are; 0: not told. Wrong by two, the arcs are, too
  std::optional<std::uint32_t>
      proxy_index;  // among them, from 0; absent: the name's hash stands for it
};

// What must stay together: a keyed request may have to be sent again within the group of its first
// node.
enum class Unit { kEndpoint, kCell, kZone };
Unit subset_unit_for(const std::vector<ClassSettings>& classes);

// The part of a ring, from 0 to 1, that is used. It moves in steps of a half octave, so that a
// fleet that grows by one node does not move every arc: for all n between two steps it is the same.
double arc_width(const SubsetSettings& settings, std::size_t fleet);
// Where arcs begin, from 0 to 1: van der Corput's sequence, of which each beginning is spread
// evenly.
double arc_start(const SubsetSettings& settings, const std::string& name);

std::uint64_t hash_of_name(const std::string& name);  // the same at every proxy and in every build

// Stands between discovery and the module: takes what the list says, returns what the module is to
// be told. A node that leaves the subset is told as removed, and one that enters with its present
// state; drains and births pass unchanged.
class SubsetView {
 public:
  SubsetView(SubsetSettings settings, Unit unit, std::string name);

  // `node_hashes[i]` is the same at every proxy for the node of entries[i], such as the hash of its
  // name; it is kept from a node's first mention on. O(n) comparisons for each list or change.
  EndpointUpdate apply(const EndpointUpdate& told, const std::vector<std::uint64_t>& node_hashes);

  std::size_t listed_endpoints() const { return listed_; }
  std::size_t used_endpoints() const { return used_; }
  bool uses(EndpointId server) const;

 private:
  struct Node {
    Endpoint entry;
    std::uint64_t hash = 0;
    double turned = 0;  // its unit's place on the ring, from where this proxy's arc begins
    bool listed = false, used = false;
  };
  double turned(const Node& node) const;
  bool in_arc(const Node& node) const { return node.turned < width_; }
  void review(EndpointId id, bool mentioned, std::vector<Endpoint>& out);
  void widen();

  SubsetSettings settings_;
  Unit unit_;
  double start_ = 0, width_ = 1;
  std::vector<Node> nodes_;
  std::size_t listed_ = 0, used_ = 0;
};

}  // namespace beechhill::routing
