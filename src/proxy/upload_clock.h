// Estimates for how long a client may have been waiting for the response to a request whose body
// has not been read completely. Performs no I/O and reads no clock.
#pragma once

#include <cstdint>

#include "beechhill/balancer.h"

namespace beechhill::proxy {

/// A client's time counts from the moment at which it has written the last byte of its request.
/// While a backend does not take the body, the proxy does not read it either, so that the last byte
/// may wait unseen in the buffers of the sockets. The time for which the proxy has not read then
/// counts as the client's, unless it is known that the client had not finished yet.
class UploadClock {
 public:
  /// Maximum number of written bytes that the client's machine holds for a connection: Linux's
  /// default limit of a socket's send buffer.
  static constexpr std::uint64_t kMaxSendBufferBytes = std::uint64_t{4} * 1024 * 1024;

  /// `received_bytes` is the number of bytes of the request that have been received so far.
  explicit UploadClock(std::uint64_t received_bytes = 0)
      : older_{received_bytes, Duration{0}}, newer_(older_) {}

  /// Records that nothing was read for `duration`, because the backend did not take the body.
  void add_blocked(Duration duration) { blocked_ += duration; }

  /// Records that `received_bytes` bytes have been received in total. `waited_for_bytes` states
  /// whether none of the latest ones had been there when the proxy began to read, so that the
  /// client had not finished by then.
  void record_received(std::uint64_t received_bytes, bool waited_for_bytes) {
    const Mark now{received_bytes, blocked_};
    if (waited_for_bytes) {
      older_ = now;
      newer_ = now;
    } else if (received_bytes - newer_.received_bytes > kMaxSendBufferBytes) {
      // These bytes do not fit into the send buffer, so the client had not finished at `newer_`.
      older_ = newer_;
      newer_ = now;
    }
  }

  /// Returns for how long the client may have been waiting for its response.
  Duration waited() const { return blocked_ - older_.blocked; }

 private:
  /// A moment while the request was being received.
  struct Mark {
    std::uint64_t received_bytes = 0;
    /// The value of `blocked_` at that moment.
    Duration blocked{0};
  };

  Duration blocked_{0};
  /// The latest moment at which the client is known not to have finished.
  Mark older_;
  /// A later moment, which becomes `older_` once enough bytes have been received after it.
  Mark newer_;
};

}  // namespace beechhill::proxy
