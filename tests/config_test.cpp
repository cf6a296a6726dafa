// Tests of reading the configuration: values, and errors that name the invalid key.
#include "config/config.h"

#include <gtest/gtest.h>

#include "net/socket.h"
#include "support/proxy_fixture.h"

namespace beechhill::config {
namespace {

Config read(const std::string& text) {
  return read_config(parse(text.data(), text.data() + text.size(), "config"));
}

// Returns the message of the error that reading `text` causes; empty if there is none.
std::string error_message(const std::string& text) {
  try {
    read(text);
  } catch (const std::exception& error) {
    return error.what();
  }
  return "";
}

TEST(Config, ReadsLimitsSeedAndSettings) {
  const Config config = read(test::config_json("127.0.0.1:1", "127.0.0.1:2", "[]"));
  EXPECT_EQ(config.max_descriptors, 256U);
  EXPECT_EQ(config.named_settings.settings.seed, 5U);
  EXPECT_EQ(config.named_settings.classes.size(), 2U);
  EXPECT_EQ(config.named_settings.settings.connect_timeout, Duration(100'000));
}

TEST(Config, NamesTheInvalidKey) {
  const std::string good = test::config_json("127.0.0.1:1", "127.0.0.1:2", "[]");
  const struct {
    const char* from;
    const char* to;
    const char* key;
  } cases[] = {
      {"\"listen\":\"127.0.0.1:1\"", "\"listen\":\"here\"", "listen"},
      {"\"discovery\":\"127.0.0.1:2\",", "", "discovery"},
      {"\"seed\":\"5\"", "\"seed\":\"xyz\"", "seed"},
      {"\"sockets\":256", "\"sockets\":3", "limits.sockets"},
      {"\"connect-timeout\":100000", "\"connect-timeout\":0", "connect-timeout"},
      {"\"aim\":1200000", "\"aim\":\"soon\"", "aim"},
      {"\"aim\":1200000", "\"aim\":-1", "classes.aim"},
      {"\"repeat\":\"by_key\"", "\"repeat\":\"maybe\"", "repeat"},
      {"\"hosts\":[]", "\"hosts\":[7]", "hosts"},
      {"\"hosts\":[]", R"("hosts":[{"host":"s","dial":"x","health":"in_service"}])", "dial"},
      {"\"hosts\":[]", R"("hosts":[{"host":"s","dial":"127.0.0.1:3","health":"fine"}])", "health"},
      {"\"hosts\":[]",
       R"("hosts":[{"host":"s","dial":"127.0.0.1:3","health":"in_service","born_ms":-5}])",
       "born_ms"},
      {"{\"name\"", "[{\"name\"", "config"},
  };
  for (const auto& test_case : cases) {
    std::string text = good;
    const auto at = text.find(test_case.from);
    ASSERT_NE(at, std::string::npos) << test_case.from;
    text.replace(at, std::string(test_case.from).size(), test_case.to);
    const std::string error = error_message(text);
    EXPECT_TRUE(error.starts_with(test_case.key)) << test_case.key << ": " << error;
  }
}

TEST(SocketAddress, IsAnIpv4AddressAndAPort) {
  const struct {
    const char* text;
    bool good;
  } cases[] = {{"127.0.0.1:80", true},
               {"127.0.0.1", false},
               {"host:80", false},
               {"127.0.0.1:", false},
               {"127.0.0.1:70000", false}};
  for (const auto& test_case : cases) {
    EXPECT_EQ(net::parse_address(test_case.text).has_value(), test_case.good) << test_case.text;
  }
}

}  // namespace
}  // namespace beechhill::config
