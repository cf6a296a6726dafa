// Shared by the implementations of Stream and Listener.
#pragma once

#include <sys/socket.h>

#include <cerrno>

#include "net/file_descriptor.h"

namespace beechhill::net {

/// Whether errno says that a non-blocking call has to wait.
inline bool would_block() {
  return errno == EAGAIN || errno == EWOULDBLOCK;
}

/// A non-blocking IPv4 TCP socket; empty where none can be created.
inline FileDescriptor new_tcp_socket() {
  return FileDescriptor(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
}

}  // namespace beechhill::net
