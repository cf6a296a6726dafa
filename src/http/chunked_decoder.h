// An incremental decoder of the chunked transfer coding (RFC 9112, section 7.1). Performs no I/O.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "http/progress.h"

namespace beechhill::http {

/// Decodes one chunked body. Chunk extensions and trailer fields are discarded.
class ChunkedDecoder {
 public:
  /// Removes the bytes that can be decoded from the front of `buffer` and appends the decoded body
  /// to `body`. On kNeedsMore, call again after appending more bytes to `buffer`. Returns
  /// kMalformed if the framing is invalid. Runs in time linear in the size of `buffer`.
  Progress feed(std::string& buffer, std::string& body);

 private:
  enum class State { kSize, kData, kDataEnd, kTrailer };

  Progress decode(std::string_view buffer, std::size_t& used, std::string& body);
  void decode_data(std::string_view buffer, std::size_t& used, std::string& body);
  Progress decode_line(std::string_view line);
  Progress decode_size(std::string_view line);

  State state_ = State::kSize;
  std::size_t chunk_bytes_left_ = 0;
  std::size_t trailer_bytes_ = 0;
};

}  // namespace beechhill::http
