// Accounts for the memory of the buffers that grow with the number of clients and backends, and
// limits it.
#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <string>
#include <utility>

#include "net/stream.h"

namespace beechhill::proxy {

/// What a buffer holds.
enum class BufferKind {
  /// Bytes received from a client that belong to no complete request yet.
  kClientInput,
  /// A client's request, kept until its last attempt has ended.
  kRequest,
  /// A part of a streamed request body.
  kUpload,
  /// What is being written to a backend: a request's head, or a part of its body in its transfer
  /// encoding.
  kBackendOutput,
  /// Bytes received from a backend that belong to no complete response yet.
  kBackendInput,
  /// A response, or the first part of a streamed one, kept until it has been written to the client.
  kResponse,
  /// A part of a streamed response body.
  kDownload,
};

/// Clears `bytes` and frees its memory.
inline void release_memory(std::string& bytes) {
  std::string().swap(bytes);
}

/// Limits the memory of all buffers together. The limit is enforced by those who fill a buffer:
/// while it is reached they read less at a time, apply backpressure or reject new requests. Not
/// synchronized: all members must be called on the scheduler's thread. Must outlive its Usages.
class BufferBudget {
 public:
  static constexpr std::size_t kKinds = static_cast<std::size_t>(BufferKind::kDownload) + 1;

  /// Size in bytes up to which a buffer may grow even while the limit is reached, so that small
  /// requests and responses are not affected by large ones.
  static constexpr std::size_t kGuaranteedBytes = std::size_t{4} * 1024;

  /// `limit` is in bytes.
  explicit BufferBudget(std::size_t limit) : limit_(limit) { update_max_read_bytes(); }
  BufferBudget(const BufferBudget&) = delete;
  BufferBudget& operator=(const BufferBudget&) = delete;

  /// Whether less than the limit is used.
  bool has_capacity() const { return used() < limit_; }
  /// Maximum number of bytes to read from a socket at a time. The reference follows the budget's
  /// state and is valid as long as the budget.
  const std::size_t& max_read_bytes() const { return max_read_bytes_; }

  std::size_t limit() const { return limit_; }
  /// Changes the limit. If it is below used(), there is no capacity until enough has been released.
  void set_limit(std::size_t bytes) {
    limit_ = bytes;
    update_max_read_bytes();
  }
  /// Number of bytes in use.
  std::size_t used() const { return used_; }
  std::size_t used(BufferKind kind) const { return used_by_kind_[static_cast<std::size_t>(kind)]; }
  /// The highest value of used() so far.
  std::size_t peak() const { return peak_; }

  /// The part of the budget that one buffer uses. Released on destruction. A default-constructed
  /// Usage belongs to no budget, and set() has no effect on it.
  class Usage {
   public:
    Usage() = default;
    Usage(BufferBudget& budget, BufferKind kind, std::size_t bytes = 0)
        : budget_(&budget), kind_(kind) {
      set(bytes);
    }
    Usage(Usage&& other) noexcept
        : budget_(std::exchange(other.budget_, nullptr)),
          kind_(other.kind_),
          bytes_(std::exchange(other.bytes_, 0)) {}
    Usage& operator=(Usage&& other) noexcept {
      if (this != &other) {
        set(0);
        budget_ = std::exchange(other.budget_, nullptr);
        kind_ = other.kind_;
        bytes_ = std::exchange(other.bytes_, 0);
      }
      return *this;
    }
    ~Usage() { set(0); }

    /// States the buffer's current size.
    void set(std::size_t bytes) {
      if (budget_ && bytes != bytes_) {
        budget_->replace(kind_, bytes_, bytes);
        bytes_ = bytes;
      }
    }
    std::size_t bytes() const { return bytes_; }

   private:
    BufferBudget* budget_ = nullptr;
    BufferKind kind_ = BufferKind::kClientInput;
    std::size_t bytes_ = 0;
  };

 private:
  void replace(BufferKind kind, std::size_t before, std::size_t after) {
    std::size_t& by_kind = used_by_kind_[static_cast<std::size_t>(kind)];
    by_kind = by_kind - before + after;
    used_ = used_ - before + after;
    peak_ = std::max(peak_, used_);
    update_max_read_bytes();
  }
  void update_max_read_bytes() {
    max_read_bytes_ = has_capacity() ? net::Stream::kMaxReadBytes : kGuaranteedBytes;
  }

  std::size_t limit_;
  std::size_t used_ = 0;
  std::size_t peak_ = 0;
  std::size_t max_read_bytes_ = net::Stream::kMaxReadBytes;
  std::array<std::size_t, kKinds> used_by_kind_{};
};

}  // namespace beechhill::proxy
