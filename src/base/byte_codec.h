// Little-endian encoding of integers and length-prefixed strings, used for messages between proxies
// and for stored records. Performs no I/O.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace beechhill::base {

/// Appends values to a byte string. The encoding does not depend on the platform.
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

  /// Appends a string, preceded by its length as a 16-bit integer. `value` must have at most 65,535
  /// bytes.
  ByteWriter& text(std::string_view value) {
    number(static_cast<std::uint16_t>(value.size()));
    bytes_ += value.substr(0, kMaxTextBytes);
    return *this;
  }

  /// Appends bytes, preceded by their count as a 32-bit integer. `value` must have at most 4 GiB -
  /// 1 bytes.
  ByteWriter& blob(std::string_view value) {
    return number(static_cast<std::uint32_t>(value.size())).raw(value);
  }

  /// Appends `value` without a length.
  ByteWriter& raw(std::string_view value) {
    bytes_ += value;
    return *this;
  }

  const std::string& bytes() const { return bytes_; }

 private:
  static constexpr std::size_t kMaxTextBytes = 65'535;

  std::string bytes_;
};

/// Reads values that ByteWriter wrote, never beyond the end of the input: once a value is
/// incomplete, ok() is false and all further values are zero or empty. Holds a view: the bytes must
/// outlive the reader.
class ByteReader {
 public:
  explicit ByteReader(std::string_view bytes) : remaining_(bytes) {}

  /// Reads an integer or enum. Any value of an enum is accepted: the caller must check its range.
  template <typename Number>
  Number number() {
    std::uint64_t bits = 0;
    const std::string_view part = take(sizeof(Number));
    for (std::size_t i = 0; i < part.size(); ++i) {
      bits |= std::uint64_t{static_cast<unsigned char>(part[i])} << (8 * i);
    }
    return static_cast<Number>(bits);
  }

  /// Reads a string that ByteWriter::text() wrote. A length over `max_size` bytes makes ok() false.
  std::string text(std::size_t max_size) {
    const std::size_t size = number<std::uint16_t>();
    if (size > max_size) {
      ok_ = false;
    }
    return std::string(take(size));
  }

  /// Reads bytes that ByteWriter::blob() wrote. The result is a view of the input.
  std::string_view blob() {
    const std::size_t size = number<std::uint32_t>();
    return take(size);
  }

  /// Reads all remaining bytes, as a view of the input.
  std::string_view rest() { return take(remaining_.size()); }

  /// Returns whether every value read so far was complete and within its size limit.
  bool ok() const { return ok_; }
  /// Returns whether ok() is true and no bytes remain.
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
