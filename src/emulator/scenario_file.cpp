#include "emulator/scenario_file.h"

#include <filesystem>
#include <stdexcept>
#include <utility>

#include "config/toml_reader.h"

namespace beechhill::emulator {
namespace {

constexpr int kMaxExtendsDepth = 4;
// Maximum number of digits of an array index, which prevents an overflow in std::stoul. Arrays in
// files of at most 1 MiB need no more digits.
constexpr std::size_t kMaxIndexDigits = 6;

void merge(toml::table& base, toml::table&& over) {
  for (auto&& [key, node] : over) {
    toml::table* into = base.get_as<toml::table>(key.str());
    if (into && node.is_table()) {
      merge(*into, std::move(*node.as_table()));
    } else {
      node.visit([&](auto& value) { base.insert_or_assign(key, std::move(value)); });
    }
  }
}

toml::table load_extended(const std::string& path, int depth_left) {
  toml::table root = config::load_toml(path);
  const toml::node* base = root.get("extends");
  if (!base) {
    return root;
  }
  const auto name = base->value<std::string>();
  if (!name || depth_left == 0) {
    config::TomlReader(root, path)
        .throw_error("extends", name ? "more than four levels of inheritance" : "not a string");
  }
  const std::string base_path = (std::filesystem::path(path).parent_path() / *name).string();
  toml::table merged = load_extended(base_path, depth_left - 1);
  root.erase("extends");
  merge(merged, std::move(root));
  return merged;
}

toml::node* array_element(toml::array& array, const std::string& key, const std::string& path) {
  if (key.find_first_not_of("0123456789") != std::string::npos || key.size() > kMaxIndexDigits ||
      std::stoul(key) >= array.size()) {
    throw std::invalid_argument(path + ": no array entry " + key);
  }
  return array.get(std::stoul(key));
}

}  // namespace

toml::table load_scenario(const std::string& path) {
  return load_extended(path, kMaxExtendsDepth);
}

void override_key(toml::table& root, const std::string& path, const toml::node& value) {
  toml::node* at = &root;
  std::size_t from = 0;
  for (;;) {
    const std::size_t dot = path.find('.', from);
    const bool is_last = dot == std::string::npos;
    const std::string key = path.substr(from, dot - from);
    if (key.empty()) {
      throw std::invalid_argument(path + ": empty key between dots");
    }
    if (toml::array* array = at->as_array()) {
      if (is_last) {
        throw std::invalid_argument(
            path + ": names a whole array entry; only keys of its table can be set");
      }
      at = array_element(*array, key, path);
    } else if (toml::table* table = at->as_table()) {
      if (is_last) {
        value.visit([&](const auto& typed) { table->insert_or_assign(key, typed); });
        return;
      }
      if (!table->contains(key)) {
        table->insert(key, toml::table{});
      }
      at = table->get(key);
    } else {
      throw std::invalid_argument(path +
                                  ": continues below a value that is neither a table nor an array");
    }
    from = dot + 1;
  }
}

void override_from(toml::table& root, const std::string& text) {
  const std::size_t equals = text.find('=');
  if (equals == std::string::npos) {
    throw config::TomlError(text + ": not of the form KEY=VALUE");
  }
  const std::string value = text.substr(equals + 1);
  toml::table parsed;
  try {
    parsed = config::parse_toml("v = " + value, text);
  } catch (const config::TomlError&) {
    // The value is not valid TOML and is taken as a string without quotes.
    parsed.insert("v", value);
  }
  override_key(root, text.substr(0, equals), *parsed.get("v"));
}

}  // namespace beechhill::emulator
