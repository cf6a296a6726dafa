#include "http/chunked_decoder.h"

#include <algorithm>
#include <charconv>
#include <cstdint>

#include "http/message.h"
#include "http/syntax.h"

namespace beechhill::http {
namespace {

// Maximum length in bytes of a chunk's first line (its size and extensions) and of a trailer field.
constexpr std::size_t kMaxLineBytes = 4096;
constexpr int kHexadecimal = 16;

}  // namespace

Progress ChunkedDecoder::feed(std::string& buffer, std::string& body) {
  std::size_t used = 0;
  const Progress progress = decode(buffer, used, body);
  // Erases all decoded chunks at once. One erase per chunk would take quadratic time for tiny
  // chunks.
  buffer.erase(0, used);
  return progress;
}

Progress ChunkedDecoder::decode(std::string_view buffer, std::size_t& used, std::string& body) {
  for (;;) {
    if (state_ == State::kData) {
      decode_data(buffer, used, body);
      if (state_ == State::kData) {
        return Progress::kNeedsMore;
      }
    }
    const auto end = buffer.find(kLineEnd, used);
    if (end == std::string_view::npos) {
      return buffer.size() - used > kMaxLineBytes ? Progress::kMalformed : Progress::kNeedsMore;
    }
    const std::string_view line = buffer.substr(used, end - used);
    used = end + kLineEnd.size();
    const Progress progress = decode_line(line);
    if (progress != Progress::kNeedsMore) {
      return progress;
    }
  }
}

void ChunkedDecoder::decode_data(std::string_view buffer, std::size_t& used, std::string& body) {
  const std::size_t available = std::min(chunk_bytes_left_, buffer.size() - used);
  body.append(buffer.substr(used, available));
  used += available;
  chunk_bytes_left_ -= available;
  if (chunk_bytes_left_ == 0) {
    state_ = State::kDataEnd;
  }
}

// Decodes one line outside of chunk data. Returns kNeedsMore if the body continues after it.
Progress ChunkedDecoder::decode_line(std::string_view line) {
  if (line.size() > kMaxLineBytes) {
    return Progress::kMalformed;
  }
  switch (state_) {
    case State::kDataEnd:
      state_ = State::kSize;
      return line.empty() ? Progress::kNeedsMore : Progress::kMalformed;
    case State::kTrailer:
      trailer_bytes_ += line.size();
      if (line.empty()) {
        return Progress::kComplete;
      }
      return trailer_bytes_ > kMaxHeadBytes ? Progress::kMalformed : Progress::kNeedsMore;
    case State::kSize:
    case State::kData:
      break;
  }
  return decode_size(line);
}

Progress ChunkedDecoder::decode_size(std::string_view line) {
  const std::string_view digits = trim(line.substr(0, line.find(';')));
  const char* const begin = digits.data();
  const char* const end = begin + digits.size();
  std::uint32_t size = 0;
  const auto [stop, error] = std::from_chars(begin, end, size, kHexadecimal);
  if (digits.empty() || error != std::errc{} || stop != end) {
    return Progress::kMalformed;
  }
  chunk_bytes_left_ = size;
  state_ = size > 0 ? State::kData : State::kTrailer;
  return Progress::kNeedsMore;
}

}  // namespace beechhill::http
