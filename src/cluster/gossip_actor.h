// This process among the other proxies: sole owner of the socket for talk, the gate and the state
// machine of membership. Others give it what is to be said, and get what has come for them, by
// mailboxes.
#pragma once

#include <functional>
#include <string>
#include <variant>

#include "membership/datagram_authenticator.h"
#include "membership/swim_node.h"
#include "net/datagram.h"
#include "runtime/mailbox.h"

namespace beechhill::membership {

struct SendPayload {  // to a member, as well as datagrams go
  std::string to;
  Channel channel = Channel::kCoordination;
  std::string payload;
};
struct ReplaceKeys {
  MacKeys keys;
};
using GossipMessage = std::variant<SendPayload, ReplaceKeys>;
using GossipMailbox = runtime::Mailbox<GossipMessage>;

struct PayloadReceived {
  std::string from;
  Channel channel = Channel::kCoordination;
  std::string payload;
};
struct ProcessResumed {
};  // the process did not run for a while; told before anything that came meanwhile
// Where they go; false where there is no room, and then they are as good as lost on their way.
struct GossipHandlers {
  std::function<bool(PayloadReceived)> on_payload;
  std::function<bool(ProcessResumed)> on_resume;
};

class GossipActor {
 public:
  // Listens on `listen` and is reached by the others at `advertise`. `listener`: where what is not
  // membership's goes. Throws std::system_error where it cannot listen.
  GossipActor(runtime::Scheduler& scheduler, SwimSettings settings, const sockaddr_in& listen,
              const std::string& advertise, const std::string& name, MacKeys keys,
              GossipHandlers listener = {});

  GossipMailbox& inbox() { return inbox_; }
  runtime::Task<> run();
  void leave();  // at the process's end, at once
  const SwimNode& membership() const { return swim_; }
  std::uint64_t boot_id() const { return life_; }
  std::uint64_t rejected_datagrams() const { return refused_; }  // datagrams

 private:
  bool take_datagrams();  // whether more may be there
  void take_orders();
  void send(std::vector<Outgoing>& out);
  void send_to(const std::string& address, Channel channel, std::string payload);
  void tell_changes();

  runtime::Scheduler& scheduler_;
  net::DatagramSocket socket_;
  const std::uint64_t life_;
  DatagramAuthenticator gate_;
  SwimNode swim_;
  const Duration gap_;
  PayloadAssembler assembler_;
  const GossipHandlers listener_;
  GossipMailbox inbox_;
  Time looked_at_;
  std::uint64_t next_whole_ = 1, refused_ = 0;
};

}  // namespace beechhill::membership
