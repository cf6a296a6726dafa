// What the actors say to one another. Nothing here knows which protocol a client or a backend
// speaks.
#pragma once

#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "beechhill/balancer.h"
#include "config/config.h"
#include "proxy/body_pipe.h"
#include "runtime/mailbox.h"

namespace beechhill::proxy {

// The module's clock is the steady clock in microseconds.
inline Time to_time(runtime::TimePoint at) {
  return std::chrono::duration_cast<Time>(at.time_since_epoch());
}
inline runtime::TimePoint to_point(Time at) {
  return runtime::TimePoint(at);
}
inline Time now() {
  return to_time(runtime::Clock::now());
}

// The request as a backend is to get it.
class Payload {
 public:
  virtual ~Payload() = default;
  // All bytes of it; `left` is how long the proxy will wait.
  virtual std::string encode(const std::string& host, Duration left) const = 0;
  // What of the body follows those bytes, for one reader; null where they are all.
  virtual const std::shared_ptr<BodyPipe>& rest() const {
    static const std::shared_ptr<BodyPipe> none;
    return none;
  }
  // Bytes of the body as they go on the wire.
  virtual std::string framed(std::string bytes) const { return bytes; }
  virtual std::string framed_end() const { return {}; }
  // What the request is called; a backend may begin its answer with it.
  virtual std::string_view id() const { return {}; }
};

struct Reply {  // a backend's answer to pass on
  std::string body, type;
  std::shared_ptr<BodyPipe> rest;       // what of the body follows; null where that is all
  std::optional<std::uint64_t> length;  // of all of it, with `rest` and where the backend told
};

struct Refusal {  // refused: trying again is harmless
  Duration retry_after{0};
};
struct Failed {};
using Answer = std::variant<Reply, Refusal, Failed>;

// One request of a client. The client connection that took it waits on `answered` for its one final
// answer.
struct ClientRequest {
  RequestId id = 0;  // given by the decision actor
  ClassId class_id = 0;
  TenantId tenant = kNoTenant;
  Time arrived{0}, deadline{0};  // of a large one's last byte, once that has come: guessed before
  Duration wait{0};              // that the client will, from its last byte
  std::shared_ptr<const Payload> payload;
  bool large() const {
    return payload->rest() != nullptr;
  }  // its body is not kept, but passed on as it comes
  std::optional<Answer> answer;
  runtime::Notifier answered;
  // Its client has gone. Set the moment that is noticed: the word of it, a message, may wait behind
  // others, and nothing may begin meanwhile.
  bool abandoned = false;
  bool wanted() const { return !abandoned && !answer; }
};

struct Attempt {  // to be carried out
  RequestId operation = 0;
  std::uint32_t number = 0;  // of the request's, from 0
  Time connect_by{0};        // a connection not up by then has failed
  Time deadline{0};          // when the proxy stops waiting
  Duration wait{0};          // of a large request: from when its last byte is written
  std::shared_ptr<const Payload> payload;
  std::shared_ptr<const ClientRequest> request;  // null: nobody who could leave waits for it
  Time leave_by = Time::max();                   // its last byte has left by then, or never does
};
struct CancelAttempt {
  RequestId operation = 0;
  std::uint32_t attempt = 0;
};
struct ProbePeer {};
struct PeerStatus {  // what discovery says of a backend
  ServerState state = ServerState::kUp;
  sockaddr_in address{};
  std::chrono::milliseconds born{0};  // its last start as the list has it
  Time until = Time::max();           // when the right to send new work there ends
};
using PeerMessage = std::variant<Attempt, CancelAttempt, ProbePeer, PeerStatus>;

struct Arrived {
  std::shared_ptr<ClientRequest> operation;
};
struct Left {  // the client has gone away
  std::shared_ptr<ClientRequest> operation;
};
struct AttemptDone {
  RequestId operation = 0;
  std::uint32_t attempt = 0;
  Result result = Result::kOk;
  LoadReport report;
  Reply reply;
};
struct StreamDone {  // the rest of an answer has ended, however
  ServerId server = 0;
};
struct ProbeDone {
  ServerId server = 0;
  Result result = Result::kOk;
  LoadReport report;
};

// An operator's question or order. The actor that owns the matter answers by setting `status`, once
// it is done, and notifying; whoever asked may have gone by then.
struct Asked {
  int status = 0;                            // as in HTTP; 0: not done yet
  std::size_t members = 0, unavailable = 0;  // of a Census
  const char* stage = "";  // of a Census: where the process stands on its way to full service
  runtime::Notifier done;
  void answer(int with) {
    status = with;
    done.notify();
  }
};
struct AskedText : Asked {  // with a body
  std::string text;
};
// Its status, or 503 where none came within `at_most`.
inline runtime::Task<int> settled(runtime::Scheduler& scheduler, std::shared_ptr<Asked> asked,
                                  std::chrono::milliseconds at_most) {
  const auto until = runtime::Clock::now() + at_most;
  while (asked->status == 0) {
    runtime::Wait wait(scheduler);
    wait.notified(asked->done).until(until);
    if (co_await wait == runtime::Wake::kTime) {
      co_return 503;
    }
  }
  co_return asked->status;
}
struct Exclude {  // leave a backend out, or let it serve again, whatever the list says
  std::string host;
  bool out = true;
  std::shared_ptr<Asked>
      asked;  // 200, or 404 where no list ever named it; null: another process had it done
};
struct Census {  // how many backends are listed, and how many of them are avoided now
  std::shared_ptr<Asked> asked;
};

struct WorkRights {  // what may be used, as the proxies have settled it
  std::map<std::string, Time>
      until;  // of machines that are next to be taken out, or out (Time::min()), by id
  Time serve_until = Time::max();  // nothing at all beyond
};

struct CaughtUp {};  // all that discovery had written when a CatchUp was taken has been posted

using DecisionMessage = std::variant<Arrived, Left, AttemptDone, StreamDone, ProbeDone,
                                     config::ServerList, CaughtUp, Exclude, Census, WorkRights>;
using DecisionBox = runtime::Mailbox<DecisionMessage>;

struct WatchNow {};  // the module wants the list watched: no more pausing
struct MoveWatch {   // discovery is elsewhere from now on
  sockaddr_in address{};
};
struct CatchUp {      // read all that was written, then say CaughtUp
  bool anew = false;  // the whole list is asked for: what was written may not be all
};
using WatchMessage = std::variant<WatchNow, MoveWatch, CatchUp>;
using WatchBox = runtime::Mailbox<WatchMessage>;

enum class DoorWord { kEvacuate, kRejoin, kEnd };
struct DoorOrder {
  DoorWord word = DoorWord::kEnd;
  bool succeeded = false;        // with kEnd: another process takes the clients
  std::shared_ptr<Asked> asked;  // null: nobody waits
};
using DoorBox = runtime::Mailbox<DoorOrder>;

// A backend as the decision actor sees it, whatever protocol it speaks.
class Peer {
 public:
  virtual ~Peer() = default;
  [[nodiscard]] virtual bool post(PeerMessage&& message) = 0;
};

}  // namespace beechhill::proxy
