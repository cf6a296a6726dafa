#include "config/config.h"

#include <algorithm>
#include <charconv>
#include <cstdlib>
#include <fstream>
#include <initializer_list>
#include <sstream>

#include "net/socket.h"

namespace beechhill::config {
namespace {

constexpr std::uint32_t kFewestSockets = 64;
constexpr std::uint32_t kLeastMemory = 16;

sockaddr_in address_in(const Json::Value& object, const char* key) {
  const auto text = get_member<std::string>(object, key);
  const auto address = net::parse_address(text);
  if (!address) {
    throw_json_error(key, "not an address and port: " + text, find_member(object, key));
  }
  return *address;
}

// "8c1f30d27a5be964": hexadecimal where it is text.
std::uint64_t seed_in(const Json::Value& root) {
  const Json::Value& value = require_member(root, "seed");
  if (!value.isString()) {
    return convert<std::uint64_t>(value, "seed");
  }
  const std::string text = value.asString();
  if (text.empty() || text.size() > 16 ||
      text.find_first_not_of("0123456789abcdefABCDEF") != std::string::npos) {
    throw_json_error("seed", "not up to 16 hexadecimal digits", &value);
  }
  return std::stoull(text, nullptr, 16);
}

EndpointStatus state_in(const Json::Value& row) {
  const auto word = get_member<std::string>(row, "health");
  if (word == "in_service") {
    return EndpointStatus::kUp;
  }
  if (word == "terminating") {
    return EndpointStatus::kDraining;
  }
  if (word == "terminated") {
    return EndpointStatus::kRemoved;
  }
  throw_json_error("health", "not one of in_service, terminating, terminated",
                   find_member(row, "health"));
}

}  // namespace

EndpointList read_endpoint_list(const Json::Value& list) {
  EndpointList pool;
  pool.version = get_member<std::uint64_t>(list, "seq");
  pool.complete = get_member<bool>(list, "whole");
  for (const Json::Value& row : require_array(list, "hosts")) {
    EndpointListEntry e;
    e.host = get_member<std::string>(row, "host");
    e.status = state_in(row);
    if (e.status != EndpointStatus::kRemoved) {
      e.address = address_in(row, "dial");
    }
    e.zone = get_member<std::string>(row, "site", "");
    e.instance_type = get_member<std::string>(row, "class", "");
    e.cell = get_member<std::uint32_t>(row, "block", 0);
    const auto born = get_member<Duration>(row, "born_ms", Duration{0}).count();
    // Guards against an overflow when the milliseconds become the module's microseconds.
    if (born < 0 || born > 100'000'000'000'000) {
      throw_json_error("born_ms", "not a time", find_member(row, "born_ms"));
    }
    e.started_at = std::chrono::milliseconds(born);
    pool.entries.push_back(std::move(e));
  }
  return pool;
}

Config read_config(const Json::Value& root) {
  Config c;
  c.name = get_member<std::string>(root, "name", "");
  c.listen = address_in(root, "listen");
  c.discovery = address_in(root, "discovery");
  if (find_member(root, "admin_addr")) {
    c.admin = address_in(root, "admin_addr");
  }
  if (find_member(root, "limits")) {
    const Json::Value& limits = require_object(root, "limits");
    c.max_descriptors = get_member<std::uint32_t>(limits, "sockets", c.max_descriptors);
    c.memory_mb = get_member<std::uint32_t>(limits, "memory_mb", c.memory_mb);
  }
  if (c.memory_mb < kLeastMemory) {
    throw_json_error("limits.memory_mb", "under " + std::to_string(kLeastMemory),
                     find_member(root, "limits"));
  }
  if (c.max_descriptors < kFewestSockets) {
    throw_json_error("limits.sockets", "under " + std::to_string(kFewestSockets),
                     find_member(root, "limits"));
  }
  if (find_member(root, "known")) {
    c.cached_endpoints = read_endpoint_list(require_object(root, "known"));
  }
  c.named_settings = read_settings(require_object(root, "settings"), seed_in(root));
  if (c.named_settings.settings.connect_timeout <= Duration{0}) {
    throw_json_error("connect-timeout", "must be above 0");
  }
  if (c.named_settings.settings.backend_idle_timeout <= Duration{0}) {
    throw_json_error("idle-close", "must be above 0");
  }
  validate(c.named_settings.settings);
  return c;
}

namespace {

using Override =
    std::pair<const char*, const char*>;  // a variable, and the key that it goes before

Config load(std::initializer_list<Override> overrides) {
  const char* path = std::getenv("GW_CONFIG");
  if (!path) {
    throw_json_error("GW_CONFIG", "not set");
  }
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    throw_json_error("GW_CONFIG", std::string("cannot be read: ") + path);
  }
  std::stringstream text;
  text << file.rdbuf();
  const std::string bytes = text.str();
  Json::Value root = parse(bytes.data(), bytes.data() + bytes.size(), "GW_CONFIG");
  if (!root.isObject()) {
    throw_json_error("GW_CONFIG", "not an object");
  }
  for (const auto& [variable, key] : overrides) {
    if (const char* value = std::getenv(variable)) {
      root[key] = value;
    }
  }
  try {
    return read_config(root);
  } catch (const JsonError& found) {
    if (found.offset < 0) {
      throw;
    }
    const auto line = 1 + std::count(bytes.begin(), bytes.begin() + found.offset, '\n');
    throw JsonError(std::string(path) + ":" + std::to_string(line) + ": " + found.what());
  }
}

}  // namespace

Config load_config() {
  Config c = load({{"GW_NAME", "name"},
                   {"GW_LISTEN", "listen"},
                   {"GW_DISCOVERY", "discovery"},
                   {"GW_ADMIN_ADDR", "admin_addr"}});
  if (const char* text = std::getenv("GW_FD")) {
    int fd = -1;
    const char* const end = text + std::char_traits<char>::length(text);
    const auto [stop, error] = std::from_chars(text, end, fd);
    if (error != std::errc{} || stop != end || fd < 0) {
      throw_json_error("GW_FD", std::string("not a descriptor: ") + text);
    }
    c.inherited_listener_fd = fd;
    if (const char* folder = std::getenv("TMPDIR")) {
      c.shared_state_directory = folder;
    }
  }
  return c;
}
Config reload_config() {
  return load({{"GW_NAME", "name"}, {"GW_LISTEN", "listen"}, {"GW_ADMIN_ADDR", "admin_addr"}});
}

}  // namespace beechhill::config
