// Tests that the data of a watch is split into objects and empty lines.
#include "proxy/watch_stream_decoder.h"

#include <gtest/gtest.h>

#include <string>
#include <string_view>
#include <vector>

namespace beechhill::proxy {
namespace {

using Token = WatchStreamDecoder::Token;

constexpr std::size_t kMaxObjectBytes = 64;

struct Decoded {
  Token token = Token::kIncomplete;
  std::string object;
  bool operator==(const Decoded&) const = default;
};

// Decodes `bytes`, feeding `step` bytes at a time. Returns all tokens up to the first invalid one,
// or all tokens and a final kIncomplete.
std::vector<Decoded> decode(std::string_view bytes, std::size_t step) {
  WatchStreamDecoder decoder(kMaxObjectBytes);
  std::vector<Decoded> decoded;
  for (std::size_t offset = 0; offset < bytes.size(); offset += step) {
    decoder.feed(bytes.substr(offset, step));
    for (;;) {
      std::string_view object;
      const Token token = decoder.next(object);
      if (token == Token::kIncomplete) {
        break;
      }
      decoded.push_back({token, token == Token::kObject ? std::string(object) : std::string()});
      if (token == Token::kInvalid) {
        return decoded;
      }
    }
  }
  decoded.push_back({});
  return decoded;
}

void expect_decoded(std::string_view bytes, const std::vector<Decoded>& expected) {
  for (const std::size_t step : {std::size_t{1}, std::size_t{3}, bytes.size()}) {
    EXPECT_EQ(decode(bytes, step), expected) << bytes << " in steps of " << step;
  }
}

TEST(WatchStreamDecoder, ReturnsObjectsAndEmptyLines) {
  expect_decoded("{\"a\":1}\n\n\r\n{\"b\":[{}]}\n", {{Token::kObject, "{\"a\":1}"},
                                                     {Token::kEmptyLine, ""},
                                                     {Token::kEmptyLine, ""},
                                                     {Token::kObject, "{\"b\":[{}]}"},
                                                     {}});
}

TEST(WatchStreamDecoder, ReturnsIndentedObjectAsOneToken) {
  const std::string object = "{\n  \"a\":\n\n  [1]\n}";
  expect_decoded(object + "\n", {{Token::kObject, object}, {}});
}

TEST(WatchStreamDecoder, IgnoresBracesAndQuotesInStrings) {
  const std::string object = R"({"}]\"{":"\\"})";
  expect_decoded(object, {{Token::kObject, object}, {}});
}

TEST(WatchStreamDecoder, RejectsBytesThatBeginNoObject) {
  expect_decoded("{}]", {{Token::kObject, "{}"}, {Token::kInvalid, ""}});
}

TEST(WatchStreamDecoder, RejectsLineEndInString) {
  expect_decoded("{\"a\n", {{Token::kInvalid, ""}});
}

TEST(WatchStreamDecoder, RejectsObjectBeyondLimit) {
  const std::string longest = "{\"" + std::string(kMaxObjectBytes - 4, 'x') + "\"}";
  expect_decoded(longest, {{Token::kObject, longest}, {}});
  expect_decoded("{\"" + std::string(kMaxObjectBytes - 3, 'x') + "\"}", {{Token::kInvalid, ""}});
}

TEST(WatchStreamDecoder, CountsBytesOfIncompleteObject) {
  WatchStreamDecoder decoder(kMaxObjectBytes);
  std::string_view object;
  decoder.feed("\n{\"a\":");
  EXPECT_EQ(decoder.next(object), Token::kEmptyLine);
  EXPECT_EQ(decoder.next(object), Token::kIncomplete);
  EXPECT_EQ(decoder.incomplete_object_bytes(), 5u);
  decoder.feed("1}");
  EXPECT_EQ(decoder.next(object), Token::kObject);
  EXPECT_EQ(decoder.incomplete_object_bytes(), 0u);
}

}  // namespace
}  // namespace beechhill::proxy
