#include "proxy/connection_log.h"

#include "log/log.h"

namespace beechhill::proxy {

const char* reason_code(EndReason reason) {
  switch (reason) {
    case EndReason::kClientClosed:
      return "client_closed";
    case EndReason::kClientDisconnected:
      return "client_gone";
    case EndReason::kClosedAfterResponse:
      return "answered_close";
    case EndReason::kBadRequest:
      return "bad_request";
    case EndReason::kBuffersFull:
      return "buffers_full";
    case EndReason::kReadTimeout:
      return "read_timeout";
    case EndReason::kUploadBlocked:
      return "upload_blocked";
    case EndReason::kWriteFailed:
      return "write_failed";
    case EndReason::kDraining:
      return "draining";
    case EndReason::kEvicted:
      return "evicted";
    case EndReason::kIdle:
      return "idle";
    case EndReason::kBackendClosed:
      return "peer_closed";
    case EndReason::kUnsolicitedBytes:
      return "unsolicited_bytes";
    case EndReason::kBackendDrained:
      return "peer_drained";
    case EndReason::kConnectFailed:
      return "connect_failed";
    case EndReason::kAttemptCancelled:
      return "step_cancelled";
    case EndReason::kAttemptTimeout:
      return "step_timeout";
    case EndReason::kReset:
      return "reset";
    case EndReason::kMalformedResponse:
      return "bad_reply";
    case EndReason::kResponseStalled:
      return "stalled_reply";
    case EndReason::kDiscoveryEnded:
      return "discovery_ended";
    case EndReason::kDiscoverySilent:
      return "discovery_silent";
    case EndReason::kDiscoveryMalformed:
      return "discovery_bad";
    case EndReason::kDiscoveryMoved:
      return "discovery_moved";
    case EndReason::kDiscoveryResync:
      return "discovery_anew";
    case EndReason::kFault:
      return "fault";
  }
  return "unknown";
}

void log_connection_end(const char* side, const std::string& remote, EndReason reason,
                        std::uint64_t requests) {
  log::info("end", {{"side", std::string_view(side)},
                    {"remote", std::string_view(remote)},
                    {"reason", std::string_view(reason_code(reason))},
                    {"operations", requests}});
}

}  // namespace beechhill::proxy
