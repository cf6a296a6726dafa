#include "proxy/trace_id_table.h"

#include <xxhash.h>

#include <algorithm>

namespace beechhill::proxy {
namespace {

using Slot = TraceIdRegion::Slot;

bool is_reserved(const Slot& slot, Time now) {
  return slot.reserved_until.load() > now.count();
}

bool is_open(const Slot& slot) {
  return slot.reserved_until.load() == TraceIdTable::kWhileOpen;
}

std::size_t bucket_index(std::uint64_t hash) {
  return hash % TraceIdRegion::kBuckets;
}

bool contains(const TraceIdRegion::Bucket& bucket, std::uint64_t hash, Time now) {
  for (const Slot& slot : bucket) {
    if (slot.hash.load() == hash && is_reserved(slot, now)) {
      return true;
    }
  }
  return false;
}

// Returns the slot that is or was released first, or null if all belong to open requests.
Slot* find_replaceable(TraceIdRegion::Bucket& bucket) {
  Slot* earliest = nullptr;
  for (Slot& slot : bucket) {
    if (!is_open(slot) && (!earliest || slot.reserved_until < earliest->reserved_until)) {
      earliest = &slot;
    }
  }
  return earliest;
}

}  // namespace

TraceIdReservation::~TraceIdReservation() {
  if (slot_) {
    slot_->reserved_until = until_.count();
    --region_->open;
  }
}

void TraceIdRegion::clear() {
  for (Bucket& bucket : buckets) {
    for (Slot& slot : bucket) {
      slot.reserved_until = 0;
      slot.hash = 0;
    }
  }
  reservations = 0;
  open = 0;
}

TraceIdMemory private_trace_id_memory(std::uint64_t hash_seed) {
  return {hash_seed, std::make_shared<TraceIdRegion>(), {}};
}

// The operations on the atomic members are sequentially consistent: each process first writes its
// own reservation and then reads those of the others, so that of two processes that reserve an id
// at the same time at least one finds the other's.
std::variant<TraceIdError, TraceIdReservation> TraceIdTable::reserve(std::string_view id, Time now,
                                                                     Time until) {
  const std::uint64_t hash = hash_of(id);
  TraceIdRegion& region = *memory_.own;
  TraceIdRegion::Bucket& bucket = region.buckets[bucket_index(hash)];
  if (contains(bucket, hash, now)) {
    ++counts_.conflicts;
    return TraceIdError::kReserved;
  }
  Slot* const slot = find_replaceable(bucket);
  if (!slot) {
    return TraceIdError::kTableFull;
  }
  counts_.evicted += is_reserved(*slot, now) ? 1 : 0;
  slot->hash = 0;
  slot->reserved_until = kWhileOpen;
  slot->hash = hash;
  ++region.reservations;
  if (other_process_has(hash, now)) {
    slot->reserved_until = 0;
    ++counts_.conflicts;
    return TraceIdError::kReserved;
  }
  ++region.open;
  return TraceIdReservation(memory_.own, *slot, until);
}

TraceIdTable::Counts TraceIdTable::counts() const {
  Counts counts = counts_;
  counts.open = memory_.own->open;
  return counts;
}

bool TraceIdTable::other_process_has(std::uint64_t hash, Time now) const {
  return std::any_of(memory_.others.begin(), memory_.others.end(), [hash, now](const auto& other) {
    return other->reservations != 0 && contains(other->buckets[bucket_index(hash)], hash, now);
  });
}

// Never returns 0, which marks an unused slot.
std::uint64_t TraceIdTable::hash_of(std::string_view id) const {
  const std::uint64_t hash = XXH3_64bits_withSeed(id.data(), id.size(), memory_.hash_seed);
  return hash == 0 ? 1 : hash;
}

}  // namespace beechhill::proxy
