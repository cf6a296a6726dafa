// The simulator's wire: turns its lines into module events and module actions into its lines.
#pragma once

#include <memory>
#include <stdexcept>
#include <string>

namespace beechhill::wire {

// What is wrong with a line, naming the batch, the field and the fault.
struct WireError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// Hosts the instances of one process. They share nothing but the discovery lists that the wire
// numbers.
class Host {
 public:
  Host();
  ~Host();
  Host(const Host&) = delete;
  Host& operator=(const Host&) = delete;

  // Takes one batch and returns the reply, both without the line end. Throws WireError.
  std::string reply_to(const std::string& line);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace beechhill::wire
