// The simulator's protocol: batches of events for balancers, one JSON object a line, and their
// actions in reply.
#pragma once

#include <memory>
#include <stdexcept>
#include <string>

namespace beechhill::wire {

/// What is wrong with a line. what() names the batch, the field and the fault.
struct WireError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

/// The balancers of one process. They share nothing but the numbered lists of endpoints.
class Host {
 public:
  Host();
  ~Host();
  Host(const Host&) = delete;
  Host& operator=(const Host&) = delete;

  /// Handles one batch and returns the reply, both without the line end. Throws WireError.
  std::string reply_to(const std::string& line);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace beechhill::wire
