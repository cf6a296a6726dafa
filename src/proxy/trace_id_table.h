// The trace ids of requests that are open or ended recently, in memory of fixed size that the
// processes of one proxy may share. Performs no I/O and reads no clock.
#pragma once

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "beechhill/balancer.h"

namespace beechhill::proxy {

/// The ids that one process has reserved, by their hashes. An id belongs to one bucket. Only that
/// process writes to the region; others may read it at any time. A region of zero bytes is empty.
struct TraceIdRegion {
  static constexpr std::size_t kBuckets = std::size_t{2} * 1024;
  static constexpr std::size_t kSlotsPerBucket = 8;

  struct Slot {
    /// Hash of the reserved id; 0 if the slot has never been used.
    std::atomic<std::uint64_t> hash;
    /// Time in microseconds until which the id is reserved, or TraceIdTable::kWhileOpen.
    std::atomic<std::int64_t> reserved_until;
  };
  using Bucket = std::array<Slot, kSlotsPerBucket>;

  std::array<Bucket, kBuckets> buckets;
  /// Number of reservations made so far. While it is 0, the buckets need not be read.
  std::atomic<std::uint64_t> reservations;
  /// Number of reservations whose requests are open.
  std::atomic<std::uint64_t> open;

  /// Releases all ids. Must be called by the process that writes to the region.
  void clear();
};
static_assert(std::atomic<std::uint64_t>::is_always_lock_free &&
              std::atomic<std::int64_t>::is_always_lock_free);

/// The memory of a table: a region for this process, and those of the other processes of the same
/// proxy. Ids are reserved for all processes together.
struct TraceIdMemory {
  /// Must be the same in all processes. It should not be known to clients, who could otherwise fill
  /// a bucket.
  std::uint64_t hash_seed = 0;
  std::shared_ptr<TraceIdRegion> own;
  std::vector<std::shared_ptr<const TraceIdRegion>> others;
};

/// Returns memory for a process that shares nothing.
TraceIdMemory private_trace_id_memory(std::uint64_t hash_seed);

/// Keeps an id reserved while it exists, and until a point in time. Shares the region's ownership.
class TraceIdReservation {
 public:
  /// Reserves nothing.
  TraceIdReservation() = default;
  TraceIdReservation(std::shared_ptr<TraceIdRegion> region, TraceIdRegion::Slot& slot, Time until)
      : region_(std::move(region)), slot_(&slot), until_(until) {}
  TraceIdReservation(TraceIdReservation&& other) noexcept
      : region_(std::move(other.region_)),
        slot_(std::exchange(other.slot_, nullptr)),
        until_(other.until_) {}
  TraceIdReservation& operator=(TraceIdReservation&& other) noexcept {
    std::swap(region_, other.region_);
    std::swap(slot_, other.slot_);
    std::swap(until_, other.until_);
    return *this;
  }
  ~TraceIdReservation();

  /// Keeps the id reserved until `until` at the least, even if the reservation is destroyed before.
  void extend(Time until) { until_ = until > until_ ? until : until_; }

 private:
  std::shared_ptr<TraceIdRegion> region_;
  /// Null if nothing is reserved.
  TraceIdRegion::Slot* slot_ = nullptr;
  Time until_{0};
};

/// Why an id could not be reserved.
enum class TraceIdError {
  /// It is reserved already, in this or another process.
  kReserved,
  /// All slots of its bucket belong to open requests.
  kTableFull,
};

/// Reserves the ids of one process's requests. Must be used by one thread. Each call takes constant
/// time. Two ids with the same 64-bit hash are the same id. If two processes reserve an id at the
/// same time, at most one of them succeeds. The ids of a process that has been killed stay reserved
/// until their time, and those of its open requests until its region is cleared.
class TraceIdTable {
 public:
  /// Value of TraceIdRegion::Slot::reserved_until while the request is open.
  static constexpr std::int64_t kWhileOpen = INT64_MAX;

  struct Counts {
    /// Number of open requests.
    std::uint64_t open = 0;
    /// Number of ids that were rejected because they were reserved.
    std::uint64_t conflicts = 0;
    /// Number of ids of ended requests that were evicted before their time.
    std::uint64_t evicted = 0;
  };

  explicit TraceIdTable(TraceIdMemory memory) : memory_(std::move(memory)) {}

  /// Reserves `id` until the reservation is destroyed, and until `until` at the least. If the
  /// bucket is full, evicts the id of an ended request that would be released first.
  std::variant<TraceIdError, TraceIdReservation> reserve(std::string_view id, Time now, Time until);

  Counts counts() const;

 private:
  std::uint64_t hash_of(std::string_view id) const;
  bool other_process_has(std::uint64_t hash, Time now) const;

  TraceIdMemory memory_;
  Counts counts_;
};

}  // namespace beechhill::proxy
