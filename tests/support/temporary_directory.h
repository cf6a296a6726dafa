// Temporary directories and file access for tests.
#pragma once

#include <stdlib.h>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>

#include "support/require.h"

namespace beechhill::test {

// Creates a directory and removes it, with its content, on destruction.
struct TemporaryDirectory {
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

// Returns the file's content, or an empty string if the file cannot be read.
inline std::string read_file(const std::string& file) {
  std::ifstream in(file, std::ios::binary);
  return {std::istreambuf_iterator<char>(in), {}};
}

}  // namespace beechhill::test
