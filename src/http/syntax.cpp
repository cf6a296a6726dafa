#include "http/syntax.h"

#include <algorithm>

namespace beechhill::http {
namespace {

char to_lower(char c) {
  return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

bool is_token_character(char c) {
  const char lower = to_lower(c);
  return (c >= '0' && c <= '9') || (lower >= 'a' && lower <= 'z') ||
         std::string_view("!#$%&'*+-.^_`|~").find(c) != std::string_view::npos;
}

bool is_visible_character(char c) {
  const auto byte = static_cast<unsigned char>(c);
  return byte > 0x20 && byte != 0x7f;
}

bool is_blank(char c) {
  return c == ' ' || c == '\t';
}

}  // namespace

bool equals_ignoring_case(std::string_view a, std::string_view b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](char x, char y) { return to_lower(x) == to_lower(y); });
}

std::string_view trim(std::string_view text) {
  const auto first = text.find_first_not_of(" \t");
  if (first == std::string_view::npos) {
    return {};
  }
  return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

bool is_token(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), is_token_character);
}

bool is_visible(std::string_view text) {
  return std::all_of(text.begin(), text.end(), is_visible_character);
}

bool is_field_value(std::string_view text) {
  return std::all_of(text.begin(), text.end(),
                     [](char c) { return is_visible_character(c) || is_blank(c); });
}

std::string_view take_list_item(std::string_view& list) {
  const auto comma = list.find(',');
  const std::string_view item = list.substr(0, comma);
  list.remove_prefix(comma == std::string_view::npos ? list.size() : comma + 1);
  return trim(item);
}

}  // namespace beechhill::http
