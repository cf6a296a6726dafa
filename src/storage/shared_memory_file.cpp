#include "storage/shared_memory_file.h"

#include <fcntl.h>
#include <sys/mman.h>

#include <system_error>

#include "storage/file.h"

namespace beechhill::storage {

SharedMemoryFile::SharedMemoryFile(const std::string& path, std::size_t size) : size_(size) {
  const net::FileDescriptor file = open_file(path, O_RDWR | O_CREAT);
  if (!file) {
    throw std::system_error(last_error(), "cannot open " + path);
  }
  const int error = ::posix_fallocate(file.get(), 0, static_cast<off_t>(size));
  if (error != 0) {
    throw std::system_error(error, std::generic_category(), "cannot allocate " + path);
  }
  data_ = ::mmap(nullptr, size, PROT_READ | PROT_WRITE, MAP_SHARED, file.get(), 0);
  if (data_ == MAP_FAILED) {
    throw std::system_error(last_error(), "cannot map " + path);
  }
}

SharedMemoryFile::~SharedMemoryFile() {
  ::munmap(data_, size_);
}

}  // namespace beechhill::storage
