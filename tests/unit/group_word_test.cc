#include "group/group_word.h"

#include <gtest/gtest.h>

#include "group/rank_messages.h"
#include "peer/entry_gossip.h"

namespace mangohold {
namespace {

// Questions and words share sockets with gossip and the agents' messages.
TEST(GroupWord, IsToldApartFromOtherDatagrams) {
  const std::string question =
      EncodeGroupQuestion({.reply_to = Endpoint("10.0.0.1:7340")});
  const std::string word =
      EncodeGroupWord({.group = GroupName("g"), .has_planned_map = true});
  ASSERT_TRUE(DecodeGroupQuestion(question));
  EXPECT_EQ(DecodeGroupQuestion(question)->reply_to, Endpoint("10.0.0.1:7340"));
  ASSERT_TRUE(DecodeGroupWord(word));
  EXPECT_EQ(DecodeGroupWord(word)->group, GroupName("g"));
  EXPECT_TRUE(DecodeGroupWord(word)->has_planned_map);
  EXPECT_FALSE(DecodeGroupQuestion(word));
  EXPECT_FALSE(DecodeGroupWord(question));
  for (const std::string& bytes : {question, word}) {
    EXPECT_FALSE(DecodeGossip(bytes));
    EXPECT_FALSE(DecodeRankMessage(bytes));
  }
  for (const std::string bytes : {"", "\xff", "text"}) {
    EXPECT_FALSE(DecodeGroupQuestion(bytes));
    EXPECT_FALSE(DecodeGroupWord(bytes));
  }
  RankMessage beat;
  EXPECT_FALSE(DecodeGroupQuestion(EncodeRankMessage(beat)));
  EXPECT_FALSE(DecodeGroupWord(EncodeGossip({})));
}

}  // namespace
}  // namespace mangohold
