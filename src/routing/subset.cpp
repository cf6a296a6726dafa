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

Unit unit_for(const std::vector<ClassSettings>& classes) {
  Unit unit = Unit::kNode;
  for (const ClassSettings& c : classes) {
    if (c.effect != Effect::kKeyed || c.group == Group::kAll) {
      continue;
    }
    unit = std::max(unit, c.group == Group::kZone ? Unit::kZone : Unit::kCell);
  }
  return unit;
}

double arc_width(const SubsetSettings& s, std::size_t fleet) {
  if (s.nodes == 0 || fleet <= s.nodes) {
    return 1;
  }
  double width = static_cast<double>(s.nodes) / static_cast<double>(fleet);
  if (s.proxies > 0) {
    width = std::max(width, static_cast<double>(s.coverage) / s.proxies);
  }
  return stepped(width);
}

double arc_start(const SubsetSettings& s, const std::string& name) {
  if (!s.place) {
    return fraction(hash_of_name(name));
  }
  double at = 0, half = 0.5;  // its bits, reversed behind the point
  for (std::uint32_t left = *s.place; left > 0; left >>= 1, half /= 2) {
    at += (left & 1) * half;
  }
  return at;
}

SubsetView::SubsetView(SubsetSettings settings, Unit unit, std::string name)
    : settings_(settings), unit_(unit), start_(arc_start(settings, name)) {
}

bool SubsetView::uses(ServerId server) const {
  return server < nodes_.size() && nodes_[server].used;
}

double SubsetView::turned(const Node& n) const {
  const std::uint64_t unit = unit_ == Unit::kNode   ? n.hash
                             : unit_ == Unit::kCell ? n.entry.cell
                                                    : n.entry.zone;
  const double at = fraction(hash_of(unit, 1)) - start_;
  return at - std::floor(at);
}

void SubsetView::review(ServerId id, bool mentioned, std::vector<ServerEntry>& out) {
  Node& n = nodes_[id];
  const bool used = n.listed && in_arc(n);
  const bool was = std::exchange(n.used, used);
  used_ += used, used_ -= was;
  if (used && (mentioned || !was)) {
    out.push_back(n.entry);
  }
  if (was && !used) {
    out.push_back(n.entry);
    out.back().state = ServerState::kRemoved;
  }
}

Discovery SubsetView::apply(const Discovery& told, const std::vector<std::uint64_t>& node_hashes) {
  if (told.kind == ListKind::kFailed) {
    return told;
  }
  const bool whole = told.kind != ListKind::kChanges;
  if (whole) {
    for (Node& n : nodes_) {
      n.listed = false;
    }
  }
  std::vector<ServerId> mentioned;
  for (std::size_t i = 0; i < told.entries.size(); ++i) {
    const ServerEntry& e = told.entries[i];
    if (e.server >= nodes_.size()) {
      nodes_.resize(e.server + 1);
    }
    Node& n = nodes_[e.server];
    if (!n.listed) {
      n.hash = node_hashes[i];
    }
    n.entry = e;
    n.listed = e.state != ServerState::kRemoved;
    n.turned = turned(n);
    mentioned.push_back(e.server);
  }
  listed_ = static_cast<std::size_t>(
      std::count_if(nodes_.begin(), nodes_.end(), [](const Node& n) { return n.listed; }));
  Discovery out{told.kind, {}};
  const double width = width_;
  widen();
  if (!whole && width == width_) {
    for (const ServerId id : mentioned) {
      review(id, true, out.entries);
    }
    return out;
  }
  std::vector<bool> said(nodes_.size(), false);
  for (const ServerId id : mentioned) {
    said[id] = true;
  }
  for (ServerId id = 0; id < nodes_.size(); ++id) {
    review(id, whole || said[id], out.entries);
  }
  if (whole) {
    std::erase_if(out.entries,
                  [](const ServerEntry& e) { return e.state == ServerState::kRemoved; });
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
      in += n.listed && n.entry.state == ServerState::kUp && in_arc(n);
    }
    if (static_cast<double>(in) >= kFewest * width_ * static_cast<double>(listed_)) {
      return;
    }
    width_ = std::min(1.0, 2 * width_);
  }
}

}  // namespace beechhill::routing
