// Tests the parsing and formatting of HTTP field values.
#include <gtest/gtest.h>

#include "http/field_values.h"

namespace beechhill::http {
namespace {

using std::chrono::microseconds;

TEST(HttpFieldValues, ReadsAColumnOfALoadReport) {
  const struct {
    const char* text;
    std::optional<double> value;
  } cases[] = {{"TEXT util=0.5", 0.5},
               {"TEXT a=1, util=0.25, b=2", 0.25},
               {" TEXT util = 2 ", 2.0},
               {"TEXT a=1", {}},
               {"JSON {\"util\":1}", {}},
               {"TEXT util=", {}},
               {"TEXT util=nan", {}},
               {"TEXT util=-1", -1.0},
               {"TEXT util=9", 9.0},
               {"TEXT util=inf", {}},
               {"TEXT util=1e999", {}},
               {"TEXT util=1x", {}},
               {"", {}},
               {"TEXT ,,=,util", {}}};
  for (const auto& c : cases) {
    EXPECT_EQ(find_load_value(c.text, "util"), c.value) << c.text;
  }
}

TEST(HttpFieldValues, ReadsWholeNumbers) {
  const struct {
    const char* text;
    std::optional<std::uint64_t> value;
  } cases[] = {{"0", 0},
               {"480", 480},
               {"", {}},
               {"-1", {}},
               {"1.5", {}},
               {" 1", {}},
               {"18446744073709551616", {}}};
  for (const auto& c : cases) {
    EXPECT_EQ(parse_unsigned(c.text), c.value) << c.text;
  }
}

TEST(HttpFieldValues, WritesRetryAfterInSecondsRoundedUp) {
  EXPECT_EQ(format_retry_after(microseconds(250'000)), "0.250");
  EXPECT_EQ(format_retry_after(microseconds(1'000'001)), "1.001");
}

}  // namespace
}  // namespace beechhill::http
