// How long a connection to a backend rests after a response before it carries another request.
#pragma once

#include <chrono>

#include "runtime/wait.h"

namespace beechhill::proxy {

/// A backend may send bytes that belong to no request, such as its last response once more, some
/// milliseconds behind that response. Bytes that arrive after the next request has been written
/// would pass for its response, as nothing in HTTP/1.1 ties a response to its request. Connections
/// therefore rest after each response, and longer while backends are known to send such bytes,
/// because a busy machine delays them further. Shared by the connections to all backends.
class SettlingTime {
 public:
  static constexpr std::chrono::milliseconds kUsual{25};
  static constexpr std::chrono::milliseconds kAfterUnsolicitedBytes{250};
  /// How long kAfterUnsolicitedBytes applies after a report.
  static constexpr std::chrono::seconds kSuspicionTime{60};

  /// Reports that a backend has sent bytes that belong to no request.
  void report_unsolicited_bytes(runtime::TimePoint now) {
    suspicious_until_ = now + kSuspicionTime;
  }
  std::chrono::milliseconds at(runtime::TimePoint now) const {
    return now < suspicious_until_ ? kAfterUnsolicitedBytes : kUsual;
  }

 private:
  runtime::TimePoint suspicious_until_ = runtime::TimePoint::min();
};

}  // namespace beechhill::proxy
