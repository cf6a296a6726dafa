// A file of fixed size that is mapped into memory, so that processes on one machine share its
// content.
#pragma once

#include <cstddef>
#include <string>

namespace beechhill::storage {

/// A mapping of a whole file for reading and writing. The mapping stays valid if the file is
/// removed.
class SharedMemoryFile {
 public:
  /// Opens the file at `path`, or creates it with zero bytes, and maps `size` bytes of it. Its
  /// space on the disk is allocated, so that no later access can fail for want of space. Throws
  /// std::system_error.
  SharedMemoryFile(const std::string& path, std::size_t size);
  ~SharedMemoryFile();
  SharedMemoryFile(const SharedMemoryFile&) = delete;
  SharedMemoryFile& operator=(const SharedMemoryFile&) = delete;

  /// The first byte, aligned to a page.
  void* data() const { return data_; }

 private:
  void* data_;
  std::size_t size_;
};

}  // namespace beechhill::storage
