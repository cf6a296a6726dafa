// Request counters that operators can read.
#pragma once

#include <cstddef>
#include <cstdint>
#include <utility>
#include <vector>

#include "beechhill/balancer.h"

namespace beechhill::proxy {

/// How a request ended. Requests with a client error (400, 404, 405, 409, 413...) belong to no
/// class and are not counted. Requests that find the decision actor's mailbox full count as
/// rejected.
enum class RequestOutcome {
  kCompleted,
  kRejected,
  kFailed,
  /// The client disconnected before the end of the response.
  kAbandoned,
};

/// Counts requests. Not synchronized: all members must be called on the scheduler's thread.
class Telemetry {
 public:
  /// Numbers of requests of one class by outcome.
  struct Counts {
    std::uint64_t completed = 0;
    std::uint64_t rejected = 0;
    std::uint64_t failed = 0;
    std::uint64_t abandoned = 0;
  };

  explicit Telemetry(std::size_t classes) : by_class_(classes) {}

  /// Counts a request as accepted on construction and by its outcome at end(). A request whose
  /// scope is destroyed without end() counts as abandoned.
  class RequestScope {
   public:
    RequestScope(Telemetry& telemetry, ClassId class_id)
        : telemetry_(&telemetry), class_id_(class_id) {
      ++telemetry.accepted_;
    }
    RequestScope(RequestScope&& other) noexcept
        : telemetry_(std::exchange(other.telemetry_, nullptr)), class_id_(other.class_id_) {}
    RequestScope& operator=(RequestScope&&) = delete;
    ~RequestScope() { end(RequestOutcome::kAbandoned); }

    /// Only the first call has an effect.
    void end(RequestOutcome outcome) {
      if (Telemetry* telemetry = std::exchange(telemetry_, nullptr)) {
        telemetry->count_end(class_id_, outcome);
      }
    }

   private:
    Telemetry* telemetry_;
    ClassId class_id_;
  };

  /// Must be called when the last byte of a request has been written to a backend.
  void count_upstream_request() { ++upstream_requests_; }

  const Counts& counts(ClassId class_id) const { return by_class_[class_id]; }
  std::uint64_t accepted_requests() const { return accepted_; }
  std::uint64_t upstream_requests() const { return upstream_requests_; }
  std::uint64_t pending_requests() const { return accepted_ - ended_; }

 private:
  void count_end(ClassId class_id, RequestOutcome outcome) {
    ++ended_;
    Counts& counts = by_class_[class_id];
    switch (outcome) {
      case RequestOutcome::kCompleted:
        ++counts.completed;
        break;
      case RequestOutcome::kRejected:
        ++counts.rejected;
        break;
      case RequestOutcome::kFailed:
        ++counts.failed;
        break;
      case RequestOutcome::kAbandoned:
        ++counts.abandoned;
        break;
    }
  }

  std::vector<Counts> by_class_;
  std::uint64_t accepted_ = 0;
  std::uint64_t ended_ = 0;
  std::uint64_t upstream_requests_ = 0;
};

}  // namespace beechhill::proxy
