// README.md's example, run; and the README must hold it word for word.
#include <gtest/gtest.h>

#include <fstream>
#include <sstream>

#include "beechhill/balancer.h"

namespace {

// [example]
std::size_t sends_of_one_request() {
  using namespace beechhill;
  using std::chrono::milliseconds;
  ClassSettings lookup;
  lookup.idempotency = Idempotency::kIdempotent;
  lookup.latency_objective = milliseconds(500);
  lookup.deadline = milliseconds(2000);
  Settings settings;
  settings.classes.push_back(lookup);
  std::vector<Action> actions;
  Time now{0};
  Balancer balancer(now, settings, actions);
  balancer.handle(now, EndpointUpdate{UpdateKind::kSnapshot, {Endpoint{}}}, actions);
  Request request;
  request.id = 1;
  request.deadline = now + milliseconds(2000);
  balancer.handle(now, request, actions);
  std::size_t sends = 0;
  for (const Action& action : actions) {
    sends += std::holds_alternative<StartAttempt>(action);
  }
  return sends;
}
// [/example]

std::string contents(const std::string& path) {
  std::ifstream file(path);
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

TEST(ReadmeExample, ASingleRequestIsSentOnce) {
  EXPECT_EQ(sends_of_one_request(), 1u);
}

TEST(ReadmeExample, StandsInTheReadmeWordForWord) {
  const std::string self = contents(README_TEST_SOURCE), readme = contents(README_FILE);
  const auto from = self.find("// [example]\n") + 13, to = self.find("// [/example]");
  ASSERT_LT(from, to);
  EXPECT_NE(readme.find(self.substr(from, to - from)), std::string::npos);
}

}  // namespace
