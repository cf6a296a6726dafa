#include "cluster/maintenance_cli.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <memory>
#include <stdexcept>
#include <string>

#include "cluster/disk_raft_storage.h"
#include "config/operator_file.h"
#include "http/parser.h"
#include "http/progress.h"
#include "http/writer.h"
#include "log/log.h"
#include "net/socket.h"

namespace beechhill::maintenance {

using namespace std::chrono_literals;
using runtime::Clock;

namespace {

constexpr auto kCallTimeout = 5s;

constexpr int kExitDone = 0;
constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;

// ---- Calls to the admin server

bool is_unreserved(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' ||
         c == '_' || c == '.' || c == ',';
}

std::string percent_encoded(const std::string& text) {
  std::string encoded;
  std::array<char, 4> hex{};
  for (const char c : text) {
    if (is_unreserved(c)) {
      encoded += c;
      continue;
    }
    static_cast<void>(
        std::snprintf(hex.data(), hex.size(), "%%%02X", static_cast<unsigned char>(c)));
    encoded += hex.data();
  }
  return encoded;
}

struct Reply {
  /// HTTP status code; 0 if no valid response was received.
  int status = 0;
  std::string body;
};

runtime::Task<> send_request(runtime::Scheduler& scheduler, sockaddr_in server, std::string request,
                             Reply& reply) {
  const auto deadline = Clock::now() + kCallTimeout;
  const std::unique_ptr<net::Stream> stream =
      co_await net::Stream::connect(scheduler, server, deadline);
  if (stream) {
    const net::IoResult written = co_await stream->write(request, deadline);
    http::Parser parser(http::Parser::Kind::kResponse);
    http::Progress progress = http::Progress::kNeedsMore;
    std::string buffer;
    while (written == net::IoResult::kOk && progress == http::Progress::kNeedsMore) {
      const net::IoResult io = co_await stream->read(buffer, deadline);
      if (io == net::IoResult::kOk) {
        progress = parser.feed(buffer);
      } else {
        progress = io == net::IoResult::kEof ? parser.end() : http::Progress::kMalformed;
      }
    }
    if (progress == http::Progress::kComplete) {
      reply = {parser.message().status, parser.message().body};
    }
  }
  scheduler.stop();
}

// Sends the request and prints the response. Returns the exit code.
int call_admin_server(const std::string& server, const std::string& method,
                      const std::string& target) {
  const auto address = net::parse_address(server);
  if (!address) {
    std::fprintf(stderr, "beechhill: --door: expected an IPv4 address and a port, got: %s\n",
                 server.c_str());
    return kExitUsage;
  }
  Reply reply;
  runtime::Scheduler scheduler;
  scheduler.spawn(send_request(
      scheduler, *address, http::write_request(method, target, server, "Connection: close\r\n", ""),
      reply));
  scheduler.run();
  if (reply.status == 200) {
    std::fwrite(reply.body.data(), 1, reply.body.size(), stdout);
    return kExitDone;
  }
  if (reply.status == 0) {
    std::fprintf(stderr, "beechhill: no valid response from %s\n", server.c_str());
  } else {
    std::fprintf(stderr, "beechhill: command rejected with HTTP status %d: %s\n", reply.status,
                 reply.body.c_str());
  }
  return kExitFailed;
}

// ---- The subcommands

struct Options {
  /// IPv4 address and port of the admin server.
  std::string server;
  std::string id;
  std::string role = "backend";
  std::string machines;
  std::string zone;
  std::string cell;
  std::string kind;
  std::string operator_name;
  std::string reason;
  std::string machine;
  std::string proxy;
  std::string operator_file;
  std::string voter;
  std::uint32_t max_concurrent = 1;
  std::int64_t work_duration = 0;
  std::int64_t not_before = 0;
  std::int64_t not_after = 0;
  int priority = 0;
};
using OptionsPtr = std::shared_ptr<Options>;

void add_parameter(std::string& target, const char* key, const std::string& value) {
  if (!value.empty()) {
    target += std::string("&") + key + "=" + percent_encoded(value);
  }
}

void add_parameter(std::string& target, const char* key, std::int64_t value) {
  if (value != 0) {
    target += std::string("&") + key + "=" + std::to_string(value);
  }
}

std::string request_target(const Options& options) {
  std::string target = "/api/maintenance/request?id=" + percent_encoded(options.id) +
                       "&role=" + options.role +
                       "&at_once=" + std::to_string(options.max_concurrent);
  add_parameter(target, "machines", options.machines);
  add_parameter(target, "zone", options.zone);
  add_parameter(target, "cell", options.cell);
  add_parameter(target, "kind", options.kind);
  add_parameter(target, "by", options.operator_name);
  add_parameter(target, "why", options.reason);
  add_parameter(target, "length", options.work_duration);
  add_parameter(target, "not_before", options.not_before);
  add_parameter(target, "not_after", options.not_after);
  add_parameter(target, "priority", options.priority);
  return target;
}

// Creates the storage of `voter`. Returns the exit code.
int create_storage(const std::string& operator_file, const std::string& voter) {
  try {
    const config::OperatorSettings settings = config::load_operator_settings(operator_file);
    const auto& voters = settings.maintenance.voters;
    if (std::find(voters.begin(), voters.end(), voter) == voters.end()) {
      throw std::runtime_error(voter + " is not listed in maintenance.voters of " + operator_file);
    }
    DiskRaftStorage::create(settings.maintenance.storage_directory, Voter{voter, 1},
                            initial_records(voters));
    std::printf("created the storage of voter %s, one of %zu voters\n", voter.c_str(),
                voters.size());
    return kExitDone;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "beechhill: %s\n", error.what());
    return kExitFailed;
  }
}

/// Adds the subcommands of `beechhill maintenance`, which share one set of options.
class SubcommandBuilder {
 public:
  SubcommandBuilder(CLI::App& parent, OptionsPtr options, int& exit_code)
      : parent_(parent), options_(std::move(options)), exit_code_(exit_code) {}

