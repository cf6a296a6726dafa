// The lab on sockets: the real proxy before stand-in nodes, against the emulator's word for the
// same day.
#undef NDEBUG
#include <cassert>
#include <cmath>

#include "experiments/experiment.h"
#include "testbed/load_test.h"

using namespace beechhill;

namespace {

// Small and slow enough for a build with sanitizers.
constexpr const char* kDay = R"(
length = "6s"
warm_up = "1s"
[load]
rate = 60.0
[clients]
retries = 2
[[class]]
name = "read"
part = 0.7
repeat = "repeatable"
work = "20ms"
aim = "600ms"
deadline = "2s"
[[class]]
name = "write"
part = 0.3
repeat = "by_key"
group = "cell"
work = "15ms"
aim = "600ms"
deadline = "1500ms"
[[tenant]]
name = "north"
[[tier]]
name = "front"
nodes = 6
cell_size = 3
report = { every = "300ms", delay = "100ms" }
cold = { from = 0.3, span = "2s" }
)";

emulator::Scenario day(const std::string& faults) {
  return emulator::read_scenario(config::parse_toml(kDay + faults, "day"), "day");
}

testbed::SocketRun agree(const emulator::Scenario& s) {
  const Json::Value model = experiments::run_scenario(s, "module", false).result;
  const testbed::SocketRun run = testbed::play_on_sockets(s, PROXY_PROGRAM);
  const Json::Value& real = run.result;
  std::fprintf(stderr, "goodput %.4f on sockets, %.4f in the model\n", real["goodput"].asDouble(),
               model["goodput"].asDouble());
  assert(run.asked > 200 && run.wrong_answers == 0);
  assert(real["all"]["asked"] == model["all"]["asked"]);  // the same clients
  assert(real["all"]["unanswered"].asUInt64() == 0);
  assert(std::abs(real["goodput"].asDouble() - model["goodput"].asDouble()) <= 0.05);
  return run;
}

}  // namespace

int main() {
  const testbed::SocketRun calm = agree(day(""));
  assert(calm.result["attempts"].asUInt64() == calm.asked);  // nothing was sent twice
  // A crashed node, a silent one and one that drains; then the proxy itself, for a second.
  agree(
      day("[[fault]]\nkind = \"crash\"\nat = \"1500ms\"\nfor = \"1500ms\"\nnodes = 1\n"
          "[[fault]]\nkind = \"drain\"\nat = \"1s\"\nfor = \"3s\"\nnodes = 1\n"
          "[[fault]]\nkind = \"errors\"\nat = \"3s\"\nfor = \"1s\"\nnodes = 1\nfactor = 0.5\n"));
  const testbed::SocketRun restart =
      agree(day("[[fault]]\nkind = \"proxy_crash\"\nat = \"3s\"\nfor = \"800ms\"\npart = 1.0\n"));
  assert(restart.result["unreachable"].asUInt64() > 0);
  // What sockets cannot play is said, not left out.
  bool refused = false;
  try {
    testbed::play_on_sockets(day("[[fault]]\nkind = \"replace\"\nat = \"1s\"\n"), PROXY_PROGRAM);
  } catch (const std::invalid_argument&) {
    refused = true;
  }
  assert(refused);
}
