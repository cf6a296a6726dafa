#include "routing/subset.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace beechhill::routing {
namespace {

// Number of rounding steps for each doubling of the arc width: widths are rounded up to
// 2^(i / kStepsPerOctave) for an integer i.
constexpr double kStepsPerOctave = 2;
// An arc is widened while it contains fewer endpoints that are up than this fraction of the number
// of endpoints expected for its width.
constexpr double kMinUpFraction = 0.5;
// Seed of the hash that maps a unit (an endpoint, cell or zone) to its ring position. It differs
// from the seed of hash_of_name(), which is 0, so that positions are independent of endpoint
// hashes.
constexpr std::uint64_t kUnitHashSeed = 1;

// Maps a hash to [0, 1). Uses its upper 53 bits, which a double represents exactly.
double to_fraction(std::uint64_t hash) {
  return static_cast<double>(hash >> 11) * 0x1.0p-53;
}

std::uint64_t hash_of_unit(std::uint64_t unit) {
  return XXH3_64bits_withSeed(&unit, sizeof unit, kUnitHashSeed);
}

double round_up_to_step(double width) {
  if (width >= 1) {
    return 1;
  }
  return std::min(1.0, std::exp2(std::ceil(std::log2(width) * kStepsPerOctave) / kStepsPerOctave));
}

// Returns element `index` of the base-2 van der Corput sequence: the bits of `index` in reverse
// order after the binary point.
double van_der_corput(std::uint32_t index) {
  double value = 0;
  double bit_value = 0.5;
  for (; index > 0; index >>= 1) {
    value += (index & 1) * bit_value;
    bit_value /= 2;
  }
  return value;
}

}  // namespace

std::uint64_t hash_of_name(const std::string& name) {
  return XXH3_64bits(name.data(), name.size());
}

SubsetUnit subset_unit_for(const std::vector<ClassSettings>& classes) {
  SubsetUnit unit = SubsetUnit::kEndpoint;
  for (const ClassSettings& settings : classes) {
    if (settings.idempotency != Idempotency::kIdempotencyKey ||
        settings.deduplication_scope == DeduplicationScope::kAll) {
      continue;
    }
    const bool within_zone = settings.deduplication_scope == DeduplicationScope::kZone;
    unit = std::max(unit, within_zone ? SubsetUnit::kZone : SubsetUnit::kCell);
  }
  return unit;
}

double arc_width(const SubsetSettings& settings, std::size_t endpoint_count) {
  if (settings.min_endpoints == 0 || endpoint_count <= settings.min_endpoints) {
    return 1;
  }
  double width = static_cast<double>(settings.min_endpoints) / static_cast<double>(endpoint_count);
  if (settings.proxies > 0) {
    width = std::max(width, static_cast<double>(settings.coverage) / settings.proxies);
  }
  return round_up_to_step(width);
}

double arc_start(const SubsetSettings& settings, const std::string& proxy_name) {
  if (!settings.proxy_index) {
    return to_fraction(hash_of_name(proxy_name));
  }
  return van_der_corput(*settings.proxy_index);
}

SubsetView::SubsetView(SubsetSettings settings, SubsetUnit unit, std::string proxy_name)
    : settings_(settings), unit_(unit), start_(arc_start(settings, proxy_name)) {
}

bool SubsetView::uses(EndpointId id) const {
  return id < endpoints_.size() && endpoints_[id].used;
}

double SubsetView::ring_position(const EndpointState& state) const {
  std::uint64_t unit = state.hash;
  if (unit_ == SubsetUnit::kCell) {
    unit = state.endpoint.cell;
  } else if (unit_ == SubsetUnit::kZone) {
    unit = state.endpoint.zone;
  }
  const double distance = to_fraction(hash_of_unit(unit)) - start_;
  return distance - std::floor(distance);
}

EndpointUpdate SubsetView::apply(const EndpointUpdate& update,
                                 const std::vector<std::uint64_t>& endpoint_hashes) {
  if (update.kind == UpdateKind::kFailed) {
    return update;
  }
  const bool complete_list = update.kind != UpdateKind::kDelta;
  if (complete_list) {
    for (EndpointState& state : endpoints_) {
      state.listed = false;
    }
  }
  const std::vector<EndpointId> updated_ids = store(update, endpoint_hashes);
  const double previous_width = width_;
  update_arc_width();
  EndpointUpdate result{update.kind, {}};
  if (!complete_list && previous_width == width_) {
    for (const EndpointId id : updated_ids) {
      update_membership(id, true, result.endpoints);
    }
    return result;
  }
  std::vector<bool> updated(endpoints_.size(), false);
  for (const EndpointId id : updated_ids) {
    updated[id] = true;
  }
  for (EndpointId id = 0; id < endpoints_.size(); ++id) {
    update_membership(id, complete_list || updated[id], result.endpoints);
  }
  if (complete_list) {
    // The receiver removes every endpoint that a complete list does not contain, so removals are
    // not listed.
    std::erase_if(result.endpoints, [](const Endpoint& endpoint) {
      return endpoint.status == EndpointStatus::kRemoved;
    });
  }
  return result;
}

// Stores the endpoints of an update and returns their ids.
std::vector<EndpointId> SubsetView::store(const EndpointUpdate& update,
                                          const std::vector<std::uint64_t>& endpoint_hashes) {
  std::vector<EndpointId> ids;
  for (std::size_t i = 0; i < update.endpoints.size(); ++i) {
    const Endpoint& endpoint = update.endpoints[i];
    if (endpoint.id >= endpoints_.size()) {
      endpoints_.resize(endpoint.id + 1);
    }
    EndpointState& state = endpoints_[endpoint.id];
    if (!state.listed) {
      state.hash = endpoint_hashes[i];
    }
    state.endpoint = endpoint;
    state.listed = endpoint.status != EndpointStatus::kRemoved;
    state.ring_position = ring_position(state);
    ids.push_back(endpoint.id);
  }
  listed_count_ = static_cast<std::size_t>(
      std::count_if(endpoints_.begin(), endpoints_.end(),
                    [](const EndpointState& state) { return state.listed; }));
  return ids;
}

// Recomputes whether an endpoint is in the subset and appends the resulting change, if any. If
// `updated`, the endpoint's state has changed and is reported even if it stays in the subset.
void SubsetView::update_membership(EndpointId id, bool updated, std::vector<Endpoint>& changes) {
  EndpointState& state = endpoints_[id];
  const bool was_used = state.used;
  state.used = state.listed && in_arc(state);
  if (state.used && !was_used) {
    ++used_count_;
  }
  if (was_used && !state.used) {
    --used_count_;
    changes.push_back(state.endpoint);
    changes.back().status = EndpointStatus::kRemoved;
  }
  if (state.used && (updated || !was_used)) {
    changes.push_back(state.endpoint);
  }
}

// Computes the width from the number of listed endpoints, then doubles it until enough endpoints in
// the arc are up or the arc is the whole ring. So a proxy has endpoints to use even if all those of
// its first arc fail.
void SubsetView::update_arc_width() {
  width_ = arc_width(settings_, listed_count_);
  while (width_ < 1) {
    const auto up_in_arc =
        std::count_if(endpoints_.begin(), endpoints_.end(), [this](const EndpointState& state) {
          return state.listed && state.endpoint.status == EndpointStatus::kUp && in_arc(state);
        });
    const double expected = width_ * static_cast<double>(listed_count_);
    if (static_cast<double>(up_in_arc) >= kMinUpFraction * expected) {
      return;
    }
    width_ = std::min(1.0, 2 * width_);
  }
}

}  // namespace beechhill::routing
