// Numbers and short texts as bytes, least byte first, and back: for what proxies tell each other
// and keep. A reader never goes beyond its end; once something did not fit, all that follows is
// empty and ok() says so.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace beechhill::membership {

class ByteWriter {
 public:
  template <typename N>
  ByteWriter& number(N value) {
    const auto v = static_cast<std::uint64_t>(value);
    for (std::size_t i = 0; i < sizeof(N); ++i) {
      text_ += static_cast<char>(v >> (8 * i));
    }
    return *this;
  }
  ByteWriter& text(std::string_view t) {  // of 65,535 bytes at the most
    number(static_cast<std::uint16_t>(t.size()));
    text_ += t.substr(0, 65'535);
    return *this;
  }
  ByteWriter& blob(std::string_view t) {
    return number(static_cast<std::uint32_t>(t.size())).raw(t);
  }  // of 4 GiB at the most
  ByteWriter& raw(std::string_view t) {
    text_ += t;
    return *this;
  }
  const std::string& bytes() const { return text_; }

 private:
  std::string text_;
};

class ByteReader {
 public:
  explicit ByteReader(std::string_view bytes) : left_(bytes) {}
  template <typename N>
  N number() {
    std::uint64_t v = 0;
    const std::string_view part = take(sizeof(N));
    for (std::size_t i = 0; i < part.size(); ++i) {
      v |= std::uint64_t{static_cast<unsigned char>(part[i])} << (8 * i);
    }
    return static_cast<N>(v);
  }
  std::string text(std::size_t most) {
    const std::size_t size = number<std::uint16_t>();
    if (size > most) {
      ok_ = false;
    }
    return std::string(take(size));
  }
  std::string_view blob() {
    const std::size_t size = number<std::uint32_t>();
    return take(size);
  }
  std::string_view rest() { return take(left_.size()); }
  bool ok() const { return ok_; }
  bool done() const { return ok_ && left_.empty(); }

 private:
  std::string_view take(std::size_t size) {
    if (size > left_.size()) {
      ok_ = false;
    }
    if (!ok_) {
      return {};
    }
    const std::string_view part = left_.substr(0, size);
    left_.remove_prefix(size);
    return part;
  }
  std::string_view left_;
  bool ok_ = true;
};

}  // namespace beechhill::membership
