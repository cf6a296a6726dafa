/// Provides temporary directories that are removed automatically.
#pragma once

#include <cstdlib>
#include <filesystem>
#include <stdexcept>
#include <string>
#include <system_error>

namespace beechhill::experiments {

/// Owns a new directory below the system's directory for temporary files. The destructor removes
/// the directory with its content.
class TempDirectory {
 public:
  /// Throws std::runtime_error if the directory cannot be created.
  TempDirectory() {
    std::string path = (std::filesystem::temp_directory_path() / "beechhill-XXXXXX").string();
    if (!::mkdtemp(path.data())) {
      throw std::runtime_error("cannot create a temporary directory in " +
                               std::filesystem::temp_directory_path().string());
    }
    path_ = path;
  }
  ~TempDirectory() {
    std::error_code ignored;
    std::filesystem::remove_all(path_, ignored);
  }
  TempDirectory(const TempDirectory&) = delete;
  TempDirectory& operator=(const TempDirectory&) = delete;

  /// Returns the path of the file `name` in the directory.
  std::string file(const std::string& name) const { return (path_ / name).string(); }

 private:
  std::filesystem::path path_;
};

}  // namespace beechhill::experiments
