#include "admin/admin_server.h"

#include <chrono>
#include <system_error>
#include <utility>

#include "admin/telemetry_json.h"
#include "http/parser.h"
#include "http/progress.h"
#include "http/writer.h"
#include "log/log.h"

namespace beechhill::admin {

using namespace std::chrono_literals;
using hot_restart::StateChange;
using net::IoResult;
using runtime::Clock;
using runtime::PendingReply;
using runtime::Task;

namespace {

// Timeout from accepting a connection to reading the last byte of its call.
constexpr auto kReadTimeout = 1500ms;
// Minimum age at which a connection that has not sent a complete call may be evicted, which happens
// while all connections are in use. Callers that are not idle have sent their call by then.
constexpr auto kEvictionAge = 20ms;
// Timeout for the reply of the actor that owns the state. Operators must get a response within 1 s.
constexpr auto kReplyTimeout = 800ms;
// Timeout for commands on which the proxies of the cluster have to agree first.
constexpr auto kClusterReplyTimeout = 3000ms;
constexpr auto kWriteTimeout = 2000ms;
constexpr auto kLingerTimeout = 500ms;
// Delay before the next accept if the last one failed or all connections were in use.
constexpr auto kAcceptBackoff = 10ms;

constexpr std::string_view kJsonHeader = "Content-Type: application/json\r\n";

// Formats a response with "Connection: close", as each connection carries only one call.
std::string write_last_response(int status, std::string_view headers = "",
                                std::string_view body = "") {
  return http::write_response(status, headers, body, true);
}

StateChange state_change(CommandType type) {
  switch (type) {
    case CommandType::kExclude:
      return StateChange::kExclude;
    case CommandType::kInclude:
      return StateChange::kInclude;
    case CommandType::kDrain:
      return StateChange::kDrain;
    default:
      return StateChange::kResume;
  }
}

}  // namespace

AdminServer::AdminServer(runtime::Scheduler& scheduler, const sockaddr_in& address,
                         proxy::DecisionMailbox& decisions,
                         hot_restart::OperatorCommandMailbox& operator_commands,
                         const proxy::Telemetry& telemetry, const proxy::BufferBudget& buffers,
                         const proxy::TraceIdTable& trace_ids,
                         const std::vector<std::string>& class_names,
                         std::function<bool()> is_ready, ClusterHandler cluster_handler)
    : scheduler_(scheduler),
      decisions_(decisions),
      operator_commands_(operator_commands),
      telemetry_(telemetry),
      buffers_(buffers),
      trace_ids_(trace_ids),
      class_names_(class_names),
      is_ready_(std::move(is_ready)),
      cluster_handler_(std::move(cluster_handler)),
      listener_(scheduler, address) {
}

Task<> AdminServer::run() {
  for (;;) {
    const bool full = connections_.size() >= kMaxConnections && !evict_connection();
    IoResult accepted = IoResult::kError;
    if (!full) {
      accepted = co_await accept_connection();
    }
    // Suspends after each accept, so that the other connections can read what callers have sent
    // before the next eviction.
    runtime::Wait wait(scheduler_);
    if (full) {
      wait.notified(connection_ended_);
    }
    wait.until(Clock::now() + (accepted == IoResult::kOk ? 0ms : kAcceptBackoff));
    co_await wait;
  }
}

Task<IoResult> AdminServer::accept_connection() {
  sockaddr_in remote{};
  net::FileDescriptor fd;
  const IoResult accepted = co_await listener_.accept(runtime::TimePoint::max(), fd, remote);
  if (accepted == IoResult::kOk) {
    try {
      connections_.push_back(std::make_shared<Connection>(scheduler_, std::move(fd)));
      scheduler_.spawn(run_connection(connections_.back()));
    } catch (const std::system_error& error) {  // epoll rejected the descriptor
      log::fault("operator_let_go", error);
    }
  }
  co_return accepted;
}

// Evicts the oldest connection that is past the eviction age and has not sent a complete call.
// Returns false if there is none.
bool AdminServer::evict_connection() {
  const auto now = Clock::now();
  for (const auto& connection : connections_) {
    if (!connection->awaits_request || now - connection->accepted_at < kEvictionAge) {
      continue;
    }
    connection->eviction.notify();
    connections_.remove(connection);
    return true;
  }
  return false;
}

Task<> AdminServer::run_connection(std::shared_ptr<Connection> connection) {
  try {
    co_await serve(*connection);
  } catch (const std::exception& error) {
    log::fault("operator_fault", error);
  }
  connections_.remove(connection);
  connection_ended_.notify();
}

Task<> AdminServer::serve(Connection& connection) {
  http::Parser parser(http::Parser::Kind::kRequest);
  http::Progress progress = http::Progress::kNeedsMore;
  std::string buffer;
  std::string response;
  const auto deadline = connection.accepted_at + kReadTimeout;
  while (progress == http::Progress::kNeedsMore) {
    const IoResult io = co_await connection.stream.read(buffer, deadline, &connection.eviction);
    if (io == IoResult::kTimeout && (parser.head_done() || !buffer.empty())) {
      response = write_last_response(408);
      break;
    }
    if (io != IoResult::kOk) {
      co_return;
    }
    progress = parser.feed(buffer);
  }
  connection.awaits_request = false;
  if (progress == http::Progress::kMalformed) {
    response = write_last_response(parser.error_status());
  }
  if (progress == http::Progress::kComplete) {
    const std::string method = parser.message().method;
    const std::string target = parser.message().target;
    response = co_await respond(method, target);
  }
  const IoResult written = co_await connection.stream.write(response, Clock::now() + kWriteTimeout);
  if (written == IoResult::kOk) {
    co_await connection.stream.lingering_close(Clock::now() + kLingerTimeout, connection.eviction);
  }
}

Task<std::string> AdminServer::respond(const std::string& method, const std::string& target) {
  const ParsedCommand parsed = parse_command(method, target);
  if (const auto* error = std::get_if<CommandError>(&parsed)) {
    co_return write_last_response(status_code(*error));
  }
  const Command& command = std::get<Command>(parsed);
  // The awaited response is a named variable because GCC 12 destroys temporaries in co_await
  // expressions incorrectly.
  std::string response;
  switch (command.type) {
    case CommandType::kReady:
      response = write_last_response(is_ready_() ? 200 : 503);
      break;
    case CommandType::kTelemetry:
      response = co_await report_telemetry();
      break;
    case CommandType::kExclude:
    case CommandType::kInclude:
    case CommandType::kDrain:
    case CommandType::kResume:
      response = co_await change_state(command, target);
      break;
    case CommandType::kMembers:
    case CommandType::kMaintenanceStatus:
    case CommandType::kMaintenanceCommand:
      response = co_await forward_to_cluster(command);
      break;
  }
  co_return response;
}

Task<std::string> AdminServer::change_state(const Command& command, const std::string& target) {
  const auto reply = std::make_shared<PendingReply>();
  hot_restart::OperatorCommand message{state_change(command.type), command.backend_id, reply};
  int status = 503;
  if (operator_commands_.post(std::move(message))) {
    status = co_await runtime::await_reply(scheduler_, reply, kReplyTimeout);
  }
  log::info("operator",
            {{"call", std::string_view(target)}, {"status", static_cast<std::int64_t>(status)}});
  std::string response = write_last_response(status);
  co_return response;
}

Task<std::string> AdminServer::forward_to_cluster(const Command& command) {
  int status = 404;
  const auto reply = std::make_shared<runtime::PendingTextReply>();
  if (cluster_handler_) {
    cluster_handler_(command, reply);
    const std::shared_ptr<PendingReply> base = reply;
    status = co_await runtime::await_reply(scheduler_, base, kClusterReplyTimeout);
  }
  const bool is_json = status == 200 && command.type != CommandType::kMaintenanceCommand;
  std::string response = write_last_response(status, is_json ? kJsonHeader : "", reply->text);
  co_return response;
}

Task<std::string> AdminServer::report_telemetry() {
  const auto reply = std::make_shared<PendingReply>();
  proxy::DecisionMessage query(std::in_place_type<proxy::GetEndpointCounts>, reply);
  int status = 503;
  if (decisions_.post(std::move(query))) {
    status = co_await runtime::await_reply(scheduler_, reply, kReplyTimeout);
  }
  const std::string body = status == 200 ? telemetry_json(telemetry_, buffers_, trace_ids_.counts(),
                                                          class_names_, *reply)
                                         : std::string{};
  std::string response = write_last_response(status, kJsonHeader, body);
  co_return response;
}

}  // namespace beechhill::admin
