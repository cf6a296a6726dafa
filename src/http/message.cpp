#include "http/message.h"

#include <algorithm>

#include "http/syntax.h"

namespace beechhill::http {

const std::string* Headers::find(std::string_view name) const {
  for (const auto& [field_name, value] : fields) {
    if (equals_ignoring_case(field_name, name)) {
      return &value;
    }
  }
  return nullptr;
}

std::size_t Headers::count(std::string_view name) const {
  return static_cast<std::size_t>(
      std::count_if(fields.begin(), fields.end(),
                    [name](const auto& field) { return equals_ignoring_case(field.first, name); }));
}

bool Headers::has_token(std::string_view name, std::string_view token) const {
  for (const auto& [field_name, value] : fields) {
    if (!equals_ignoring_case(field_name, name)) {
      continue;
    }
    for (std::string_view list = value; !list.empty();) {
      if (equals_ignoring_case(take_list_item(list), token)) {
        return true;
      }
    }
  }
  return false;
}

bool Message::keep_alive() const {
  if (headers.has_token("Connection", "close")) {
    return false;
  }
  return minor_version >= 1 || headers.has_token("Connection", "keep-alive");
}

std::size_t Message::memory_bytes() const {
  std::size_t bytes = method.capacity() + target.capacity() + body.capacity() +
                      headers.fields.capacity() * sizeof(headers.fields.front());
  for (const auto& [name, value] : headers.fields) {
    bytes += name.capacity() + value.capacity();
  }
  return bytes;
}

}  // namespace beechhill::http
