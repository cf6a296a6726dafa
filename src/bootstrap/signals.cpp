#include "bootstrap/signals.h"

#include <sys/signalfd.h>

#include <csignal>
#include <stdexcept>

namespace beechhill::bootstrap {

net::FileDescriptor block_signals() {
  sigset_t mask;
  sigemptyset(&mask);
  for (const int number : {SIGTERM, SIGINT, SIGHUP}) {
    sigaddset(&mask, number);
  }
  sigprocmask(SIG_BLOCK, &mask, nullptr);
  net::FileDescriptor signals(::signalfd(-1, &mask, SFD_NONBLOCK | SFD_CLOEXEC));
  if (!signals) {
    throw std::runtime_error("signalfd() for SIGTERM, SIGINT and SIGHUP failed");
  }
  return signals;
}

}  // namespace beechhill::bootstrap
