#include "proxy/watch_stream_decoder.h"

namespace beechhill::proxy {

WatchStreamDecoder::Got WatchStreamDecoder::next(std::string_view& object) {
  if (depth_ == 0 && looked_at_ > 0) {  // what was handed out
    bytes_.erase(0, looked_at_);
    looked_at_ = 0;
  }
  while (looked_at_ < bytes_.size()) {
    const char c = bytes_[looked_at_++];
    if (in_string_) {
      if (c == '\n') {
        return Got::kBad;  // JSON has none there: its line was cut
      }
      in_string_ = escaped_ || c != '"';
      escaped_ = !escaped_ && c == '\\';
      continue;
    }
    if (depth_ == 0) {
      if (c == '\n' && line_is_empty_) {
        return Got::kEmptyLine;
      }
      if (c == '\n') {
        line_is_empty_ = true;
      }
      if (c == '\n' || c == '\r' || c == ' ' || c == '\t') {
        continue;
      }
      if (c != '{') {
        return Got::kBad;
      }
      begun_ = looked_at_ - 1;
      line_is_empty_ = false;
    }
    if (c == '"') {
      in_string_ = true;
    }
    if (c == '{' || c == '[') {
      ++depth_;
    }
    if ((c == '}' || c == ']') && --depth_ == 0) {
      object = std::string_view(bytes_).substr(begun_, looked_at_ - begun_);
      return object.size() > most_ ? Got::kBad : Got::kObject;
    }
  }
  return unfinished() > most_ ? Got::kBad : Got::kMore;
}

}  // namespace beechhill::proxy
