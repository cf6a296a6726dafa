#include "cluster/maintenance_cli.h"

#include <cstdio>
#include <cstdlib>

#include "cluster/disk_raft_storage.h"
#include "config/operator_file.h"
#include "http/parser.h"
#include "http/writer.h"
#include "log/log.h"
#include "net/socket.h"

namespace beechhill::maintenance {

using namespace std::chrono_literals;
using runtime::Clock;

namespace {

constexpr auto kPatience = 5s;

std::string escaped(const std::string& text) {
  std::string out;
  char hex[4];
  for (const char c : text) {
    const bool plain = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') ||
                       c == '-' || c == '_' || c == '.' || c == ',';
    if (!plain) {
      std::snprintf(hex, sizeof hex, "%%%02X", static_cast<unsigned char>(c));
    }
    out += plain ? std::string(1, c) : std::string(hex);
  }
  return out;
}

struct Reply {
  int status = 0;
  std::string body;
};

runtime::Task<> ask(runtime::Scheduler& scheduler, sockaddr_in door, std::string request,
                    Reply& reply) {
  const auto until = Clock::now() + kPatience;
  const std::unique_ptr<net::Stream> stream = co_await net::Stream::connect(scheduler, door, until);
  if (stream) {
    const net::Io written = co_await stream->write(request, until);
    http::Parser parser(http::Parser::Kind::kResponse);
    http::Progress progress = http::Progress::kMore;
    std::string buffer;
    while (written == net::Io::kOk && progress == http::Progress::kMore) {
      const net::Io io = co_await stream->read(buffer, until);
      progress = io == net::Io::kOk    ? parser.feed(buffer)
                 : io == net::Io::kEof ? parser.end()
                                       : http::Progress::kBad;
    }
    if (progress == http::Progress::kDone) {
      reply = {parser.message().status, parser.message().body};
    }
  }
  scheduler.stop();
}

int call(const std::string& door, const std::string& method, const std::string& target) {
  const auto address = net::parse_address(door);
  if (!address) {
    return std::fprintf(stderr, "beechhill: --door: not an IPv4 address and a port: %s\n",
                        door.c_str()),
           2;
  }
  Reply reply;
  runtime::Scheduler scheduler;
  scheduler.spawn(ask(scheduler, *address,
                      http::write_request(method, target, door, "Connection: close\r\n", ""),
                      reply));
  scheduler.run();
  if (reply.status == 200) {
    return std::fwrite(reply.body.data(), 1, reply.body.size(), stdout), 0;
  }
  if (reply.status == 0) {
    return std::fprintf(stderr, "beechhill: no answer from %s\n", door.c_str()), 1;
  }
  std::fprintf(stderr, "beechhill: refused (%d): %s\n", reply.status, reply.body.c_str());
  return 1;
}

int found(const std::string& operator_file, const std::string& name) {
  try {
    const config::OperatorSettings settings = config::load_operator(operator_file);
    const auto& voters = settings.maintenance.voters;
    if (std::find(voters.begin(), voters.end(), name) == voters.end()) {
      throw std::runtime_error(name + " is none of maintenance.voters");
    }
    DiskRaftStorage::found(settings.maintenance.storage_directory, Voter{name, 1},
                           initial_records(voters));
    std::printf("founded: %s, one of %zu voters\n", name.c_str(), voters.size());
    return 0;
  } catch (const std::exception& error) {
    return std::fprintf(stderr, "beechhill: %s\n", error.what()), 1;
  }
}

}  // namespace

void add_maintenance_command(CLI::App& app, int& code) {
  struct Options {
    std::string door, id, role = "backend", machines, zone, cell, kind, by, why, machine, proxy,
                          operator_file, name;
    std::uint32_t at_once = 1;
    std::int64_t length = 0, not_before = 0, not_after = 0;
    int priority = 0;
  };
  const auto o = std::make_shared<Options>();
  if (const char* user = std::getenv("USER")) {
    o->by = user;
  }
  CLI::App* all = app.add_subcommand(
      "maintenance", "Take machines out for work, in the order that the proxies settle");
  all->require_subcommand(1);
  const auto word = [&](const char* name, const char* text) {
    CLI::App* c = all->add_subcommand(name, text);
    c->add_option("--door", o->door, "The operators' door of any proxy, an address and a port")
        ->required();
    return c;
  };
  CLI::App* c = word("request", "Ask for machines to be taken out, once each");
  c->add_option("id", o->id, "Of the request: the same one sent again is the same request")
      ->required();
  c->add_option("--role", o->role, "Whose machines")
      ->check(CLI::IsMember({"backend", "proxy"}))
      ->capture_default_str();
  c->add_option("--machines", o->machines, "Their ids, with commas between");
  c->add_option("--zone", o->zone, "Or all of a zone");
  c->add_option("--cell", o->cell, "Or of a cell");
  c->add_option("--kind", o->kind, "Or of a kind");
  c->add_option("--at-once", o->at_once, "So many of them at a time, at the most")
      ->check(CLI::Range(1u, 10'000u))
      ->capture_default_str();
  c->add_option("--length", o->length, "Seconds that the work on one is expected to take");
  c->add_option("--not-before", o->not_before, "Unix time");
  c->add_option("--not-after", o->not_after, "Unix time");
  c->add_option("--priority", o->priority, "Higher goes first")->check(CLI::Range(-1'000, 1'000));
  c->add_option("--by", o->by, "Who asks")->capture_default_str();
  c->add_option("--why", o->why, "What for");
  c->callback([o, &code] {
    std::string target = "/api/maintenance/request?id=" + escaped(o->id) + "&role=" + o->role +
                         "&at_once=" + std::to_string(o->at_once);
    for (const auto& [key, text] : {std::pair("machines", o->machines),
                                    {"zone", o->zone},
                                    {"cell", o->cell},
                                    {"kind", o->kind},
                                    {"by", o->by},
                                    {"why", o->why}}) {
      if (!text.empty()) {
        target += std::string("&") + key + "=" + escaped(text);
      }
    }
    for (const auto& [key, n] : {std::pair("length", o->length),
                                 {"not_before", o->not_before},
                                 {"not_after", o->not_after},
                                 {"priority", std::int64_t{o->priority}}}) {
      if (n != 0) {
        target += std::string("&") + key + "=" + std::to_string(n);
      }
    }
    code = call(o->door, "PUT", target);
  });
  c = word("list", "All requests, the machines in work, and the proxies that have a part in it");
  c->callback([o, &code] { code = call(o->door, "GET", "/api/maintenance"); });
  c = word("explain", "Why a request does not go on");
  c->add_option("id", o->id, "Of the request")->required();
  c->callback([o, &code] { code = call(o->door, "GET", "/api/maintenance?id=" + escaped(o->id)); });
  for (const auto& [name, text] : {std::pair("approve", "Let it begin"),
                                   {"hold", "Stop it; what is not out yet is called back"},
                                   {"resume", "Let it go on"},
                                   {"cancel", "End it; what is not out yet is called back"}}) {
    c = word(name, text);
    c->add_option("id", o->id, "Of the request")->required();
    c->add_option("--by", o->by, "Who says so")->capture_default_str();
    c->callback([o, &code, verb = std::string(name)] {
      code = call(o->door, "PUT",
                  "/api/maintenance/" + verb + "?id=" + escaped(o->id) + "&by=" + escaped(o->by));
    });
  }
  c = word("done", "The work on a machine is over, and it runs again");
  c->add_option("id", o->id, "Of the request")->required();
  c->add_option("machine", o->machine, "Its id")->required();
  c->callback([o, &code] {
    code = call(o->door, "PUT",
                "/api/maintenance/done?id=" + escaped(o->id) + "&machine=" + escaped(o->machine));
  });
  c = word("forget", "A proxy is off and sends nothing: the others need not wait for it");
  c->add_option("proxy", o->proxy, "Its name")->required();
  c->callback([o, &code] {
    code = call(o->door, "PUT", "/api/maintenance/forget?proxy=" + escaped(o->proxy));
  });
  c = all->add_subcommand("found", "Make the storage of a voter, once, when the group is founded");
  c->add_option("--operator", o->operator_file, "Its operator file")
      ->required()
      ->envname("BEECHHILL_OPERATOR");
  c->add_option("--name", o->name, "Its name")->required()->envname("GW_NAME");
  c->callback([o, &code] { code = found(o->operator_file, o->name); });
}

}  // namespace beechhill::maintenance
