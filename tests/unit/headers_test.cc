// What the adapter reads from the headers of a request.
#include "platform/headers.h"

#include <gtest/gtest.h>

namespace mangohold {
namespace {

PromptPrefix PrefixOf(const std::string& parts,
                      const std::string& model = "large") {
  return platform::Headers()
      .DecodeRequest({{"X-Mangohold-Model-Name", model},
                      {"X-Mangohold-Prefix-Hash", parts}})
      .prefix;
}

// Guards against counting the last part, which only the request itself has.
TEST(HeadersTest, ReadsTheSharedPartsOfAPrompt) {
  const PromptPrefix prefix = PrefixOf("a1:500,b2:300,c3:70");
  ASSERT_EQ(prefix.levels().size(), 2);
  EXPECT_EQ(prefix.levels()[0].tokens, 500);
  EXPECT_EQ(prefix.levels()[1].tokens, 800);
  EXPECT_TRUE(PrefixOf("c3:70").empty());
  EXPECT_TRUE(PrefixOf("").empty());
}

// Guards against prompts of another model or order that look the same.
TEST(HeadersTest, TellsPrefixesApart) {
  const auto key = [](const std::string& parts, const std::string& model) {
    return PrefixOf(parts, model).levels().back().key;
  };
  EXPECT_EQ(key("a1:5,b2:3,c3:7", "large"), key("a1:5,b2:3,d4:9", "large"));
  EXPECT_NE(key("a1:5,b2:3,c3:7", "large"), key("a1:5,b2:3,c3:7", "small"));
  EXPECT_NE(key("a1:5,b2:3,c3:7", "large"), key("b2:5,a1:3,c3:7", "large"));
}

// Guards against text that is no list of parts with token counts.
TEST(HeadersTest, EndsThePrefixAtAnUnreadablePart) {
  EXPECT_EQ(PrefixOf("a1:5,b2,c3:7,d4:1").levels().size(), 1);
  EXPECT_EQ(PrefixOf("a1:5,b2:x,c3:7").levels().size(), 1);
  EXPECT_EQ(PrefixOf("a1:5,b2:-2,c3:7").levels().size(), 1);
  EXPECT_TRUE(PrefixOf(",,,").empty());
  EXPECT_EQ(PrefixOf("a1:99999999999,b2:1").levels().back().tokens,
            100'000'000);
  std::string many;
  for (int i = 0; i < 1'000; ++i) many += "a:1,";
  EXPECT_EQ(PrefixOf(many).levels().size(), 64);
}

}  // namespace
}  // namespace mangohold
