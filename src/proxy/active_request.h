// The decision actor's record of one request, from its arrival to its last attempt's outcome.
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

/// A request and its attempts.
class ActiveRequest {
 public:
  struct Attempt {
    EndpointId endpoint = 0;
    Time started_at{0};
  };

  explicit ActiveRequest(std::shared_ptr<ClientRequest> request) : request_(std::move(request)) {}

  const std::shared_ptr<ClientRequest>& request() const { return request_; }
  const std::vector<Attempt>& attempts() const { return attempts_; }

  /// Gives the request its one final response; later ones are ignored.
  void respond(ClientResponse response) {
    if (closed_) {
      return;
    }
    closed_ = true;
    request_->response = std::move(response);
    request_->response_ready.notify();
  }
  /// The client has disconnected: no response is wanted.
  void abandon() { closed_ = true; }
  /// Answered or abandoned.
  bool closed() const { return closed_; }
  /// Closed, with no attempt outstanding.
  bool finished() const { return closed_ && outstanding_attempts_ == 0; }

  /// Returns the attempt's number.
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
  /// Whether a backend has received the whole request, or may receive it now.
  bool may_have_reached_backend() const { return reached_backend_ || outstanding_attempts_ > 0; }
  /// When the first attempt that may have been executed was started.
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
