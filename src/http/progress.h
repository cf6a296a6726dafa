// The result of an incremental parsing step.
#pragma once

namespace beechhill::http {

/// kNeedsMore: the parser needs more bytes. kMalformed: the input is malformed or exceeds a size
/// limit; the parser must not be used again.
enum class Progress { kNeedsMore, kComplete, kMalformed };

}  // namespace beechhill::http
