// The figures that operators read: plain counters on the one thread, each counted in one place.
#pragma once

#include <cstddef>
#include <cstdint>
#include <utility>
#include <vector>

#include "beechhill/balancer.h"

namespace beechhill::proxy {

// How a request ended. One that is answered at the door for what is wrong with it (400, 404, 405,
// 409, 413...) is no request of a class and is counted nowhere; one that the door refuses as its
// queue is full is rejected like any other.
enum class RequestOutcome {
  kCompleted,
  kRejected,
  kFailed,
  kAbandoned
};  // abandoned: its client left before the answer's end

class Telemetry {
 public:
  struct Counts {
    std::uint64_t completed = 0, rejected = 0, failed = 0, abandoned = 0;
  };

  explicit Telemetry(std::size_t classes) : by_class_(classes) {}

  // One request, from when it was taken to its one end. It ends as abandoned where nothing else was
  // said.
  class RequestScope {
   public:
    RequestScope(Telemetry& telemetry, ClassId class_id)
        : telemetry_(&telemetry), class_id_(class_id) {
      ++telemetry.taken_;
    }
    RequestScope(RequestScope&& other) noexcept
        : telemetry_(std::exchange(other.telemetry_, nullptr)), class_id_(other.class_id_) {}
    RequestScope& operator=(RequestScope&&) = delete;
    ~RequestScope() { end(RequestOutcome::kAbandoned); }
    void end(RequestOutcome how) {  // the first word counts
      if (Telemetry* t = std::exchange(telemetry_, nullptr)) {
        t->ended(class_id_, how);
      }
    }

   private:
    Telemetry* telemetry_;
    ClassId class_id_;
  };

  void count_upstream_request() { ++upstream_requests_; }  // its last byte has gone to a backend

  const Counts& of(ClassId class_id) const { return by_class_[class_id]; }
  std::uint64_t accepted_requests() const { return taken_; }
  std::uint64_t upstream_requests() const { return upstream_requests_; }
  std::uint64_t pending_requests() const { return taken_ - ended_; }

 private:
  void ended(ClassId class_id, RequestOutcome how) {
    Counts& c = by_class_[class_id];
    ++ended_;
    ++(how == RequestOutcome::kCompleted  ? c.completed
       : how == RequestOutcome::kRejected ? c.rejected
       : how == RequestOutcome::kFailed   ? c.failed
                                          : c.abandoned);
  }

  std::vector<Counts> by_class_;
  std::uint64_t taken_ = 0, ended_ = 0, upstream_requests_ = 0;
};

}  // namespace beechhill::proxy
