// Tests of reading the operator file: errors that name file, line and key, and the example file.
#include "config/operator_file.h"

#include <gtest/gtest.h>

namespace beechhill::config {
namespace {

TEST(OperatorFile, NamesTheFileLineAndKeyOfAnError) {
  const struct {
    const char* text;
    const char* error;
  } cases[] = {
      {"[log]\nlevel = \"loud\"", "op:2: log.level: not one of debug, info, warning, error, off"},
      {"[log]\nlevel = 3", "op:2: log.level: not one of"},
      {"[log]\nqueue = 4", "op:2: log.queue: not from 16 to 65536"},
      {"[log]\ntime = 1", "op:2: log.time: not true or false"},
      {"\n[log]\nlevle = \"info\"", "op:3: log.levle: unknown key"},
      {"[logs]", "op:1: logs: unknown key"},
      {"log = 3", "op:1: log: not a table"},
      {"[log", "op:1: "},
      {"[maintenance]\nreserve = 9007199254740993", "op:2: maintenance.reserve: not from 0 to 10"}};
  for (const auto& test_case : cases) {
    std::string error;
    try {
      read_operator_settings(parse_toml(test_case.text, "op"), "op");
    } catch (const TomlError& thrown) {
      error = thrown.what();
    }
    EXPECT_TRUE(error.starts_with(test_case.error)) << test_case.text << ": " << error;
  }
}

TEST(OperatorFile, ExampleContainsTheDefaults) {
  const OperatorSettings example = load_operator_settings(OPERATOR_EXAMPLE);
  const OperatorSettings defaults = load_operator_settings("");
  EXPECT_EQ(example.log.level, defaults.log.level);
  EXPECT_EQ(example.log.format, defaults.log.format);
  EXPECT_EQ(example.log.time, defaults.log.time);
  EXPECT_EQ(example.log.queue, defaults.log.queue);
}

}  // namespace
}  // namespace beechhill::config
