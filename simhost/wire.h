// The simulator's protocol: the simulator sends batches of events for balancers, one JSON object a
// line, and receives the balancers' actions in reply.
#pragma once

#include <memory>
#include <stdexcept>
#include <string>

namespace beechhill::wire {

/// Reports an invalid line. what() names the batch, the field and the error.
struct WireError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

/// The balancers of one process. They share only the directories of endpoints.
class Host {
 public:
  Host();
  ~Host();
  Host(const Host&) = delete;
  Host& operator=(const Host&) = delete;

  /// Handles one batch and returns the reply, both without a line end. Throws WireError if the
  /// batch is invalid.
  std::string reply_to(const std::string& line);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace beechhill::wire
