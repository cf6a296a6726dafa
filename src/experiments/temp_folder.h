// A private folder under the system's temporary one, gone with all that is in it when this ends.
#pragma once

#include <cstdlib>
#include <filesystem>
#include <stdexcept>
#include <string>

namespace beechhill::experiments {

class TempFolder {
 public:
  TempFolder() {
    std::string path = (std::filesystem::temp_directory_path() / "beechhill-XXXXXX").string();
    if (!::mkdtemp(path.data())) {
      throw std::runtime_error("no temporary folder can be made");
    }
    path_ = path;
  }
  ~TempFolder() {
    std::error_code ignored;
    std::filesystem::remove_all(path_, ignored);
  }
  TempFolder(const TempFolder&) = delete;
  TempFolder& operator=(const TempFolder&) = delete;
  std::string file(const std::string& name) const { return (path_ / name).string(); }

 private:
  std::filesystem::path path_;
};

}  // namespace beechhill::experiments
