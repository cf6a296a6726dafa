#include "proxy/serve.h"

#include <sys/signalfd.h>
#include <unistd.h>

#include <csignal>
#include <stdexcept>
#include <utility>

#include "admin/admin_door.h"
#include "config/operator_file.h"
#include "log/log.h"
#include "proxy/decision_actor.h"
#include "proxy/front_socket.h"
#include "proxy/log.h"
#include "proxy/peer_actor.h"
#include "proxy/pool_config_actor.h"

namespace beechhill::proxy {
namespace {

constexpr std::size_t kOtherDescriptors = 24;  // standard streams, epoll, signals, listeners, discovery
constexpr std::size_t kFrontPercent = 55;

runtime::Task<> tend(runtime::Scheduler& scheduler, FrontDoor& door) {
  co_await door.tend();
  log::info("ended");
  scheduler.stop();
}

// Of a new configuration only discovery's address is taken over, of a new operator file the log's level; a faulty
// one changes nothing.
void reload(WatchBox& watch, const std::string& operator_file) {
  try {
    const sockaddr_in discovery = config::reload_config().discovery;
    const config::OperatorSettings settings = config::load_operator(operator_file);
    if (!watch.post(MoveWatch{discovery})) return log_lost("reload");
    log::set_level(settings.log.level);
    const std::string address = net::to_string(discovery);
    log::info("configuration_read", {{"discovery", std::string_view(address)}});
  } catch (const std::exception& error) {
    log_fault("configuration_kept", error);
  }
}

runtime::Task<> heed_signals(runtime::Scheduler& scheduler, net::Fd signals, FrontDoor& door,
                             WatchBox& watch, const std::string& operator_file) {
  runtime::IoSource io(scheduler, signals.get());
  bool ending = false;
  for (;;) {
    signalfd_siginfo info{};
    if (::read(signals.get(), &info, sizeof info) < 0) {
      runtime::Wait wait(scheduler);
      wait.readable(io);
      co_await wait;
    } else if (info.ssi_signo == SIGHUP) {
      reload(watch, operator_file);
    } else if (!std::exchange(ending, true)) {
      log::info("ending");
      if (!door.inbox().post({DoorWord::kEnd, nullptr})) ending = false, log_lost("end");
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

}  // namespace

void serve(const std::string& operator_file) {
  net::Fd signals = block_signals();  // first: one that comes while starting waits its turn
  const config::Config config = config::load_config();
  const config::OperatorSettings settings = config::load_operator(operator_file);
  log::start(settings.log);

  runtime::Scheduler scheduler;
  const std::size_t usable = config.sockets - kOtherDescriptors - admin::kMostCallers;
  const std::size_t front = usable * kFrontPercent / 100;
  Telemetry telemetry(config.named.classes.size());
  PeerPool pool(usable - front, telemetry);
  const auto make_peer = [&](DecisionBox& inbox, ServerId server, const sockaddr_in& address) {
    return std::make_unique<PeerActor>(scheduler, inbox, pool, config.named.settings, server, address);
  };
  PoolConfigActor pool_config(scheduler, config);
  DecisionActor decisions(scheduler, config, make_peer, pool_config.inbox(), settings.subset);
  FrontDoor door(scheduler, decisions.inbox(), config, telemetry, front, [&] { return decisions.has_list(); });
  scheduler.spawn(decisions.run());
  scheduler.spawn(pool_config.run(decisions.inbox()));
  scheduler.spawn(door.run());
  scheduler.spawn(tend(scheduler, door));
  std::optional<admin::AdminDoor> operators;
  if (config.admin) {
    operators.emplace(scheduler, *config.admin, decisions.inbox(), door.inbox(), telemetry, config.named.classes,
                      [&] { return door.serving(); });
    scheduler.spawn(operators->run());
  }
  scheduler.spawn(heed_signals(scheduler, std::move(signals), door, pool_config.inbox(), operator_file));
  const std::string address = net::to_string(door.address());
  const std::string admin = operators ? net::to_string(operators->address()) : "none";
  log::info("serving", {{"address", std::string_view(address)},
                        {"name", std::string_view(config.name)},
                        {"admin", std::string_view(admin)}});
  scheduler.run();
}

}  // namespace beechhill::proxy
