#include "testbed/tcp_fault_proxy.h"

namespace beechhill::testbed {

using namespace std::chrono_literals;
using net::Io;
using runtime::Clock;
using runtime::Task;
using runtime::Wait;

namespace {

constexpr auto kFar = 1h;
constexpr auto kLookAgain = 5ms;  // whether a cut is over

}  // namespace

struct TcpFaultProxy::Link {
  std::unique_ptr<net::Stream> near, far;
  runtime::Notifier near_over, far_over;  // wake the pump that reads there
  bool over = false;
  void end() {
    over = true;
    near_over.notify();
    far_over.notify();
  }
};

TcpFaultProxy::TcpFaultProxy(runtime::Scheduler& scheduler, const sockaddr_in& to)
    : scheduler_(scheduler), to_(to), listener_(scheduler, *net::parse_address("127.0.0.1:0")) {
  scheduler_.spawn(accept());
}

void TcpFaultProxy::reset() {
  for (const auto& link : links_) {
    link->end();
  }
}

Task<> TcpFaultProxy::accept() {
  for (;;) {
    net::Fd taken;
    sockaddr_in from{};
    const Io io = co_await listener_.accept(Clock::now() + kFar, taken, from);
    if (io == Io::kOk) {
      scheduler_.spawn(join(std::move(taken)));
      continue;
    }
    Wait wait(scheduler_);
    wait.until(Clock::now() + kLookAgain);
    co_await wait;
  }
}

Task<> TcpFaultProxy::join(net::Fd taken) {
  const auto link = std::make_shared<Link>();
  link->near = std::make_unique<net::Stream>(scheduler_, std::move(taken));
  while (there_) {  // the far end does not hear of it before the cut is over
    Wait wait(scheduler_);
    wait.until(Clock::now() + kLookAgain);
    co_await wait;
  }
  std::unique_ptr<net::Stream> far =
      co_await net::Stream::connect(scheduler_, to_, Clock::now() + kFar);
  if (!far) {
    co_return;  // as the far end has it: nobody there
  }
  link->far = std::move(far);
  links_.insert(link);
  scheduler_.spawn(pump(link, false));
  co_await pump(link, true);
}

Task<> TcpFaultProxy::pump(std::shared_ptr<Link> link, bool there) {
  net::Stream& from = there ? *link->near : *link->far;
  net::Stream& to = there ? *link->far : *link->near;
  runtime::Notifier& over = there ? link->near_over : link->far_over;
  const bool& cut = there ? there_ : back_;
  std::string bytes;
  while (!link->over) {
    const Io io = co_await from.read(bytes, Clock::now() + kFar, &over);
    if (io != Io::kOk) {
      break;
    }
    const auto due = Clock::now() + delay_;
    while (!link->over && (cut || Clock::now() < due)) {
      Wait wait(scheduler_);
      wait.until(cut ? Clock::now() + kLookAgain : due);
      co_await wait;
    }
    if (link->over) {
      break;
    }
    const Io written = co_await to.write(bytes, Clock::now() + kFar);
    if (written != Io::kOk) {
      break;
    }
    bytes.clear();
  }
  // An end passes too, but not over a cut.
  while (!link->over && cut) {
    Wait wait(scheduler_);
    wait.until(Clock::now() + kLookAgain);
    co_await wait;
  }
  link->end();
  links_.erase(link);
}

}  // namespace beechhill::testbed
