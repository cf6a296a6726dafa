#include "hot_restart/process_liveness_lock.h"

#include <fcntl.h>
#include <unistd.h>

#include <system_error>

#include "storage/file.h"

namespace beechhill::hot_restart {

ProcessLivenessLock::ProcessLivenessLock(const std::string& path)
    : file_(storage::open_file(path, O_RDWR | O_CREAT | O_TRUNC)) {
  if (!file_ || !storage::try_lock(file_)) {
    throw std::system_error(storage::last_error(), "cannot open or lock " + path);
  }
}

bool ProcessLivenessLock::publish(Status status) {
  return ::pwrite(file_.get(), &status, sizeof status, 0) == sizeof status;
}

std::optional<ProcessLivenessLock::Status> ProcessLivenessLock::read_if_alive(
    const std::string& path) {
  const net::FileDescriptor file = storage::open_file(path, O_RDWR);
  if (!file || storage::try_lock(file)) {
    return std::nullopt;
  }
  Status status;
  if (::pread(file.get(), &status, sizeof status, 0) != sizeof status) {
    return Status{};
  }
  return status;
}

}  // namespace beechhill::hot_restart
