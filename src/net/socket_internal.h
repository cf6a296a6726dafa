// Helpers shared by the implementations of Stream and Listener.
#pragma once

#include <sys/socket.h>

#include <cerrno>

#include "net/file_descriptor.h"

namespace beechhill::net {

/// Returns whether errno reports that a non-blocking call would have to wait.
inline bool would_block() {
  return errno == EAGAIN || errno == EWOULDBLOCK;
}

/// Creates a non-blocking IPv4 TCP socket. The result is empty on failure, with errno set.
inline FileDescriptor new_tcp_socket() {
  return FileDescriptor(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
}

}  // namespace beechhill::net
