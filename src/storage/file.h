// Files in which a process keeps state: opened for the owner alone, locked, read up to a bound and
// replaced atomically. Every call blocks.
//
// Errors: a function returns an empty value or a std::error_code of the generic category; none
// throws but std::bad_alloc.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>

#include "net/socket.h"

namespace beechhill::storage {

/// The calling thread's errno as an error code, for std::system_error and the log.
std::error_code last_error();

/// Opens `path` with open(2)'s `flags`. The descriptor is closed on exec, and a file that this
/// creates belongs to its owner alone (mode 0600). Returns an empty descriptor, with errno set, on
/// failure.
net::FileDescriptor open_file(const std::string& path, int flags);

/// Takes an exclusive lock that lasts until the descriptor is closed, by the process's death at the
/// latest. Returns false, with errno set, where another descriptor holds it; never waits.
bool try_lock(const net::FileDescriptor& file);

/// Returns the first `max_bytes` of a file, or nothing where it cannot be opened. A read error ends
/// the text early: callers verify a checksum anyway.
std::optional<std::string> read_file(const std::string& path, std::size_t max_bytes);

/// Whether a file must survive a crash of the machine, or of the process only.
enum class Durability {
  kProcessCrash,
  kMachineCrash,
};

/// Writes all of `text` to an open file and flushes it to the disk.
std::error_code write_durably(const net::FileDescriptor& file, std::string_view text);

/// Replaces the file at `path` by `text`: writes "<path>.new" beside it and renames that. After a
/// crash that `durability` covers either the old or the new content is there, complete. For
/// Durability::kMachineCrash the file and its directory are flushed to the disk.
std::error_code replace_file(const std::string& path, std::string_view text, Durability durability);

}  // namespace beechhill::storage
