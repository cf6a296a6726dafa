#include "net/file_descriptor.h"

#include <unistd.h>

namespace beechhill::net {

Fd::~Fd() {
  if (fd_ >= 0) {
    ::close(fd_);
  }
}

}  // namespace beechhill::net
