// Blocking operations on files in which a process stores its state: opening with owner-only access,
// locking, bounded reads and atomic replacement.
//
// Errors: functions return an empty value or a std::error_code of the generic category. The only
// exception thrown is std::bad_alloc.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>

#include "net/socket.h"

namespace beechhill::storage {

/// Returns the calling thread's errno as an error code, for std::system_error and the log.
std::error_code last_error();

/// Opens `path` with the `flags` of open(2). The descriptor is closed on exec, and a newly created
/// file is accessible only to its owner (mode 0600). On failure returns an empty descriptor and
/// sets errno.
net::FileDescriptor open_file(const std::string& path, int flags);

/// Acquires an exclusive lock, which is released when the descriptor is closed or the process ends.
/// Returns false and sets errno if another descriptor holds the lock or the lock cannot be
/// acquired. Does not block.
bool try_lock(const net::FileDescriptor& file);

/// Returns up to `max_bytes` from the start of a file, or nothing if the file cannot be opened. A
/// read error truncates the result; callers detect that because they verify a checksum.
std::optional<std::string> read_file(const std::string& path, std::size_t max_bytes);

/// The kind of crash that a file's content must survive.
enum class Durability {
  kProcessCrash,
  kMachineCrash,
};

/// Writes all of `text` to an open file and flushes the file to the disk.
std::error_code write_durably(const net::FileDescriptor& file, std::string_view text);

/// Replaces the file at `path` with `text` by writing "<path>.new" and renaming it. After a crash
/// of the kind given by `durability`, either the old or the new content is complete. With
/// Durability::kMachineCrash the file and its directory are flushed to the disk.
std::error_code replace_file(const std::string& path, std::string_view text, Durability durability);

}  // namespace beechhill::storage
