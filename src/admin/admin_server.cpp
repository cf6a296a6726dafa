#include "admin/admin_server.h"

#include <json/json.h>

#include <algorithm>
#include <system_error>

#include "http/message.h"
#include "log/log.h"
#include "proxy/connection_log.h"

namespace beechhill::admin {

using namespace std::chrono_literals;
using net::Io;
using runtime::Clock;
using runtime::PendingReply;
using runtime::Task;

namespace {

constexpr auto kReadLimit = 1500ms;  // for a whole call
constexpr auto kSilentAge =
    20ms;  // when the door is full: a caller that means it has spoken by then
constexpr auto kAnswerLimit =
    800ms;  // for the actor that owns the matter; an answer is due within 1 s
constexpr auto kGroupLimit = 3000ms;  // what the proxies have to settle first
constexpr auto kWriteLimit = 2000ms, kLingerLimit = 500ms;
constexpr auto kAcceptPause = 10ms;

}  // namespace

AdminServer::AdminServer(runtime::Scheduler& scheduler, const sockaddr_in& address,
                         proxy::DecisionMailbox& decisions,
                         hot_restart::OperatorCommandMailbox& orders,
                         const proxy::Telemetry& telemetry, const std::vector<std::string>& classes,
                         std::function<bool()> serving, ClusterHandler group)
    : scheduler_(scheduler),
      decisions_(decisions),
      orders_(orders),
      telemetry_(telemetry),
      classes_(classes),
      serving_(std::move(serving)),
      group_(std::move(group)),
      listener_(scheduler, address) {
}

Task<> AdminServer::run() {
  for (;;) {
    const bool full = callers_.size() >= kMaxConnections && !let_one_go();
    Io io = Io::kError;
    if (!full) {
      sockaddr_in from{};
      net::Fd fd;
      io = co_await listener_.accept(runtime::TimePoint::max(), fd, from);
      if (io == Io::kOk) {
        try {
          callers_.push_back(std::make_shared<Caller>(scheduler_, std::move(fd)));
          scheduler_.spawn(serve(callers_.back()));
        } catch (const std::system_error& error) {  // epoll takes no more
          log::fault("operator_let_go", error);
        }
      }
    }
    // After each caller the others have a turn: it has spoken, if it means to, by the next look.
    runtime::Wait wait(scheduler_);
    if (full) {
      wait.notified(left_);
    }
    wait.until(Clock::now() + (io == Io::kOk ? 0ms : kAcceptPause));
    co_await wait;
  }
}

// True where there is a place now: callers that say nothing must not keep out one that does.
bool AdminServer::let_one_go() {
  const auto now = Clock::now();
  for (const auto& caller : callers_) {
    if (!caller->asking || now - caller->came < kSilentAge) {
      continue;
    }
    caller->let_go.notify();
    callers_.remove(caller);
    return true;
  }
  return false;
}

Task<> AdminServer::serve(std::shared_ptr<Caller> caller) {
  try {
    co_await converse(*caller);
  } catch (const std::exception& error) {
    log::fault("operator_fault", error);
  }
  callers_.remove(caller);
  left_.notify();
}

Task<> AdminServer::converse(Caller& caller) {
  http::Parser parser(http::Parser::Kind::kRequest);
  http::Progress progress = http::Progress::kMore;
  std::string buffer, answer;
  const auto until = caller.came + kReadLimit;
  while (progress == http::Progress::kMore) {
    const Io io = co_await caller.stream.read(buffer, until, &caller.let_go);
    if (io == Io::kTimeout && (parser.head_done() || !buffer.empty())) {
      answer = http::write_response(408, "", "", true);
      break;
    }
    if (io != Io::kOk) {
      co_return;
    }
    progress = parser.feed(buffer);
  }
  caller.asking = false;
  if (progress == http::Progress::kBad) {
    answer = http::write_response(parser.error_status(), "", "", true);
  }
  if (progress == http::Progress::kDone) {
    const std::string method = parser.message().method, target = parser.message().target;
    answer = co_await answer_to(method, target);
  }
  const Io written = co_await caller.stream.write(answer, Clock::now() + kWriteLimit);
  if (written == Io::kOk) {
    co_await caller.stream.linger(Clock::now() + kLingerLimit, caller.let_go);
  }
}

Task<std::string> AdminServer::answer_to(const std::string& method, const std::string& target) {
  using hot_restart::StateChange;
  const Command call = parse_command(method, target);
  int status = call.error_status;
  if (status == 0 && call.type == CommandType::kTelemetry) {
    std::string answer = co_await figures();
    co_return answer;
  }
  if (status == 0 && call.type >= CommandType::kMembers) {
    std::string answer = co_await of_group(call);
    co_return answer;
  }
  if (status == 0 && call.type == CommandType::kReady) {
    status = serving_() ? 200 : 503;
  } else if (status == 0) {
    const auto asked = std::make_shared<PendingReply>();
    hot_restart::OperatorCommand order{call.type == CommandType::kExclude   ? StateChange::kExclude
                                       : call.type == CommandType::kInclude ? StateChange::kInclude
                                       : call.type == CommandType::kDrain   ? StateChange::kDrain
                                                                            : StateChange::kResume,
                                       call.target, asked};
    status = 503;
    if (orders_.post(std::move(order))) {
      status = co_await runtime::await_reply(scheduler_, asked, kAnswerLimit);
    }
    log::info("operator",
              {{"call", std::string_view(target)}, {"status", static_cast<std::int64_t>(status)}});
  }
  std::string answer = http::write_response(status, "", "", true);
  co_return answer;
}

Task<std::string> AdminServer::of_group(const Command& call) {
  int status = 404;
  const auto asked = std::make_shared<runtime::PendingTextReply>();
  if (group_) {
    group_(call, asked);
    const std::shared_ptr<PendingReply> base = asked;
    status = co_await runtime::await_reply(scheduler_, base, kGroupLimit);
  }
  const bool json = status == 200 && call.type != CommandType::kMaintenanceCommand;
  std::string answer = http::write_response(
      status, json ? "Content-Type: application/json\r\n" : "", asked->text, true);
  co_return answer;
}

Task<std::string> AdminServer::figures() {
  const auto asked = std::make_shared<PendingReply>();
  int status = 503;
  proxy::DecisionMessage question(std::in_place_type<proxy::GetEndpointCounts>, asked);
  if (decisions_.post(std::move(question))) {
    status = co_await runtime::await_reply(scheduler_, asked, kAnswerLimit);
  }
  Json::Value root(Json::objectValue);
  for (const char* name : {"completed", "rejected", "failed"}) {
    root[name] = Json::Value(Json::objectValue);
  }
  for (ClassId id = 0; id < classes_.size(); ++id) {
    const proxy::Telemetry::Counts& c = telemetry_.of(id);
    root["completed"][classes_[id]] = Json::UInt64(c.completed);
    root["rejected"][classes_[id]] = Json::UInt64(c.rejected);
    root["failed"][classes_[id]] = Json::UInt64(c.failed);
  }
  root["upstream_requests"] = Json::UInt64(telemetry_.upstream_requests());
  root["pending"] = Json::UInt64(telemetry_.pending_requests());
  root["members"] = Json::UInt64(asked->endpoint_count);
  root["members_unavailable"] = Json::UInt64(asked->avoided_endpoint_count);
  root["stage"] = asked->recovery_stage;
  Json::StreamWriterBuilder writer;
  writer["indentation"] = "";
  std::string body = Json::writeString(writer, root) + "\n";
  std::string answer = http::write_response(status, "Content-Type: application/json\r\n",
                                            status == 200 ? body : "", true);
  co_return answer;
}

}  // namespace beechhill::admin
