// This process among the other proxies: sole owner of the socket for talk, the gate and the state
// machine of membership. Others give it what is to be said, and get what has come for them, by
// mailboxes.
#pragma once

#include <functional>
#include <string>
#include <variant>

#include "membership/gate.h"
#include "membership/swim.h"
#include "net/datagram.h"
#include "runtime/mailbox.h"

namespace beechhill::membership {

struct Say {  // to a member, as well as datagrams go
  std::string to;
  Channel channel = Channel::kSettled;
  std::string whole;
};
struct NewKeys {
  Keys keys;
};
using TalkMessage = std::variant<Say, NewKeys>;
using TalkBox = runtime::Mailbox<TalkMessage>;

struct Heard {
  std::string from;
  Channel channel = Channel::kSettled;
  std::string whole;
};
struct Woke {};  // the process did not run for a while; told before anything that came meanwhile
// Where they go; false where there is no room, and then they are as good as lost on their way.
struct Listener {
  std::function<bool(Heard)> heard;
  std::function<bool(Woke)> woke;
};

class TalkActor {
 public:
  // Listens on `listen` and is reached by the others at `advertise`. `listener`: where what is not
  // membership's goes. Throws std::system_error where it cannot listen.
  TalkActor(runtime::Scheduler& scheduler, Settings settings, const sockaddr_in& listen,
            const std::string& advertise, const std::string& name, Keys keys,
            Listener listener = {});

  TalkBox& inbox() { return inbox_; }
  runtime::Task<> run();
  void say_good_bye();  // at the process's end, at once
  const Swim& swim() const { return swim_; }
  std::uint64_t life() const { return life_; }
  std::uint64_t refused() const { return refused_; }  // datagrams

 private:
  bool take_datagrams();  // whether more may be there
  void take_orders();
  void send(std::vector<Outgoing>& out);
  void send_to(const std::string& address, Channel channel, std::string payload);
  void tell_changes();

  runtime::Scheduler& scheduler_;
  net::DatagramSocket socket_;
  const std::uint64_t life_;
  Gate gate_;
  Swim swim_;
  const Duration gap_;
  Assembler assembler_;
  const Listener listener_;
  TalkBox inbox_;
  Time looked_at_;
  std::uint64_t next_whole_ = 1, refused_ = 0;
};

}  // namespace beechhill::membership
