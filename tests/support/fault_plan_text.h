// How the rig's tests write a fault of their plans.
#pragma once

#include <string>

namespace beechhill::test {

inline std::string fault(const std::string& kind, const std::string& at, const std::string& length,
                         const std::string& more) {
  return "[[fault]]\nkind = \"" + kind + "\"\nat = \"" + at + "\"\nfor = \"" + length + "\"\n" +
         more + "\n";
}

}  // namespace beechhill::test
