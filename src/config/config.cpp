#include "config/config.h"

#include <algorithm>
#include <charconv>
#include <cstddef>
#include <cstdlib>
#include <fstream>
#include <initializer_list>
#include <sstream>
#include <string_view>

#include "config/address_reader.h"

namespace beechhill::config {
namespace {

constexpr std::uint32_t kMinDescriptors = 64;
constexpr std::uint32_t kMinMemoryMb = 16;
constexpr std::size_t kMaxSeedDigits = 16;
constexpr int kHexadecimal = 16;

// Reads the seed, a number or a string of hexadecimal digits such as "8c1f30d27a5be964".
std::uint64_t read_seed(const Json::Value& root) {
  const Json::Value& value = require_member(root, "seed");
  if (!value.isString()) {
    return convert<std::uint64_t>(value, "seed");
  }
  const std::string text = value.asString();
  if (text.empty() || text.size() > kMaxSeedDigits ||
      text.find_first_not_of("0123456789abcdefABCDEF") != std::string::npos) {
    throw_json_error("seed", "not a number or a string of 1 to 16 hexadecimal digits", &value);
  }
  return std::stoull(text, nullptr, kHexadecimal);
}

void read_limits(const Json::Value& root, Config& config) {
  const Json::Value* const given = find_member(root, "limits");
  if (given != nullptr) {
    const Json::Value& limits = require_object(root, "limits");
    config.max_descriptors = get_member<std::uint32_t>(limits, "sockets", config.max_descriptors);
    config.memory_mb = get_member<std::uint32_t>(limits, "memory_mb", config.memory_mb);
  }
  if (config.memory_mb < kMinMemoryMb) {
    throw_json_error("limits.memory_mb", "must be at least " + std::to_string(kMinMemoryMb), given);
  }
  if (config.max_descriptors < kMinDescriptors) {
    throw_json_error("limits.sockets", "must be at least " + std::to_string(kMinDescriptors),
                     given);
  }
}

NamedSettings read_proxy_settings(const Json::Value& root) {
  NamedSettings named = read_settings(require_object(root, "settings"), read_seed(root));
  if (named.settings.connect_timeout <= Duration{0}) {
    throw_json_error("connect-timeout", "must be greater than 0");
  }
  if (named.settings.backend_idle_timeout <= Duration{0}) {
    throw_json_error("idle-close", "must be greater than 0");
  }
  validate(named.settings);
  return named;
}

std::string read_file(const char* path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    throw_json_error("GW_CONFIG", std::string("cannot be read: ") + path);
  }
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

// An environment variable that takes precedence over a key of the configuration file.
struct Override {
  const char* variable;
  const char* key;
};

Config load(std::initializer_list<Override> overrides) {
  const char* path = std::getenv("GW_CONFIG");
  if (path == nullptr) {
    throw_json_error("GW_CONFIG", "not set");
  }
  const std::string text = read_file(path);
  Json::Value root = parse(text.data(), text.data() + text.size(), "GW_CONFIG");
  if (!root.isObject()) {
    throw_json_error("GW_CONFIG", "not a JSON object");
  }
  for (const Override& override : overrides) {
    if (const char* value = std::getenv(override.variable)) {
      root[override.key] = value;
    }
  }
  try {
    return read_config(root);
  } catch (const JsonError& error) {
    if (!error.offset()) {
      throw;
    }
    const std::string_view before = std::string_view(text).substr(0, *error.offset());
    const auto line = 1 + std::count(before.begin(), before.end(), '\n');
    throw error.at(std::string(path) + ":" + std::to_string(line));
  }
}

int parse_descriptor(std::string_view text) {
  int descriptor = -1;
  const char* const begin = text.data();
  const char* const end = begin + text.size();
  const auto [stop, error] = std::from_chars(begin, end, descriptor);
  if (error != std::errc{} || stop != end || descriptor < 0) {
    throw_json_error("GW_FD", "not the number of a file descriptor: " + std::string(text));
  }
  return descriptor;
}

}  // namespace

Config read_config(const Json::Value& root) {
  Config config;
  config.name = get_member<std::string>(root, "name", "");
  config.listen = read_address(root, "listen");
  config.discovery = read_address(root, "discovery");
  if (find_member(root, "admin_addr") != nullptr) {
    config.admin = read_address(root, "admin_addr");
  }
  read_limits(root, config);
  if (find_member(root, "known") != nullptr) {
    config.cached_endpoints = read_endpoint_list(require_object(root, "known"));
  }
  config.named_settings = read_proxy_settings(root);
  return config;
}

Config load_config() {
  Config config = load({{"GW_NAME", "name"},
                        {"GW_LISTEN", "listen"},
                        {"GW_DISCOVERY", "discovery"},
                        {"GW_ADMIN_ADDR", "admin_addr"}});
  const char* const descriptor = std::getenv("GW_FD");
  if (descriptor == nullptr) {
    return config;
  }
  config.inherited_listener_fd = parse_descriptor(descriptor);
  if (const char* directory = std::getenv("TMPDIR")) {
    config.shared_state_directory = directory;
  }
  return config;
}

Config reload_config() {
  return load({{"GW_NAME", "name"}, {"GW_LISTEN", "listen"}, {"GW_ADMIN_ADDR", "admin_addr"}});
}

}  // namespace beechhill::config
