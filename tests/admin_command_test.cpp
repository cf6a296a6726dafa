// Tests of parsing operators' calls into commands.
#include <gtest/gtest.h>

#include "admin/command.h"

namespace beechhill::admin {
namespace {

Command parsed(const char* method, const char* target) {
  const ParsedCommand result = parse_command(method, target);
  const auto* const command = std::get_if<Command>(&result);
  EXPECT_NE(command, nullptr) << method << ' ' << target;
  return command ? *command : Command{};
}

// Returns the status code for a call that is not a valid command, or 0 if it is valid.
int error_status(const char* method, const char* target) {
  const ParsedCommand result = parse_command(method, target);
  const auto* const error = std::get_if<CommandError>(&result);
  return error ? status_code(*error) : 0;
}

TEST(AdminCommand, ReadsTypeAndBackendId) {
  const struct {
    const char* method;
    const char* target;
    CommandType type;
    const char* backend_id;
  } cases[] = {
      {"GET", "/api/ready", CommandType::kReady, ""},
      {"GET", "/api/ready?x=1", CommandType::kReady, ""},
      {"GET", "/api/telemetry", CommandType::kTelemetry, ""},
      {"GET", "/api/members", CommandType::kMembers, ""},
      {"PUT", "/api/exclude?target=s-1", CommandType::kExclude, "s-1"},
      {"PUT", "/api/include?a=b&target=a%2Fb%25", CommandType::kInclude, "a/b%"},
      {"PUT", "/api/evacuate", CommandType::kDrain, ""},
      {"PUT", "/api/rejoin", CommandType::kResume, ""},
  };
  for (const auto& test_case : cases) {
    SCOPED_TRACE(std::string(test_case.method) + " " + test_case.target);
    const Command command = parsed(test_case.method, test_case.target);
    EXPECT_EQ(command.type, test_case.type);
    EXPECT_EQ(command.backend_id, test_case.backend_id);
  }
}

TEST(AdminCommand, RejectsWrongMethodsAndUnknownPaths) {
  EXPECT_EQ(error_status("PUT", "/api/ready"), 405);
  EXPECT_EQ(error_status("GET", "/api/exclude?target=s-1"), 405);
  EXPECT_EQ(error_status("GET", "/api"), 404);
  EXPECT_EQ(error_status("GET", "/api/ready/"), 404);
}

TEST(AdminCommand, RejectsABackendIdThatIsMissingRepeatedOrWronglyEncoded) {
  const char* const targets[] = {
      "/api/exclude",
      "/api/exclude?",
      "/api/exclude?target",
      "/api/exclude?target=",
      "/api/exclude?target=a&target=a",
      "/api/exclude?target=%4",
      "/api/exclude?target=%zz",
      "/api/exclude?target=%+1",
  };
  for (const char* target : targets) {
    EXPECT_EQ(error_status("PUT", target), 400) << target;
  }
}

TEST(AdminCommand, ReadsMaintenanceActionsAndParameters) {
  const Command status = parsed("GET", "/api/maintenance?id=r%201");
  EXPECT_EQ(status.type, CommandType::kMaintenanceStatus);
  EXPECT_EQ(status.action, "");
  EXPECT_EQ(status.parameters, (QueryParameters{{"id", "r 1"}}));
  const Command request = parsed("PUT", "/api/maintenance/request?machine=a&work=");
  EXPECT_EQ(request.type, CommandType::kMaintenanceCommand);
  EXPECT_EQ(request.action, "request");
  EXPECT_EQ(request.parameters, (QueryParameters{{"machine", "a"}, {"work", ""}}));
}

TEST(AdminCommand, RejectsMalformedMaintenanceCalls) {
  EXPECT_EQ(error_status("PUT", "/api/maintenance"), 405);
  EXPECT_EQ(error_status("GET", "/api/maintenance/request?id=1"), 405);
  EXPECT_EQ(error_status("GET", "/api/maintenances"), 404);
  EXPECT_EQ(error_status("GET", "/api/maintenance?id"), 400);
  EXPECT_EQ(error_status("GET", "/api/maintenance?=1"), 400);
  EXPECT_EQ(error_status("GET", "/api/maintenance?id=1&id=1"), 400);
  EXPECT_EQ(error_status("PUT", "/api/maintenance/hold?id=%4"), 400);
}

}  // namespace
}  // namespace beechhill::admin
