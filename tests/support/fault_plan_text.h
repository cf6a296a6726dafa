// Writes the faults of a plan as TOML for the testbed's tests.
#pragma once

#include <string>

namespace beechhill::test {

/// Returns a `[[fault]]` table. `at` and `length` are the values of its keys `at` and `for`, and
/// `extra_lines` holds further lines.
inline std::string fault(const std::string& kind, const std::string& at, const std::string& length,
                         const std::string& extra_lines) {
  return "[[fault]]\nkind = \"" + kind + "\"\nat = \"" + at + "\"\nfor = \"" + length + "\"\n" +
         extra_lines + "\n";
}

}  // namespace beechhill::test
