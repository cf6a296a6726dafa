// How far a parser has come.
#pragma once

namespace beechhill::http {

/// kMore: complete only with further bytes. kBad: the input is malformed or over a limit; the
/// parser must not be fed again.
enum class Progress { kMore, kDone, kBad };

}  // namespace beechhill::http
