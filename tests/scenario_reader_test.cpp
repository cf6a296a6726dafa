// Tests of reading scenarios from TOML: error messages and damaged input.
#include <gtest/gtest.h>

#include <filesystem>
#include <random>
#include <string>
#include <vector>

#include "support/emulator_scenarios.h"

namespace beechhill::emulator {
namespace {

using test::bytes_of;
using test::scenario_of;

struct BadInput {
  // TOML text that is appended to a complete scenario.
  const char* change;
  const char* error;
};

TEST(ScenarioReader, NamesKeyAndLineOfAnError) {
  const std::string complete = "length = \"5s\"\n[[class]]\nname = \"c\"\n[[tier]]\nname = \"t\"\n";
  EXPECT_EQ(scenario_of(complete).tiers.size(), 1u);
  const std::vector<BadInput> bad{
      {"nodes = 0", "test:6: tier[0].nodes: not from 1"},
      {"nodes = \"many\"", "test:6: tier[0].nodes: not a whole number"},
      {"speed = [2.0, 1.0]", "test:6: tier[0].speed: not within"},
      {"speed = [1.0]", "test:6: tier[0].speed: not a number or [least, most]"},
      {"nodse = 3", "test:6: tier[0].nodse: unknown key"},
      {"report = { every = 3 }", "tier[0].report.every: not a duration"},
      {"report = { every = \"3 s\" }", "tier[0].report.every: not a duration"},
      {"[load]\nrate = 1e9", "test:7: load.rate: not from"},
      {"[load]\nrate = nan", "test:7: load.rate: not from"},
      {"[load]\nshape = \"square\"", "test:7: load.shape: not one of steady, diurnal, bursts"},
      {"[[fault]]\nat = \"1s\"", "fault[0].kind: missing; the kind of fault is required"},
      {"[[fault]]\nkind = \"silent\"",
       "fault[0].kind: no nodes selected; set part, nodes, zone or cell"},
      {"[[fault]]\nkind = \"silent\"\nnodes = 2", "fault[0].nodes: not from 0 to 1"},
      {"[[fault]]\nkind = \"tenant_burst\"\ntenant = \"x\"", "fault[0].tenant: unknown tenant: x"},
      {"[[class]]\nname = \"d\"\naim = \"2s\"\ndeadline = \"1s\"",
       "class[1].deadline: shorter than the latency objective (aim)"},
      {"[[class]]\npart = 1", "class[1].name: missing or empty"},
      {"clients = 3", "clients: "},
      {"= 3", "test:6: "},
      {"[rules]\nfall_multiple = -inf", "rules.fall_multiple: not from"},
  };
  for (const BadInput& input : bad) {
    try {
      scenario_of(complete + input.change);
      ADD_FAILURE() << input.change;
    } catch (const config::TomlError& error) {
      EXPECT_NE(std::string(error.what()).find(input.error), std::string::npos)
          << input.change << ": " << error.what();
    }
  }
  EXPECT_THROW(scenario_of(""), config::TomlError);
}

// Changes, removes and duplicates random bytes of scenario files. The reader must return a scenario
// or throw a TomlError with a message.
TEST(ScenarioReader, ReadsOrRejectsDamagedInput) {
  std::vector<std::string> texts;
  for (const auto& file : std::filesystem::directory_iterator(EXPERIMENTS)) {
    if (file.path().extension() == ".toml") {
      texts.push_back(bytes_of(file.path().string()));
    }
  }
  ASSERT_GT(texts.size(), 10u);
  std::mt19937 random(7);
  int read = 0;
  int rejected = 0;
  for (int i = 0; i < 4000; ++i) {
    std::string text = texts[random() % texts.size()];
    for (int n = static_cast<int>(random() % 4); n >= 0 && !text.empty(); --n) {
      const std::size_t at = random() % text.size();
      switch (random() % 4) {
        case 0:
          text[at] = static_cast<char>(random());
          break;
        case 1:
          text.erase(at, random() % 20);
          break;
        case 2:
          text.insert(at, text.substr(random() % text.size(), random() % 40));
          break;
        default:
          text[at] = "0123456789.-[]\"="[random() % 16];
      }
    }
    try {
      scenario_of(text);
      ++read;
    } catch (const config::TomlError& error) {
      EXPECT_STRNE(error.what(), "");
      ++rejected;
    }
  }
  EXPECT_GT(read, 0);
  EXPECT_GT(rejected, 0);
}

}  // namespace
}  // namespace beechhill::emulator