  void add_request() {
    Options& options = *options_;
    CLI::App& command = add_call(
        "request", "Request the maintenance of machines; each is taken out of service once");
    command
        .add_option("id", options.id,
                    "Id of the request; sending an id again does not create a second request")
        ->required();
    command.add_option("--role", options.role, "Role of the machines")
        ->check(CLI::IsMember({"backend", "proxy"}))
        ->capture_default_str();
    command.add_option("--machines", options.machines, "Ids of the machines, separated by commas");
    command.add_option("--zone", options.zone, "Select all machines of a zone");
    command.add_option("--cell", options.cell, "Select all machines of a cell");
    command.add_option("--kind", options.kind, "Select all machines of a kind");
    command
        .add_option("--at-once", options.max_concurrent,
                    "Maximum number of machines out of service at the same time")
        ->check(CLI::Range(1u, 10'000u))
        ->capture_default_str();
    command.add_option("--length", options.work_duration,
                       "Expected duration of the work on one machine, in seconds");
    command.add_option("--not-before", options.not_before,
                       "Earliest start, in seconds of Unix time");
    command.add_option("--not-after", options.not_after, "Latest start, in seconds of Unix time");
    command.add_option("--priority", options.priority, "Requests of higher priority start first")
        ->check(CLI::Range(-1'000, 1'000));
    command.add_option("--by", options.operator_name, "Name of the operator")
        ->capture_default_str();
    command.add_option("--why", options.reason, "Reason for the maintenance");
    on_run(command, "PUT", request_target);
  }

  void add_list() {
    CLI::App& command =
        add_call("list", "List all requests, the machines in maintenance and the proxies involved");
    on_run(command, "GET", [](const Options&) { return std::string("/api/maintenance"); });
  }

  void add_explain() {
    CLI::App& command = add_call("explain", "Explain why a request makes no progress");
    command.add_option("id", options_->id, "Id of the request")->required();
    on_run(command, "GET", [](const Options& options) {
      return "/api/maintenance?id=" + percent_encoded(options.id);
    });
  }

  void add_request_change(const std::string& verb, const char* description) {
    CLI::App& command = add_call(verb, description);
    command.add_option("id", options_->id, "Id of the request")->required();
    command.add_option("--by", options_->operator_name, "Name of the operator")
        ->capture_default_str();
    on_run(command, "PUT", [verb](const Options& options) {
      return "/api/maintenance/" + verb + "?id=" + percent_encoded(options.id) +
             "&by=" + percent_encoded(options.operator_name);
    });
  }

  void add_done() {
    CLI::App& command = add_call(
        "done", "Report that the work on a machine is finished and that the machine runs again");
    command.add_option("id", options_->id, "Id of the request")->required();
    command.add_option("machine", options_->machine, "Id of the machine")->required();
    on_run(command, "PUT", [](const Options& options) {
      return "/api/maintenance/done?id=" + percent_encoded(options.id) +
             "&machine=" + percent_encoded(options.machine);
    });
  }

  void add_forget() {
    CLI::App& command = add_call("forget",
                                 "Declare that a proxy is shut down and sends nothing, so that the "
                                 "others do not wait for it");
    command.add_option("proxy", options_->proxy, "Name of the proxy")->required();
    on_run(command, "PUT", [](const Options& options) {
      return "/api/maintenance/forget?proxy=" + percent_encoded(options.proxy);
    });
  }

  void add_found() {
    CLI::App* const command = parent_.add_subcommand(
        "found", "Create the storage of a voter, once, when the group is first set up");
    command->add_option("--operator", options_->operator_file, "Path of the voter's operator file")
        ->required()
        ->envname("BEECHHILL_OPERATOR");
    command->add_option("--name", options_->voter, "Name of the voter")
        ->required()
        ->envname("GW_NAME");
    command->callback([options = options_, &exit_code = exit_code_] {
      exit_code = create_storage(options->operator_file, options->voter);
    });
  }

 private:
  CLI::App& add_call(const std::string& name, const char* description) {
    CLI::App* const command = parent_.add_subcommand(name, description);
    command
        ->add_option("--door", options_->server,
                     "IPv4 address and port of the admin server of any proxy")
        ->required();
    return *command;
  }

  void on_run(CLI::App& command, const char* method,
              std::function<std::string(const Options&)> target) {
    command.callback(
        [options = options_, &exit_code = exit_code_, method, target = std::move(target)] {
          exit_code = call_admin_server(options->server, method, target(*options));
        });
  }

  CLI::App& parent_;
  const OptionsPtr options_;
  int& exit_code_;
};

}  // namespace

void add_maintenance_command(CLI::App& app, int& exit_code) {
  const auto options = std::make_shared<Options>();
  if (const char* user = std::getenv("USER")) {
    options->operator_name = user;
  }
  CLI::App* const command = app.add_subcommand(
      "maintenance", "Take machines out of service for maintenance, as coordinated by the proxies");
  command->require_subcommand(1);
  SubcommandBuilder subcommands(*command, options, exit_code);
  subcommands.add_request();
  subcommands.add_list();
  subcommands.add_explain();
  subcommands.add_request_change("approve", "Approve a request, so that it can start");
  subcommands.add_request_change(
      "hold", "Suspend a request and recall machines that are not out of service yet");
  subcommands.add_request_change("resume", "Resume a suspended request");
  subcommands.add_request_change(
      "cancel", "End a request and recall machines that are not out of service yet");
  subcommands.add_done();
  subcommands.add_forget();
  subcommands.add_found();
}

}  // namespace beechhill::maintenance
