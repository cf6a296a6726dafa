// How far a parser has come.
#pragma once

namespace beechhill::http {

/// kNeedsMore: complete only with further bytes. kMalformed: the input is malformed or over a
/// limit; the parser must not be fed again.
enum class Progress { kNeedsMore, kComplete, kMalformed };

}  // namespace beechhill::http
