#include "routing/subset.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace beechhill::routing {
namespace {

constexpr double kStepsPerOctave = 2;
constexpr double kFewest =
    0.5;  // of the up nodes that its width stands for, under which an arc is widened

double fraction(std::uint64_t hash) {
  return static_cast<double>(hash >> 11) * 0x1.0p-53;
}
std::uint64_t hash_of(std::uint64_t value, std::uint64_t seed) {
  return XXH3_64bits_withSeed(&value, sizeof value, seed);
}

double stepped(double width) {  // up to the next step
  if (width >= 1) {
    return 1;
  }
  return std::min(1.0, std::exp2(std::ceil(std::log2(width) * kStepsPerOctave) / kStepsPerOctave));
}

}  // namespace

std::uint64_t hash_of_name(const std::string& name) {
  return XXH3_64bits(name.data(), name.size());
}

Unit subset_unit_for(const std::vector<ClassSettings>& classes) {
  Unit unit = Unit::kEndpoint;
  for (const ClassSettings& c : classes) {
    if (c.idempotency != Idempotency::kIdempotencyKey ||
        c.deduplication_scope == DeduplicationScope::kAll) {
      continue;
    }
    unit = std::max(unit,
                    c.deduplication_scope == DeduplicationScope::kZone ? Unit::kZone : Unit::kCell);
  }
  return unit;
}

double arc_width(const SubsetSettings& s, std::size_t fleet) {
  if (s.min_endpoints == 0 || fleet <= s.min_endpoints) {
    return 1;
  }
  double width = static_cast<double>(s.min_endpoints) / static_cast<double>(fleet);
  if (s.proxies > 0) {
    width = std::max(width, static_cast<double>(s.coverage) / s.proxies);
  }
  return stepped(width);
}

double arc_start(const SubsetSettings& s, const std::string& name) {
  if (!s.proxy_index) {
    return fraction(hash_of_name(name));
  }
  double at = 0, half = 0.5;  // its bits, reversed behind the point
  for (std::uint32_t left = *s.proxy_index; left > 0; left >>= 1, half /= 2) {
    at += (left & 1) * half;
  }
  return at;
}

SubsetView::SubsetView(SubsetSettings settings, Unit unit, std::string name)
    : settings_(settings), unit_(unit), start_(arc_start(settings, name)) {
}

bool SubsetView::uses(EndpointId server) const {
  return server < nodes_.size() && nodes_[server].used;
}

double SubsetView::turned(const Node& n) const {
  const std::uint64_t unit = unit_ == Unit::kEndpoint ? n.hash
                             : unit_ == Unit::kCell   ? n.entry.cell
                                                      : n.entry.zone;
  const double at = fraction(hash_of(unit, 1)) - start_;
  return at - std::floor(at);
}

void SubsetView::review(EndpointId id, bool mentioned, std::vector<Endpoint>& out) {
  Node& n = nodes_[id];
  const bool used = n.listed && in_arc(n);
  const bool was = std::exchange(n.used, used);
  used_ += used, used_ -= was;
  if (used && (mentioned || !was)) {
    out.push_back(n.entry);
  }
  if (was && !used) {
    out.push_back(n.entry);
    out.back().status = EndpointStatus::kRemoved;
  }
}

EndpointUpdate SubsetView::apply(const EndpointUpdate& told,
                                 const std::vector<std::uint64_t>& node_hashes) {
  if (told.kind == UpdateKind::kFailed) {
    return told;
  }
  const bool whole = told.kind != UpdateKind::kDelta;
  if (whole) {
    for (Node& n : nodes_) {
      n.listed = false;
    }
  }
  std::vector<EndpointId> mentioned;
  for (std::size_t i = 0; i < told.endpoints.size(); ++i) {
    const Endpoint& e = told.endpoints[i];
    if (e.id >= nodes_.size()) {
      nodes_.resize(e.id + 1);
    }
    Node& n = nodes_[e.id];
    if (!n.listed) {
      n.hash = node_hashes[i];
    }
    n.entry = e;
    n.listed = e.status != EndpointStatus::kRemoved;
    n.turned = turned(n);
    mentioned.push_back(e.id);
  }
  listed_ = static_cast<std::size_t>(
      std::count_if(nodes_.begin(), nodes_.end(), [](const Node& n) { return n.listed; }));
  EndpointUpdate out{told.kind, {}};
  const double width = width_;
  widen();
  if (!whole && width == width_) {
    for (const EndpointId id : mentioned) {
      review(id, true, out.endpoints);
    }
    return out;
  }
  std::vector<bool> said(nodes_.size(), false);
  for (const EndpointId id : mentioned) {
    said[id] = true;
  }
  for (EndpointId id = 0; id < nodes_.size(); ++id) {
    review(id, whole || said[id], out.endpoints);
  }
  if (whole) {
    std::erase_if(out.endpoints,
                  [](const Endpoint& e) { return e.status == EndpointStatus::kRemoved; });
  }
  return out;
}

// The width that the fleet's size asks for; twice as wide, and again, while the arc holds too few
// nodes that are up: a subset of which all nodes fail must not stay one.
void SubsetView::widen() {
  width_ = arc_width(settings_, listed_);
  while (width_ < 1) {
    std::size_t in = 0;
    for (const Node& n : nodes_) {
      in += n.listed && n.entry.status == EndpointStatus::kUp && in_arc(n);
    }
    if (static_cast<double>(in) >= kFewest * width_ * static_cast<double>(listed_)) {
      return;
    }
    width_ = std::min(1.0, 2 * width_);
  }
}

}  // namespace beechhill::routing
