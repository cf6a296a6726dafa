#include "proxy/watch_stream_decoder.h"

namespace beechhill::proxy {

WatchStreamDecoder::Token WatchStreamDecoder::next(std::string_view& object) {
  drop_returned_object();
  while (scan_position_ < bytes_.size()) {
    const char c = bytes_[scan_position_++];
    if (in_string_) {
      if (scan_in_string(c) == Step::kInvalid) {
        return Token::kInvalid;
      }
      continue;
    }
    if (depth_ == 0) {
      const Step step = scan_between_objects(c);
      if (step != Step::kContinue) {
        return step == Step::kEmptyLine ? Token::kEmptyLine : Token::kInvalid;
      }
    }
    const int depth_before = depth_;
    scan_in_object(c);
    if (depth_ == 0 && depth_before > 0) {
      object = std::string_view(bytes_).substr(object_start_, scan_position_ - object_start_);
      return object.size() > max_object_bytes_ ? Token::kInvalid : Token::kObject;
    }
  }
  return incomplete_object_bytes() > max_object_bytes_ ? Token::kInvalid : Token::kIncomplete;
}

void WatchStreamDecoder::drop_returned_object() {
  if (depth_ == 0 && scan_position_ > 0) {
    bytes_.erase(0, scan_position_);
    scan_position_ = 0;
  }
}

WatchStreamDecoder::Step WatchStreamDecoder::scan_in_string(char c) {
  if (c == '\n') {
    return Step::kInvalid;  // A JSON string cannot contain a line end, so the line is truncated.
  }
  in_string_ = escaped_ || c != '"';
  escaped_ = !escaped_ && c == '\\';
  return Step::kContinue;
}

WatchStreamDecoder::Step WatchStreamDecoder::scan_between_objects(char c) {
  if (c == '\n') {
    const bool was_empty = line_is_empty_;
    line_is_empty_ = true;
    return was_empty ? Step::kEmptyLine : Step::kContinue;
  }
  if (c == '\r' || c == ' ' || c == '\t') {
    return Step::kContinue;
  }
  if (c != '{') {
    return Step::kInvalid;
  }
  object_start_ = scan_position_ - 1;
  line_is_empty_ = false;
  return Step::kContinue;
}

void WatchStreamDecoder::scan_in_object(char c) {
  if (c == '"') {
    in_string_ = true;
  } else if (c == '{' || c == '[') {
    ++depth_;
  } else if (c == '}' || c == ']') {
    --depth_;
  }
}

}  // namespace beechhill::proxy
