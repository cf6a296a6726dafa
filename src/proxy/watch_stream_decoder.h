// Splits the data of a watch on discovery into JSON objects, each on one line or indented over
// several, and empty lines, which only show that the watch is alive. Does no I/O.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace beechhill::proxy {

/// Decodes the data of one watch. Call feed() with received bytes, then next() until it returns
/// kIncomplete.
class WatchStreamDecoder {
 public:
  enum class Token {
    /// No further token is complete yet.
    kIncomplete,
    /// An empty line between two objects.
    kEmptyLine,
    /// A complete object, from its first brace to its last.
    kObject,
    /// Bytes that cannot begin or continue an object, or an object beyond the size limit. The data
    /// that follows cannot be decoded reliably.
    kInvalid,
  };

  /// `max_object_bytes` is the maximum size of one object.
  explicit WatchStreamDecoder(std::size_t max_object_bytes) : max_object_bytes_(max_object_bytes) {}

  void feed(std::string_view bytes) { bytes_ += bytes; }

  /// Returns the next token. For kObject, `object` is valid until the next call of a non-const
  /// member. Takes time linear in the bytes fed; no byte is scanned twice.
  Token next(std::string_view& object);

  /// Number of buffered bytes of an object that is not complete yet; 0 if there is none.
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
  /// Number of open braces and brackets.
  int depth_ = 0;
  bool in_string_ = false;
  bool escaped_ = false;
  bool line_is_empty_ = true;
};

}  // namespace beechhill::proxy
