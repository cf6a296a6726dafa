// The decision actor's state of one client request, kept until its last attempt has ended.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include "beechhill/balancer.h"
#include "proxy/client_request.h"

namespace beechhill::proxy {

/// A client request, its attempts, and whether it has been responded to.
class ActiveRequest {
 public:
  struct Attempt {
    EndpointId endpoint = 0;
    Time started_at{0};
  };

  explicit ActiveRequest(std::shared_ptr<ClientRequest> request) : request_(std::move(request)) {}

  const std::shared_ptr<ClientRequest>& request() const { return request_; }
  const std::vector<Attempt>& attempts() const { return attempts_; }

  /// Sets the response and notifies the client's connection. Has no effect after an earlier call or
  /// after abandon().
  void respond(ClientResponse response) {
    if (closed_) {
      return;
    }
    closed_ = true;
    request_->response = std::move(response);
    request_->response_ready.notify();
  }
  /// Records that the client has disconnected. respond() has no effect afterwards.
  void abandon() { closed_ = true; }
  /// Whether the request has been responded to or abandoned.
  bool closed() const { return closed_; }
  /// Whether the request is closed and none of its attempts is outstanding.
  bool finished() const { return closed_ && outstanding_attempts_ == 0; }

  /// Records a new attempt and returns its number, counted from 0.
  std::uint32_t start_attempt(EndpointId endpoint, Time now) {
    attempts_.push_back({endpoint, now});
    ++outstanding_attempts_;
    return static_cast<std::uint32_t>(attempts_.size() - 1);
  }
  void record_outcome(std::uint32_t attempt_number, Result result) {
    --outstanding_attempts_;
    const bool reached = result != Result::kConnectFailed && result != Result::kSkipped;
    reached_backend_ = reached_backend_ || reached;
    if (reached && result != Result::kOverloaded && !first_possibly_executed_) {
      first_possibly_executed_ = attempt_number;
    }
  }
  /// Whether a backend may have received the request, or may still receive it from an outstanding
  /// attempt.
  bool may_have_reached_backend() const { return reached_backend_ || outstanding_attempts_ > 0; }
  /// Start time of the first attempt whose outcome leaves open that a backend executed the request;
  /// empty if there is no such attempt.
  std::optional<Time> possibly_executed_at() const {
    return first_possibly_executed_ ? std::optional(attempts_[*first_possibly_executed_].started_at)
                                    : std::nullopt;
  }

 private:
  std::shared_ptr<ClientRequest> request_;
  std::vector<Attempt> attempts_;
  int outstanding_attempts_ = 0;
  bool closed_ = false;
  bool reached_backend_ = false;
  std::optional<std::size_t> first_possibly_executed_;
};

}  // namespace beechhill::proxy
