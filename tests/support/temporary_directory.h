// A directory of one test, removed with it.
#pragma once

#include <stdlib.h>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>

#include "support/require.h"

namespace beechhill::test {

struct TemporaryDirectory {  // of the test's own, gone with it
  TemporaryDirectory() {
    char name[] = "/tmp/proxy_folder_XXXXXX";
    require(::mkdtemp(name));
    path = name;
  }
  ~TemporaryDirectory() { std::filesystem::remove_all(path); }
  TemporaryDirectory(const TemporaryDirectory&) = delete;
  TemporaryDirectory& operator=(const TemporaryDirectory&) = delete;
  std::string file(const std::string& name) const { return path + "/" + name; }
  std::string path;
};

inline std::string read_file(const std::string& file) {
  std::ifstream in(file, std::ios::binary);
  return {std::istreambuf_iterator<char>(in), {}};
}

}  // namespace beechhill::test
