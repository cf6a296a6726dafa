// Splits what a watch on discovery carries: JSON objects, each on one line or indented over
// several, and empty lines, which only show that the watch is alive. No I/O.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace beechhill::proxy {

/// Feed it bytes, then call next() until it returns kIncomplete.
class WatchStreamDecoder {
 public:
  enum class Token {
    /// No further token is complete yet.
    kIncomplete,
    /// Between two objects.
    kEmptyLine,
    /// From its first brace to its last.
    kObject,
    /// Bytes that begin no object or cannot be part of one, or an object that is too long. All that
    /// follows is doubtful.
    kInvalid,
  };

  /// `max_object_bytes`: of one object.
  explicit WatchStreamDecoder(std::size_t max_object_bytes) : max_object_bytes_(max_object_bytes) {}

  void feed(std::string_view bytes) { bytes_ += bytes; }

  /// The next token. With kObject `object` is valid until the next call of a non-const member.
  /// Linear in the bytes fed; none is scanned twice.
  Token next(std::string_view& object);

  /// Bytes held of an object that is not complete yet.
  std::size_t incomplete_object_bytes() const {
    return depth_ > 0 ? bytes_.size() - object_start_ : 0;
  }

 private:
  enum class Step { kContinue, kEmptyLine, kInvalid };
  Step scan_in_string(char c);
  Step scan_between_objects(char c);
  void scan_in_object(char c);
  void drop_returned_object();

  std::string bytes_;
  std::size_t max_object_bytes_;
  std::size_t scan_position_ = 0;
  std::size_t object_start_ = 0;
  /// Open braces and brackets.
  int depth_ = 0;
  bool in_string_ = false;
  bool escaped_ = false;
  bool line_is_empty_ = true;
};

}  // namespace beechhill::proxy
