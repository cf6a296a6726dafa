#include "config/checksummed_json.h"

#include <xxhash.h>

#include <memory>

namespace beechhill::config {
namespace {

constexpr const char* kMagicKey = "is";
constexpr const char* kFormatKey = "format";

std::string checksum(std::string_view line) {
  return std::to_string(XXH64(line.data(), line.size(), 0));
}

}  // namespace

std::string encode_checksummed(Json::Value root, const char* magic, int format,
                               int significant_digits) {
  root[kMagicKey] = magic;
  root[kFormatKey] = format;
  Json::StreamWriterBuilder writer;
  writer["indentation"] = "";
  writer["precision"] = significant_digits;
  const std::string line = Json::writeString(writer, root);
  return line + "\n" + checksum(line) + "\n";
}

std::optional<Json::Value> decode_checksummed(std::string_view text, const char* magic,
                                              int format) {
  const auto line_end = text.find('\n');
  if (line_end == std::string_view::npos) {
    return std::nullopt;
  }
  const std::string_view line = text.substr(0, line_end);
  if (text.substr(line_end + 1) != checksum(line) + "\n") {
    return std::nullopt;
  }
  Json::Value root;
  const std::unique_ptr<Json::CharReader> reader(Json::CharReaderBuilder().newCharReader());
  if (!reader->parse(line.data(), line.data() + line.size(), &root, nullptr) || !root.isObject()) {
    return std::nullopt;
  }
  if (root[kMagicKey] != magic || root[kFormatKey] != format) {
    return std::nullopt;
  }
  return root;
}

}  // namespace beechhill::config
