// The proxy: wires the actors together and reads its configuration again on SIGHUP and
// ends in good order on SIGTERM.
#include <sys/signalfd.h>
#include <unistd.h>

#include <csignal>
#include <cstdio>
#include <stdexcept>
#include <utility>

#include "proxy/decision_actor.h"
#include "proxy/front_socket.h"
#include "proxy/peer_actor.h"
#include "proxy/pool_config_actor.h"

namespace {

using namespace beechhill;

constexpr std::size_t kOtherDescriptors = 32;  // standard streams, epoll, signals, listener, discovery
constexpr std::size_t kFrontPercent = 55;

runtime::Task<> end_in_order(runtime::Scheduler& scheduler, proxy::FrontDoor& door) {
  proxy::log_line("ending: no longer ready, still answering");
  co_await door.drain();
  proxy::log_line("ended: all is answered");
  scheduler.stop();
}

// Of a new configuration only discovery's address is taken over; a faulty one changes nothing.
void reload(proxy::WatchBox& watch) {
  try {
    const sockaddr_in discovery = config::reload_config().discovery;
    if (!watch.post(proxy::MoveWatch{discovery})) return proxy::log_line("a full mailbox lost a reload");
    proxy::log_line("configuration read again: discovery at " + net::to_string(discovery));
  } catch (const std::exception& error) {
    proxy::log_line(std::string("configuration kept, the new one is faulty: ") + error.what());
  }
}

runtime::Task<> heed_signals(runtime::Scheduler& scheduler, net::Fd signals, proxy::FrontDoor& door,
                             proxy::WatchBox& watch) {
  runtime::IoSource io(scheduler, signals.get());
  bool ending = false;
  for (;;) {
    signalfd_siginfo info{};
    if (::read(signals.get(), &info, sizeof info) < 0) {
      runtime::Wait wait(scheduler);
      wait.readable(io);
      co_await wait;
    } else if (info.ssi_signo == SIGHUP) {
      reload(watch);
    } else if (!std::exchange(ending, true)) {
      scheduler.spawn(end_in_order(scheduler, door));
    }
  }
}

net::Fd block_signals() {
  sigset_t mask;
  sigemptyset(&mask);
  for (const int number : {SIGTERM, SIGINT, SIGHUP}) sigaddset(&mask, number);
  sigprocmask(SIG_BLOCK, &mask, nullptr);
  net::Fd signals(::signalfd(-1, &mask, SFD_NONBLOCK | SFD_CLOEXEC));
  if (!signals) throw std::runtime_error("signalfd failed");
  return signals;
}

void serve() {
  net::Fd signals = block_signals();  // first: one that comes while starting waits its turn
  const config::Config config = config::load_config();

  runtime::Scheduler scheduler;
  const std::size_t usable = config.sockets - kOtherDescriptors;
  const std::size_t front = usable * kFrontPercent / 100;
  proxy::PeerPool pool(usable - front);
  const auto make_peer = [&](proxy::DecisionBox& inbox, ServerId server, const sockaddr_in& address) {
    return std::make_unique<proxy::PeerActor>(scheduler, inbox, pool, config.named.settings, server, address);
  };
  proxy::PoolConfigActor pool_config(scheduler, config);
  proxy::DecisionActor decisions(scheduler, config, make_peer, pool_config.inbox());
  proxy::FrontDoor door(scheduler, decisions.inbox(), config, front, [&] { return decisions.has_list(); });
  scheduler.spawn(decisions.run());
  scheduler.spawn(pool_config.run(decisions.inbox()));
  scheduler.spawn(door.run());
  scheduler.spawn(heed_signals(scheduler, std::move(signals), door, pool_config.inbox()));
  proxy::log_line("serving at " + net::to_string(door.address()) + " as " + config.name);
  scheduler.run();
}

}  // namespace

int main() {
  std::setvbuf(stdout, nullptr, _IOLBF, 0);
  std::signal(SIGPIPE, SIG_IGN);
  try {
    serve();
  } catch (const std::exception& error) {
    std::fprintf(stderr, "beechhill: %s\n", error.what());
    return 1;
  }
  return 0;
}
