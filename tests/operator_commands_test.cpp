// Tests the parsing of operators' maintenance calls, and the reason codes in their answers.
#include "maintenance/operator_commands.h"

#include <gtest/gtest.h>

#include <map>
#include <string>
#include <vector>

#include "maintenance/command_result.h"

namespace beechhill::test {
namespace {

using maintenance::CommandResult;
using maintenance::parse_operator_command;
using Query = std::map<std::string, std::string>;

std::string error_of(const std::string& verb, const Query& query) {
  std::string error;
  EXPECT_FALSE(parse_operator_command(verb, query, error)) << verb;
  EXPECT_FALSE(error.empty()) << verb;
  return error;
}

TEST(OperatorCommands, ReadsARequest) {
  std::string error;
  const auto command = parse_operator_command(
      "request",
      {{"id", "r"}, {"machines", "a,b"}, {"at_once", "2"}, {"priority", "-3"}, {"by", "ana"}},
      error);
  ASSERT_TRUE(command) << error;
  EXPECT_EQ(command->request->selector.ids.size(), 2u);
  EXPECT_EQ(command->request->max_concurrent, 2u);
  EXPECT_EQ(command->request->priority, -3);
}

TEST(OperatorCommands, ReadsTheProxyToForget) {
  std::string error;
  const auto command = parse_operator_command("forget", {{"proxy", "p"}}, error);
  ASSERT_TRUE(command) << error;
  EXPECT_EQ(command->proxy, "p");
}

TEST(OperatorCommands, NamesWhatIsWrong) {
  EXPECT_EQ(error_of("request", {{"id", "r"}}),
            "machines: missing; at least one of machines, zone, cell and kind is required");
  EXPECT_EQ(error_of("request", {{"id", "r"}, {"zone", "a"}, {"colour", "red"}}),
            "colour: unknown parameter");
  EXPECT_EQ(error_of("request", {{"id", "r"}, {"zone", "a"}, {"at_once", "0"}}),
            "at_once: not an integer from 1 to 10000");
  EXPECT_EQ(error_of("request", {{"id", "r"}, {"machines", "a,,b"}}),
            "machines: not a list of machine ids of 1 to 200 bytes, separated by commas");
  EXPECT_EQ(error_of("done", {{"id", "r"}}), "machine: missing");
  EXPECT_EQ(
      error_of("dance", {}),
      "unknown command \"dance\"; request, approve, hold, resume, cancel, done and forget are "
      "accepted");
}

// Proxies of different versions exchange the reason codes, and operators' scripts read them.
TEST(OperatorCommands, KeepsReasonCodesStable) {
  const std::vector<std::string> expected{"",
                                          "nothing_to_change",
                                          "no_request",
                                          "id_is_taken",
                                          "too_many_requests",
                                          "too_many_proxies",
                                          "unknown_request",
                                          "unknown_proxy",
                                          "unknown",
                                          "ended",
                                          "bound",
                                          "other_course",
                                          "other_step",
                                          "other_request",
                                          "paused",
                                          "not_read",
                                          "not_leader",
                                          "lost",
                                          "no_leader",
                                          "no_answer"};
  for (std::size_t i = 0; i < expected.size(); ++i) {
    EXPECT_EQ(to_string(static_cast<CommandResult>(i)), expected[i]);
  }
}

TEST(OperatorCommands, AllowsRetryingUndecidedCommands) {
  for (const char* code : {"not_leader", "lost", "no_leader", "no_answer"}) {
    EXPECT_TRUE(maintenance::is_retryable(code)) << code;
  }
  for (const char* code : {"", "ended", "bound", "unknown_request"}) {
    EXPECT_FALSE(maintenance::is_retryable(code)) << code;
  }
}

}  // namespace
}  // namespace beechhill::test
