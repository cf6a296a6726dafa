/// A private directory for temporary files.
#pragma once

#include <cstdlib>
#include <filesystem>
#include <stdexcept>
#include <string>
#include <system_error>

namespace beechhill::experiments {

/// A directory under the system's temporary one. Removed, with all that is in it, when this is
/// destroyed.
class TempDirectory {
 public:
  /// Throws std::runtime_error where it cannot be made.
  TempDirectory() {
    std::string path = (std::filesystem::temp_directory_path() / "beechhill-XXXXXX").string();
    if (!::mkdtemp(path.data())) {
      throw std::runtime_error("no temporary folder can be made");
    }
    path_ = path;
  }
  ~TempDirectory() {
    std::error_code ignored;
    std::filesystem::remove_all(path_, ignored);
  }
  TempDirectory(const TempDirectory&) = delete;
  TempDirectory& operator=(const TempDirectory&) = delete;

  /// The path of a file in it.
  std::string file(const std::string& name) const { return (path_ / name).string(); }

 private:
  std::filesystem::path path_;
};

}  // namespace beechhill::experiments
