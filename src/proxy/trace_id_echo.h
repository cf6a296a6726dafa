// Recognizes responses whose body begins with the trace id of their request.
#pragma once

#include <string_view>

namespace beechhill::proxy {

/// Whether the body of a response begins with the trace id of its request.
enum class TraceIdEcho {
  /// It does not.
  kAbsent,
  /// The part of the body that has been received is shorter than the trace id and matches it so
  /// far.
  kUndetermined,
  kPresent,
};

/// `body` is the received part of the body. Returns kAbsent if `trace_id` is empty.
inline TraceIdEcho find_trace_id_echo(std::string_view body, std::string_view trace_id) {
  if (trace_id.empty()) {
    return TraceIdEcho::kAbsent;
  }
  if (body.starts_with(trace_id)) {
    return TraceIdEcho::kPresent;
  }
  return trace_id.starts_with(body) ? TraceIdEcho::kUndetermined : TraceIdEcho::kAbsent;
}

}  // namespace beechhill::proxy
