#include "config/checksummed_json.h"

#include <xxhash.h>

#include <memory>

namespace beechhill::config {
namespace {

std::string checksum(std::string_view line) {
  return std::to_string(XXH64(line.data(), line.size(), 0));
}

}  // namespace

std::string encode_checksummed(Json::Value root, const char* is, int format, int precision) {
  root["is"] = is;
  root["format"] = format;
  Json::StreamWriterBuilder writer;
  writer["indentation"] = "";
  writer["precision"] = precision;
  const std::string line = Json::writeString(writer, root);
  return line + "\n" + checksum(line) + "\n";
}

std::optional<Json::Value> decode_checksummed(std::string_view text, const char* is, int format) {
  const auto end = text.find('\n');
  if (end == std::string_view::npos) {
    return std::nullopt;
  }
  const std::string_view line = text.substr(0, end);
  if (text.substr(end + 1) != checksum(line) + "\n") {
    return std::nullopt;
  }
  Json::Value root;
  const std::unique_ptr<Json::CharReader> reader(Json::CharReaderBuilder().newCharReader());
  if (!reader->parse(line.data(), line.data() + line.size(), &root, nullptr) || !root.isObject()) {
    return std::nullopt;
  }
  if (root["is"] != is || root["format"] != format) {
    return std::nullopt;
  }
  return root;
}

}  // namespace beechhill::config
