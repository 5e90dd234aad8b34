// Every field of a message between our processes arrives.
#include "message_fields.h"

#include <gtest/gtest.h>

namespace mangohold {
namespace {

// Fields that no message has in common are sent with their own kind only.
RankMessage FilledRankMessage(RankMessageKind kind) {
  const auto all = Filled<RankMessage>();
  RankMessage message{.kind = kind,
                      .group = all.group,
                      .term = all.term,
                      .sender = all.sender,
                      .rank = all.rank,
                      .reply_to = all.reply_to};
  switch (kind) {
    case RankMessageKind::kHeartbeat:
      message.collector = all.collector;
      break;
    case RankMessageKind::kStatus:
      message.zone = all.zone;
      message.backend = all.backend;
      message.status = all.status;
      // Sent once, as the message's own.
      message.status.agent = all.sender;
      message.status.term = all.term;
      // No message: what a leader notes of a rank whose agent is silent.
      message.status.is_from_agent = true;
      break;
    case RankMessageKind::kCommand:
      message.command = all.command;
      // No message: the leader sends such an order to the engine itself.
      message.command.is_direct = false;
      break;
    case RankMessageKind::kChoices:
      message.counts = all.counts;
      break;
    case RankMessageKind::kCount:
      break;
  }
  return message;
}

// Guards against a pass with two maps: an agent's status left out for which
// pass its rank is armed, and a successor took that for another pass than its
// own rank's (MAP).
TEST(MessageFields, AgentsLeaveOutNone) {
  for (int kind = 0; kind < static_cast<int>(RankMessageKind::kCount); ++kind) {
    const auto sent = FilledRankMessage(static_cast<RankMessageKind>(kind));
    const auto received = DecodeRankMessage(EncodeRankMessage(sent));
    if (!received) FAIL() << "kind " << kind;
    EXPECT_EQ(FieldPrinter::TextOf(*received), FieldPrinter::TextOf(sent));
  }
}

// Guards against decisions on a value that another process hasn't sent.
TEST(MessageFields, MemberRecordsLeaveOutNone) {
  const auto sent = Filled<Member>();
  const auto received = DecodeMember(EncodeMember(sent));
  if (!received) FAIL();
  EXPECT_EQ(FieldPrinter::TextOf(*received), FieldPrinter::TextOf(sent));
}

// The same for the gossip of entries.
TEST(MessageFields, GossipLeavesOutNone) {
  const auto sent = Filled<GossipMessage>();
  const auto received = DecodeGossip(EncodeGossip(sent));
  if (!received) FAIL();
  EXPECT_EQ(FieldPrinter::TextOf(*received), FieldPrinter::TextOf(sent));
}

// The same for store changes that entries pass on.
TEST(MessageFields, RelayedChangesLeaveOutNone) {
  auto sent = Filled<RelayedEvents>();
  // An entry that lacks the changes asked for refuses the request.
  sent.events.is_history_lost = false;
  const auto received = DecodeRelayed(EncodeRelayed(sent));
  ASSERT_TRUE(received.ok());
  EXPECT_EQ(FieldPrinter::TextOf(*received), FieldPrinter::TextOf(sent));
}

// The same for the configuration that processes pass on.
TEST(MessageFields, SyncMessagesLeaveOutNone) {
  const auto request = Filled<SyncRequest>();
  const auto received = DecodeSyncRequest(EncodeSyncMessage(request));
  ASSERT_TRUE(received.ok());
  EXPECT_EQ(FieldPrinter::TextOf(*received), FieldPrinter::TextOf(request));
  const auto reply = Filled<SyncReply>();
  const auto answer = DecodeSyncReply(EncodeSyncMessage(reply));
  ASSERT_TRUE(answer.ok());
  EXPECT_EQ(FieldPrinter::TextOf(*answer), FieldPrinter::TextOf(reply));
}

template <typename Message>
class MessageFieldsOfRequests : public testing::Test {};
using RequestMessages =
    testing::Types<AgentStatus, TicketRequest, TicketReply, SubmitRequest,
                   SubmitReply, SubmitTrailer, VoidRequest, VoidReply,
                   StatusRequest>;
TYPED_TEST_SUITE(MessageFieldsOfRequests, RequestMessages);

// The same for the messages between entries and agents.
TYPED_TEST(MessageFieldsOfRequests, LeaveOutNone) {
  const auto sent = Filled<TypeParam>();
  const auto received = Decode<TypeParam>(Encode(sent));
  ASSERT_TRUE(received.ok());
  EXPECT_EQ(FieldPrinter::TextOf(*received), FieldPrinter::TextOf(sent));
}

}  // namespace
}  // namespace mangohold
