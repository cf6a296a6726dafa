// The clients' side: the listener, and a client connection for each connection that it accepts.
#pragma once

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <unordered_set>

#include "config/interner.h"
#include "http/message.h"
#include "http/parser.h"
#include "net/socket.h"
#include "proxy/connection_log.h"
#include "proxy/descriptor_budget.h"
#include "proxy/listener_lifecycle.h"
#include "proxy/messages.h"
#include "proxy/telemetry.h"

namespace beechhill::proxy {

class ClientConnection;

// The ids of requests that are open, or were a moment ago.
class OpenRequestIds {
 public:
  // False where that id is taken. It is kept until then: what was sent for it is over by its
  // deadline.
  bool take(const std::string& id, Time now, Time until);

 private:
  std::unordered_set<std::string> ids_;
  std::multimap<Time, std::string> by_time_;
};

class ClientListener {
 public:
  ClientListener(runtime::Scheduler& scheduler, DecisionMailbox& decisions,
                 const config::Config& config, Telemetry& telemetry, BodyBudget& bodies,
                 std::size_t descriptors, std::function<bool()> has_list, bool drained = false);

  sockaddr_in address() const { return listener_->address(); }
  ListenerMailbox& inbox() { return inbox_; }
  runtime::Task<> run_accept_loop();  // accepts for as long as the door's course says
  runtime::Task<>
  run_lifecycle();  // follows orders; returns when nothing is left after a planned end
  // Whether this process takes clients: drained or not, until its planned end.
  bool is_serving() const { return accepting_ && has_list_() && !course_.is_shutting_down(); }
  bool is_shutting_down() const { return course_.is_shutting_down(); }
  DescriptorBudget& descriptor_budget() { return budget_; }

 private:
  friend class ClientConnection;
  struct Target {  // an operation as its request line and headers state it, or what to answer
                   // instead
    int error = 0;
    std::shared_ptr<ClientRequest> operation;
  };
  // `upload`: where the rest of its body will come; null where it is whole.
  Target target_of(http::Message& request, std::optional<std::uint64_t> length,
                   std::shared_ptr<BodyPipe> upload);
  bool ready() const { return course_.is_ready() && has_list_(); }
  void admit(net::Fd fd, const sockaddr_in& from);
  runtime::Task<>
  room();  // waits for one more descriptor, which may come from a client that nothing is owed to
  void evict();
  void heed(const ListenerCommand& order);

  runtime::Scheduler& scheduler_;
  DecisionMailbox& decisions_;
  const config::Config& config_;
  Telemetry& telemetry_;
  BodyBudget& bodies_;
  config::Interner classes_, tenants_;
  DescriptorBudget budget_;
  std::function<bool()> has_list_;
  std::unique_ptr<net::Listener> listener_;
  OpenRequestIds ids_;
  std::list<ClientConnection*> sockets_;  // open ones
  runtime::Notifier left_;                // one of them ended
  ListenerMailbox inbox_;
  ListenerLifecycle course_;
  runtime::Notifier turned_;  // the course has
  bool accepting_ = false;
};

// One client's connection: one operation at a time, each answered before the next is read.
class ClientConnection {
 public:
  ClientConnection(ClientListener& door, net::Fd fd, const sockaddr_in& from);
  ~ClientConnection();
  ClientConnection(const ClientConnection&) = delete;
  ClientConnection& operator=(const ClientConnection&) = delete;

  enum class Phase {
    kSilent,
    kLingering,
    kKept,
    kReading,
    kBusy
  };  // the first to be evicted first
  runtime::Task<> serve();
  Phase phase() const { return asked_ ? Phase::kBusy : phase_; }
  runtime::TimePoint since() const { return since_; }
  void ask_to_close(EndReason reason);

 private:
  enum class Got { kRequest, kBad, kHalf, kEnd };
  void enter(Phase phase);
  runtime::Task<> turn_away(int status, EndReason reason);
  runtime::Task<Got> read_request(http::Parser& parser);
  runtime::Task<bool> answer_request(http::Parser& parser);
  runtime::Task<bool> await_answer(const std::shared_ptr<ClientRequest>& operation,
                                   http::Parser& parser);
  runtime::Task<bool> pass_on(const BackendResponse& reply, const std::string& extra, bool close,
                              bool chunks);
  runtime::TimePoint whole_by() const;
  bool take_upload(ClientRequest& operation, http::Parser& parser);
  runtime::Task<bool> reply(const std::string& bytes, bool close);
  bool parts() const;

  ClientListener& door_;
  DescriptorBudget::Slot slot_;
  std::string remote_;
  net::Stream stream_;
  std::string buffer_;  // bytes read and not yet used: the next request may come early
  runtime::Notifier wake_;
  bool asked_ = false, probed_ = false;
  bool large_ = false;          // the request's body is not whole yet, and will not be kept
  bool spoilt_ = false;         // what still comes can't be told from a request's body
  runtime::TimePoint begun_{};  // its first byte came
  std::uint64_t received_ = 0;  // of its bytes, so far
  Phase phase_ = Phase::kSilent;
  runtime::TimePoint since_ = runtime::Clock::now();  // when the phase began
  EndReason asked_reason_ = EndReason::kEvicted;
  EndReason reason_ = EndReason::kFault;
  std::uint64_t operations_ = 0;
  const Time came_ = now();
  std::list<ClientConnection*>::iterator place_;
};

}  // namespace beechhill::proxy
