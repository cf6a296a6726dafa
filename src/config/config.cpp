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
  const auto text = get<std::string>(object, key);
  const auto address = net::parse_address(text);
  if (!address) {
    fault(key, "not an address and port: " + text, find(object, key));
  }
  return *address;
}

// "8c1f30d27a5be964": hexadecimal where it is text.
std::uint64_t seed_in(const Json::Value& root) {
  const Json::Value& value = need(root, "seed");
  if (!value.isString()) {
    return as<std::uint64_t>(value, "seed");
  }
  const std::string text = value.asString();
  if (text.empty() || text.size() > 16 ||
      text.find_first_not_of("0123456789abcdefABCDEF") != std::string::npos) {
    fault("seed", "not up to 16 hexadecimal digits", &value);
  }
  return std::stoull(text, nullptr, 16);
}

ServerState state_in(const Json::Value& row) {
  const auto word = get<std::string>(row, "health");
  if (word == "in_service") {
    return ServerState::kUp;
  }
  if (word == "terminating") {
    return ServerState::kDraining;
  }
  if (word == "terminated") {
    return ServerState::kRemoved;
  }
  fault("health", "not one of in_service, terminating, terminated", find(row, "health"));
}

}  // namespace

ServerList read_server_list(const Json::Value& list) {
  ServerList pool;
  pool.version = get<std::uint64_t>(list, "seq");
  pool.whole = get<bool>(list, "whole");
  for (const Json::Value& row : array_in(list, "hosts")) {
    ServerListEntry e;
    e.host = get<std::string>(row, "host");
    e.state = state_in(row);
    if (e.state != ServerState::kRemoved) {
      e.address = address_in(row, "dial");
    }
    e.zone = get<std::string>(row, "site", "");
    e.kind = get<std::string>(row, "class", "");
    e.cell = get<std::uint32_t>(row, "block", 0);
    const auto born = get<Duration>(row, "born_ms", Duration{0}).count();
    // Guards against an overflow when the milliseconds become the module's microseconds.
    if (born < 0 || born > 100'000'000'000'000) {
      fault("born_ms", "not a time", find(row, "born_ms"));
    }
    e.born = std::chrono::milliseconds(born);
    pool.entries.push_back(std::move(e));
  }
  return pool;
}

Config read_config(const Json::Value& root) {
  Config c;
  c.name = get<std::string>(root, "name", "");
  c.listen = address_in(root, "listen");
  c.discovery = address_in(root, "discovery");
  if (find(root, "admin_addr")) {
    c.admin = address_in(root, "admin_addr");
  }
  if (find(root, "limits")) {
    const Json::Value& limits = object_in(root, "limits");
    c.sockets = get<std::uint32_t>(limits, "sockets", c.sockets);
    c.memory_mb = get<std::uint32_t>(limits, "memory_mb", c.memory_mb);
  }
  if (c.memory_mb < kLeastMemory) {
    fault("limits.memory_mb", "under " + std::to_string(kLeastMemory), find(root, "limits"));
  }
  if (c.sockets < kFewestSockets) {
    fault("limits.sockets", "under " + std::to_string(kFewestSockets), find(root, "limits"));
  }
  if (find(root, "known")) {
    c.known = read_server_list(object_in(root, "known"));
  }
  c.named = read_settings(object_in(root, "settings"), seed_in(root));
  if (c.named.settings.connect_timeout <= Duration{0}) {
    fault("connect-timeout", "must be above 0");
  }
  if (c.named.settings.idle_close <= Duration{0}) {
    fault("idle-close", "must be above 0");
  }
  validate(c.named.settings);
  return c;
}

namespace {

using Override =
    std::pair<const char*, const char*>;  // a variable, and the key that it goes before

Config load(std::initializer_list<Override> overrides) {
  const char* path = std::getenv("GW_CONFIG");
  if (!path) {
    fault("GW_CONFIG", "not set");
  }
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    fault("GW_CONFIG", std::string("cannot be read: ") + path);
  }
  std::stringstream text;
  text << file.rdbuf();
  const std::string bytes = text.str();
  Json::Value root = parse(bytes.data(), bytes.data() + bytes.size(), "GW_CONFIG");
  if (!root.isObject()) {
    fault("GW_CONFIG", "not an object");
  }
  for (const auto& [variable, key] : overrides) {
    if (const char* value = std::getenv(variable)) {
      root[key] = value;
    }
  }
  try {
    return read_config(root);
  } catch (const JsonFault& found) {
    if (found.offset < 0) {
      throw;
    }
    const auto line = 1 + std::count(bytes.begin(), bytes.begin() + found.offset, '\n');
    throw JsonFault(std::string(path) + ":" + std::to_string(line) + ": " + found.what());
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
      fault("GW_FD", std::string("not a descriptor: ") + text);
    }
    c.inherited = fd;
    if (const char* folder = std::getenv("TMPDIR")) {
      c.shared_folder = folder;
    }
  }
  return c;
}
Config reload_config() {
  return load({{"GW_NAME", "name"}, {"GW_LISTEN", "listen"}, {"GW_ADMIN_ADDR", "admin_addr"}});
}

}  // namespace beechhill::config
