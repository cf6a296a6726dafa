// Takes what a watch on discovery carries apart: JSON objects, one a line or indented over several,
// and empty lines, which only say that the watch lives. No I/O.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace beechhill::proxy {

class WatchStreamDecoder {
 public:
  // `most`: bytes of one object; a longer one is kBad.
  explicit WatchStreamDecoder(std::size_t most) : most_(most) {}

  enum class Got {
    kMore,       // nothing whole
    kEmptyLine,  // between two objects
    kObject,     // from its first brace to its last
    kBad,        // what stands there begins no object, or can't be part of one: all that follows is
                 // doubtful
  };
  void feed(std::string_view bytes) { bytes_ += bytes; }
  // The next of them. `object` lives until the next call of any member.
  Got next(std::string_view& object);
  // Bytes of an object that is not whole yet.
  std::size_t unfinished() const { return depth_ > 0 ? bytes_.size() - begun_ : 0; }

 private:
  std::string bytes_;
  std::size_t most_, looked_at_ = 0, begun_ = 0;
  int depth_ = 0;
  bool in_string_ = false, escaped_ = false, line_is_empty_ = true;
};

}  // namespace beechhill::proxy
