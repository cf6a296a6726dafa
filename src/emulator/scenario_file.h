/// Scenario files as TOML tables: files that extend others, and single values put in place.
#pragma once

#include <toml++/toml.h>

#include <string>

namespace beechhill::emulator {

/// Loads a scenario file. `extends = "other.toml"`, relative to it, gives what the file does not
/// say itself: tables are merged, all else is replaced; four files deep at the most. Throws
/// config::TomlError.
toml::table load_scenario(const std::string& path);

/// Puts `value` at a path such as "load.utilisation", "tier.0.nodes" or "fault.1.part". Throws
/// std::invalid_argument where the path leads through something that is not there.
void override_key(toml::table& root, const std::string& path, const toml::node& value);

/// The same from "load.utilisation=1.2": the value as TOML has it, or a text without its quotes.
/// Throws config::TomlError where it is not of that form.
void override_from(toml::table& root, const std::string& text);

}  // namespace beechhill::emulator
