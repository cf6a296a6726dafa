// A link between two ends on loopback that can be cut: bytes are held while it is, and a reset ends
// what goes over it.
#pragma once

#include <memory>
#include <set>
#include <string>

#include "net/socket.h"
#include "runtime/scheduler.h"

namespace beechhill::testbed {

class TcpFaultProxy {
 public:
  // Listens at an address of its own for what goes to `to`. It must outlive its scheduler's run.
  TcpFaultProxy(runtime::Scheduler& scheduler, const sockaddr_in& to);
  std::string address() const { return net::to_string(listener_.address()); }
  // Each way by itself: `there` from whoever connected to the far end, `back` from it.
  void cut(bool there, bool back) { there_ = there, back_ = back; }
  void delay(runtime::Clock::duration by) { delay_ = by; }  // of what is read from now on, each way
  void reset();                                             // ends what goes over it now

 private:
  struct Link;
  runtime::Task<> accept();
  runtime::Task<> join(net::Fd taken);
  runtime::Task<> pump(std::shared_ptr<Link> link, bool there);

  runtime::Scheduler& scheduler_;
  sockaddr_in to_;
  net::Listener listener_;
  std::set<std::shared_ptr<Link>> links_;
  bool there_ = false, back_ = false;
  runtime::Clock::duration delay_{0};
};

}  // namespace beechhill::testbed
