#include "net/file_descriptor.h"

#include <unistd.h>

namespace beechhill::net {

FileDescriptor::~FileDescriptor() {
  if (fd_ >= 0) {
    ::close(fd_);
  }
}

}  // namespace beechhill::net
