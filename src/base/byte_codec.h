// Little-endian encoding of integers and length-prefixed strings, for messages among proxies and
// for stored records. No I/O.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace beechhill::base {

/// Appends values to a byte string. The bytes are the same on every platform.
class ByteWriter {
 public:
  /// Appends an integer or enum, least significant byte first, in sizeof(Number) bytes.
  template <typename Number>
  ByteWriter& number(Number value) {
    const auto bits = static_cast<std::uint64_t>(value);
    for (std::size_t i = 0; i < sizeof(Number); ++i) {
      bytes_ += static_cast<char>(bits >> (8 * i));
    }
    return *this;
  }

  /// Appends a string with a length of 16 bits. `value` has at most 65,535 bytes.
  ByteWriter& text(std::string_view value) {
    number(static_cast<std::uint16_t>(value.size()));
    bytes_ += value.substr(0, kMaxTextBytes);
    return *this;
  }

  /// Appends bytes with a length of 32 bits. `value` has at most 4 GiB - 1.
  ByteWriter& blob(std::string_view value) {
    return number(static_cast<std::uint32_t>(value.size())).raw(value);
  }

  /// Appends bytes without a length.
  ByteWriter& raw(std::string_view value) {
    bytes_ += value;
    return *this;
  }

  const std::string& bytes() const { return bytes_; }

 private:
  static constexpr std::size_t kMaxTextBytes = 65'535;

  std::string bytes_;
};

/// Reads what ByteWriter wrote. It never reads beyond the end: once a value does not fit, ok() is
/// false and all further values are zero or empty. Holds a view: the bytes must outlive it.
class ByteReader {
 public:
  explicit ByteReader(std::string_view bytes) : remaining_(bytes) {}

  /// Reads an integer or enum. The caller checks that an enum's value is a known one.
  template <typename Number>
  Number number() {
    std::uint64_t bits = 0;
    const std::string_view part = take(sizeof(Number));
    for (std::size_t i = 0; i < part.size(); ++i) {
      bits |= std::uint64_t{static_cast<unsigned char>(part[i])} << (8 * i);
    }
    return static_cast<Number>(bits);
  }

  /// Reads a string with a length of 16 bits; one longer than `max_size` bytes is an error.
  std::string text(std::size_t max_size) {
    const std::size_t size = number<std::uint16_t>();
    if (size > max_size) {
      ok_ = false;
    }
    return std::string(take(size));
  }

  /// Reads bytes with a length of 32 bits.
  std::string_view blob() {
    const std::size_t size = number<std::uint32_t>();
    return take(size);
  }

  /// Takes all bytes that remain.
  std::string_view rest() { return take(remaining_.size()); }

  /// Whether every value so far was complete.
  bool ok() const { return ok_; }
  /// Whether every value was complete and no byte remains.
  bool done() const { return ok_ && remaining_.empty(); }

 private:
  std::string_view take(std::size_t size) {
    if (size > remaining_.size()) {
      ok_ = false;
    }
    if (!ok_) {
      return {};
    }
    const std::string_view part = remaining_.substr(0, size);
    remaining_.remove_prefix(size);
    return part;
  }

  std::string_view remaining_;
  bool ok_ = true;
};

}  // namespace beechhill::base
