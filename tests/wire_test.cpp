// Tests the simulator's protocol: replies to batches, and errors for invalid lines.
#include "wire.h"

#include <gtest/gtest.h>

#include "config/json.h"

namespace beechhill::wire {
namespace {

// Returns a batch that begins an instance and continues with `events`. `extra_class_members` are
// added to the settings of its only class.
std::string first_batch(const std::string& events = "",
                        const std::string& extra_class_members = "") {
  return R"({"moment":1000000,"serial":1,"balancers":[{"balancer-id":"balancer-1","events":[)"
         R"({"event_type":"Begin","prng":5,"env":{"discovery":"push","guarantees":{"cold-from":0.5,"cold":1000},)"
         R"("limits":{"most-tries":2},"something-new":[1],"zone":"z","profiles":[{"name":"k","repeat":"once",)"
         R"("aim":1000000,"deadline":2000000)" +
         extra_class_members + R"(}]}})" + events + "]}]}";
}
const std::string kDirectoryEvents =
    R"(,{"event_type":"Directory","slot":3,"entries":[{"state":"up","az":"z","upstream":"upstream-a","born":null}]})"
    R"(,{"event_type":"Discovery","mode":"C","serial":1,"slot":3})";
const std::string kRequestEvent =
    R"(,{"event_type":"Request","id":"req-1","drop-dead":3000000,"kind":"k","retry":false,"write":false})";

// Returns the second batch, with one event for the instance that first_batch() begins.
std::string second_batch(const std::string& event) {
  return R"({"moment":1100000,"serial":2,"balancers":[{"balancer-id":"balancer-1","events":[)" +
         event + "]}]}";
}

// Parses a reply. The tests compare JSON values rather than texts, because the order of an object's
// members may differ.
Json::Value parse_json(const std::string& text) {
  return config::parse(text.data(), text.data() + text.size(), "reply");
}
void expect_reply(const std::string& reply, const std::string& expected) {
  EXPECT_EQ(parse_json(reply), parse_json(expected)) << reply;
  EXPECT_EQ(reply.find('\n'), std::string::npos) << "a reply is one line";
}

TEST(Wire, AnswersAnEmptyBatchWithItsSerial) {
  Host host;
  expect_reply(host.reply_to(R"({"moment":1,"serial":9,"balancers":[]})"),
               R"({"serial":9,"balancers":[]})");
}

TEST(Wire, RelaysARequestUnderItsOwnName) {
  Host host;
  expect_reply(
      host.reply_to(first_batch(kDirectoryEvents + kRequestEvent)),
      R"({"serial":1,"balancers":[{"balancer-id":"balancer-1","out":[{"event_type":"Relay","id":"req-1",)"
      R"("upstream":"upstream-a"}]}]})");
}

TEST(Wire, ReportsAFailureThatMayHaveRun) {
  Host host;
  host.reply_to(first_batch(kDirectoryEvents + kRequestEvent));
  const std::string reply = host.reply_to(second_batch(
      R"({"event_type":"Done","id":"req-1","send-no":0,"upstream":"upstream-a","result":5,"lag":1,"final":false})"));
  EXPECT_EQ(parse_json(reply)["balancers"][0]["out"][0],
            parse_json(R"({"event_type":"ReportFailure","id":"req-1"})"))
      << reply;
}

TEST(Wire, IgnoresADisconnectOfAnUnknownRequest) {
  Host host;
  host.reply_to(first_batch(kDirectoryEvents));
  expect_reply(
      host.reply_to(second_batch(R"({"event_type":"CancelledByClient","id":"never-seen"})")),
      R"({"serial":2,"balancers":[]})");
}

TEST(Wire, ForgetsEverythingOnRestart) {
  Host host;
  host.reply_to(first_batch(kDirectoryEvents + kRequestEvent));
  host.reply_to(second_batch(R"({"event_type":"PowerOff"})"));
  const std::string reply = host.reply_to(first_batch(kDirectoryEvents + kRequestEvent));
  EXPECT_NE(reply.find("Relay"), std::string::npos) << reply;
}

// Expects that `line`, sent after a first batch, is rejected with a message that contains `part`.
void expect_error(const std::string& line, const std::string& part) {
  Host host;
  host.reply_to(first_batch(kDirectoryEvents));
  try {
    host.reply_to(line);
    FAIL() << "accepted: " << line;
  } catch (const WireError& e) {
    EXPECT_NE(std::string(e.what()).find(part), std::string::npos) << e.what();
  }
}

TEST(Wire, NamesTheBatchAndTheFieldThatIsWrong) {
  expect_error("not json", "batch ?: line");
  expect_error("[]", "not a JSON object");
  expect_error(second_batch(R"({"event_type":"Surprise"})"),
               "batch 2: event_type: not a known event");
  expect_error(second_batch(R"({"event_type":"Wakeup"})"), "tag: missing");
  expect_error(second_batch(R"({"event_type":"Wakeup","tag":7})"), "tag: not a string");
  expect_error(second_batch(R"({"event_type":"Request","id":"x","kind":"k","drop-dead":"soon"})"),
               "drop-dead: not an integer");
  expect_error(second_batch(R"({"event_type":"Request","id":"x","kind":"other","drop-dead":5})"),
               "kind: not listed");
  expect_error(second_batch(R"({"event_type":"Discovery","mode":"F","serial":1,"slot":16})"),
               "slot: not in 0 to 15");
  expect_error(
      R"({"moment":1,"serial":2,"balancers":[{"balancer-id":"balancer-7","events":[{"event_type":"PowerOff"}]}]})",
      "balancer-id: names an instance");
}

TEST(Wire, ReportsInvalidSettingsAsAnInternalError) {
  Host host;
  const std::string reply = host.reply_to(first_batch("", R"(,"worth":-1)"));
  EXPECT_NE(reply.find(R"("event_type":"InternalError")"), std::string::npos) << reply;
  EXPECT_NE(reply.find("classes.worth"), std::string::npos) << reply;
}

}  // namespace
}  // namespace beechhill::wire
