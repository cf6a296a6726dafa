/// Scenario files as TOML tables: inheritance between files, and overrides of single values.
#pragma once

#include <toml++/toml.h>

#include <string>

namespace beechhill::emulator {

/// Loads a scenario file. Its key `extends` names a base file, relative to the file's own
/// directory. Tables are merged with those of the base file, and other values replace them. At most
/// four levels of inheritance are allowed. Throws config::TomlError.
toml::table load_scenario(const std::string& path);

/// Sets the value at a path such as "load.utilisation", "tier.0.nodes" or "fault.1.part". Missing
/// tables are created. Throws std::invalid_argument if the path has an empty part, an array index
/// that does not exist, or parts below a plain value.
void override_key(toml::table& root, const std::string& path, const toml::node& value);

/// Applies an override of the form "load.utilisation=1.2". The value is written as in TOML; a
/// string may omit its quotes. Throws config::TomlError if there is no "=", and the errors of
/// override_key().
void override_from(toml::table& root, const std::string& text);

}  // namespace beechhill::emulator
